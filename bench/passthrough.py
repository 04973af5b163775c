"""
A minimal streaming proxy: ``python -m bench.passthrough --target IP:port``.

Receives requests with hypercorn and forwards them with httpx, without further
processing. It gives the cost of the libraries on the same machine under the same
conditions; the rest of a host's cost is that of the host's code.
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
    """Return an ASGI application that forwards chat requests to ``target``."""
    url = f"http://{target}/v1/chat/completions"

    async def forward(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await _run_lifespan(receive, send)
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
            async for chunk in answer.aiter_raw():
                await send(_build_body_message(chunk, more=True))
            await send(_build_body_message(b"", more=False))

    return forward


def _build_body_message(body: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": body, "more_body": more}


async def _run_lifespan(receive: Any, send: Any) -> None:
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
