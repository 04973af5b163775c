"""Runs one host: its tasks in one nursery, from start to drained end."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING

import orjson
import trio

from ..adapters.http.server import serve_http
from ..adapters.logs import set_up_logs
from .configuration import follow_platform
from .node import Node

if TYPE_CHECKING:
    from .settings import Settings

DRAIN_POLL_S = 0.05


def run_host(settings: Settings) -> None:
    """Run a host until it is told to end and has drained."""
    set_up_logs(settings.log)
    trio.run(_run_node, Node(settings))


async def _run_node(node: Node) -> None:
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow_platform, node)
        binds = await nursery.start(serve_http, node, shutdown.wait)
        _announce(node, binds)
        await _wait_for_signal()
        await _drain(node)
        shutdown.set()
        nursery.cancel_scope.cancel()


def _announce(node: Node, binds: list[str]) -> None:
    line = {"listening": binds, "host": node.settings.host}
    sys.stdout.write(orjson.dumps(line).decode() + "\n")
    sys.stdout.flush()


async def _wait_for_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def _drain(node: Node) -> None:
    """Let requests in flight end, for at most the drain time."""
    node.draining = True
    node.record("drain", "signal", "serving", "draining")
    with trio.move_on_after(node.settings.drain_s):
        while node.in_flight:
            await trio.sleep(DRAIN_POLL_S)
