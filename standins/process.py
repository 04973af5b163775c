"""
Starts a stand-in: one trio loop, one port on loopback, one ready line.

A stand-in builds its quart application and passes it to ``run``::

    if __name__ == "__main__":
        run(build_app(options), options.port)
"""

from __future__ import annotations

import argparse
import json
import logging
from functools import partial
from typing import TYPE_CHECKING, Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request

from lycheepath.adapters.http.completion import complete_answers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from quart_trio import QuartTrio

KEEP_ALIVE_S = 600.0
BACKLOG = 4096


class ConnectionDroppedError(Exception):
    """Raised while a body is sent, to close the connection mid-answer."""


class ControlError(ValueError):
    """A request to ``/control`` that is malformed or names an unknown member."""


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0)
    return parser


def run(app: QuartTrio, port: int, *background: Callable[[], Awaitable[None]]) -> None:
    """Serve ``app`` on loopback beside the background tasks until killed."""
    trio.run(_serve, app, port, background)


def read_control(current: dict[str, Any], changes: Any) -> None:
    """
    Apply the members of ``changes`` to ``current``.

    Raises ``ControlError`` when a member is not one of ``current``.
    """
    if not isinstance(changes, dict):
        raise ControlError("send a JSON object")
    unknown = sorted(set(changes) - set(current))
    if unknown:
        raise ControlError(f"unknown members {unknown}; known are {sorted(current)}")
    current.update(changes)


def json_response(value: Any, status: int = 200, **headers: str) -> Response:
    """Return ``value`` as a JSON answer; header names use ``_`` for ``-``."""
    response = Response(json.dumps(value), status, content_type="application/json")
    for name, content in headers.items():
        response.headers[name.replace("_", "-")] = content
    return response


def drop_connection(sent: bytes = b"", promised: int = 1) -> Response:
    """Return an answer that closes its connection after ``sent``."""
    response = Response(_drop_after(sent), content_type="application/json")
    response.headers["Content-Length"] = str(len(sent) + promised)
    return response


def add_control(
    app: QuartTrio,
    current: dict[str, Any],
    on_change: Callable[[], None] = lambda: None,
) -> None:
    """Add ``POST /control`` over the members of ``current``."""

    @app.post("/control")
    async def control() -> Response:
        try:
            read_control(current, await request.get_json(force=True))
        except ControlError as error:
            return json_response({"error": str(error)}, 400)
        on_change()
        return json_response(current)


async def _serve(
    app: QuartTrio, port: int, background: tuple[Callable[[], Awaitable[None]], ...]
) -> None:
    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = _build_error_log()
    config.loglevel = "ERROR"
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.backlog = BACKLOG
    app.config["RESPONSE_TIMEOUT"] = None
    async with trio.open_nursery() as nursery:
        application: Any = app
        served: Any = complete_answers(application)
        binds: list[str] = await nursery.start(
            partial(serve, mode="asgi"), served, config
        )
        for task in background:
            nursery.start_soon(task)
        bound = int(binds[0].rsplit(":", 1)[1])
        print(json.dumps({"ready": True, "port": bound}), flush=True)


async def _drop_after(sent: bytes) -> AsyncIterator[bytes]:
    if sent:
        yield sent
    raise ConnectionDroppedError


def _build_error_log() -> logging.Logger:
    log = logging.getLogger("standins")
    log.addHandler(logging.StreamHandler())
    log.addFilter(_is_fault)
    return log


def _is_fault(record: logging.LogRecord) -> bool:
    """Whether a record is not about connections dropped on purpose."""
    error = record.exc_info[1] if record.exc_info else None
    if isinstance(error, BaseExceptionGroup):
        return error.split(ConnectionDroppedError)[1] is not None
    return not isinstance(error, ConnectionDroppedError)
