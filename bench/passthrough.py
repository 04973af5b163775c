"""
The least that the libraries need to pass a stream on: ``python -m
bench.passthrough --target IP:port``.

It takes a request on hypercorn and sends it on by httpx, with nothing in
between. What a host costs beyond this is its own; what this costs is the
libraries' on the same machine in the same state.
"""

from __future__ import annotations

import argparse
import json
from typing import Any

import httpx
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

TIMEOUT_S = 60.0


def build_app(client: httpx.AsyncClient, target: str) -> Any:
    """Return an ASGI application that passes chats on to ``target``."""
    url = f"http://{target}/v1/chat/completions"

    async def pass_on(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await _live(receive, send)
            return
        body = await _read_body(receive)
        async with client.stream("POST", url, content=body) as answer:
            await send(
                {
                    "type": "http.response.start",
                    "status": answer.status_code,
                    "headers": [(b"content-type", b"text/event-stream")],
                }
            )
            async for piece in answer.aiter_raw():
                await send(_body_message(piece, more=True))
            await send(_body_message(b"", more=False))

    return pass_on


def _body_message(body: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": body, "more_body": more}


async def _live(receive: Any, send: Any) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_body(receive: Any) -> bytes:
    body = b""
    while True:
        message: dict[str, Any] = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return bytes(body)


async def _main(target: str) -> None:
    config = Config()
    config.bind = ["127.0.0.1:0"]
    config.accesslog = config.errorlog = None
    limits = httpx.Limits(max_connections=None)
    async with (
        httpx.AsyncClient(timeout=TIMEOUT_S, limits=limits, trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        binds = await nursery.start(serve, build_app(client, target), config)
        port = int(binds[0].rsplit(":", 1)[1])
        print(json.dumps({"ready": True, "port": port}), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Passes chats on.")
    parser.add_argument("--target", required=True)
    trio.run(_main, parser.parse_args().target)
