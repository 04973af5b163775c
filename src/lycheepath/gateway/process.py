"""Runs one gateway process, from its start to its drained end."""

from __future__ import annotations

import os
import signal
from functools import partial
from typing import TYPE_CHECKING

import trio
from loguru import logger

from ..adapters.events import record_event, set_up_events
from ..core.addresses import Address
from ..core.placement.draining import DRAIN_NOTICE_S
from .listeners import (
    answer_directory,
    answer_metrics,
    answer_ready,
    limit_callers,
    limit_hosts,
    listen,
    serve_host,
)
from .node import GatewayNode
from .serving import serve_request
from .telemetry import watch_node

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from .settings import GatewaySettings

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
POLL_S = 0.1
# Before a task that failed runs again.
RESTART_S = 0.5
# Before SIGKILL comes, for the last lines of the log.
LAST_WORDS_S = 0.5
# A host that leaves goes once it had no request for so long.
QUIET_S = 0.5
IDLE_CHECK_S = 1.0


def run_gateway(settings: GatewaySettings) -> None:
    """Run a gateway until it is told to end and has drained."""
    trio.run(_run, settings)


async def _run(settings: GatewaySettings) -> None:
    node = GatewayNode(settings)
    set_up_events(node.events, host=settings.host)
    # Before anything listens, so that no caller is lost to a signal at the start.
    with trio.open_signal_receiver(*SIGNALS) as signals:
        record_event(
            "start", zone=settings.zone, region=settings.region, pid=os.getpid()
        )
        async with trio.open_nursery() as nursery:
            await start_tasks(node, nursery)
            await _wait_for_end(signals)
            await drain(node)
            nursery.cancel_scope.cancel()
    record_event("stop", serving=node.serving)
    node.events.flush()


async def start_tasks(node: GatewayNode, nursery: trio.Nursery) -> None:
    """Start a gateway's tasks and listeners in a nursery."""
    settings = node.settings
    watch_node(node)
    nursery.start_soon(node.events.run)
    for name, run in (
        ("store", node.store.run),
        ("peers", node.peers.run),
        ("keeping", node.keeping.run),
        ("silence", node.silence.run),
        ("idle connections", partial(_close_idle, node)),
    ):
        nursery.start_soon(_keep_running, node, name, run)
    relay = Address(settings.ip, settings.relay_port)
    for address, answer, limits in (
        (settings.callers, serve_request, limit_callers),
        (settings.ready, answer_ready, limit_callers),
        (settings.directory, answer_directory, limit_callers),
        (settings.metrics, answer_metrics, limit_callers),
        (relay, serve_host, limit_hosts),
    ):
        await nursery.start(listen, node, address, partial(answer, node), limits)


async def _keep_running(
    node: GatewayNode, name: str, run: Callable[[], Awaitable[None]]
) -> None:
    """Run a task for good; a fault in it is logged and doesn't end the process."""
    while True:
        try:
            await run()
        except Exception:
            node.metrics.count("task_faults_total", task=name)
            logger.bind(task=name).exception("task-fault")
            await trio.sleep(RESTART_S)


async def _wait_for_end(signals: AsyncIterator[int]) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            record_event("reload")
            continue
        return


async def drain(node: GatewayNode) -> None:
    """Take no new callers, serve those who are here, and end in time."""
    started = node.now()
    requests = node.requests
    grace_s = node.settings.bounds.grace_s - LAST_WORDS_S
    node.leaving = True
    node.left_at, node.ends_at = started, started + grace_s
    record_event("leaving", serving=node.serving)
    await node.peers.tell_leaving()
    served_at = started
    while (now := node.now()) - started < grace_s:
        if node.serving or node.requests > requests:
            requests = node.requests
            served_at = now
        left = now - started > min(DRAIN_NOTICE_S, grace_s / 2)
        if left and now - served_at > QUIET_S:
            return
        await trio.sleep(POLL_S)


async def _close_idle(node: GatewayNode) -> None:
    while True:
        await trio.sleep(IDLE_CHECK_S)
        node.pool.close_idle(node.now())
