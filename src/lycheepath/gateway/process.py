"""Runs one gateway process from its start until it has drained."""

from __future__ import annotations

import os
import signal
from functools import partial
from typing import TYPE_CHECKING, Any

import trio
from loguru import logger

from ..adapters.events import record_event, set_up_events
from ..adapters.http1.sockets import enlarge_send_buffer
from ..core.addresses import Address
from ..core.placement.draining import DRAIN_NOTICE_S, FINAL_LOG_S, plan_ends
from .listeners import (
    answer_directory,
    answer_operators,
    answer_ready,
    has_unread_requests,
    listen,
    read_caller_limits,
    read_host_limits,
    serve_host,
)
from .node import GatewayNode
from .serving import serve_request
from .telemetry import register_metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from types import FrameType

    from .settings import GatewaySettings

    Handler = Callable[[int, FrameType | None], Any]

END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*END_SIGNALS, signal.SIGHUP)
# Interval between two checks of whether the process has drained.
POLL_INTERVAL_S = 0.1
# The same once requests are ended.
FINAL_POLL_INTERVAL_S = 0.03
# Time within which answers that are cut off have ended.
CUT_S = 0.1
# Pause before a failed task is restarted.
TASK_RESTART_S = 0.5
# A host that shuts down exits once it had no request for this long.
QUIESCENCE_S = 0.5
# Interval at which idle connections are closed.
IDLE_CHECK_INTERVAL_S = 1.0


def run_gateway(settings: GatewaySettings) -> None:
    """Run a gateway until it receives SIGTERM or SIGINT and has drained."""
    trio.run(_run, settings)


async def _run(settings: GatewaySettings) -> None:
    node = GatewayNode(settings)
    set_up_events(node.events, host=settings.host)
    # Handlers are installed before anything listens, so that a signal during the start
    # doesn't abort requests of callers.
    with trio.open_signal_receiver(*SIGNALS) as signals:
        note_end_signals(node)
        record_event(
            "start", zone=settings.zone, region=settings.region, pid=os.getpid()
        )
        async with trio.open_nursery() as nursery:
            await start_tasks(node, nursery)
            await _wait_for_end(signals)
            nursery.start_soon(_discard, signals)
            await drain(node)
            nursery.cancel_scope.cancel()
        record_event(
            "stop",
            serving=node.active_requests,
            draining_s=node.find_draining_s(),
            held_up_s=round(node.loop_delay.find_s(node.now()), 3),
        )
        node.events.flush()


async def start_tasks(node: GatewayNode, nursery: trio.Nursery) -> None:
    """Start a gateway's tasks and listeners in a nursery."""
    settings = node.settings
    register_metrics(node)
    nursery.start_soon(node.events.run)
    for name, run in (
        ("store", node.store.run),
        ("peers", node.peers.run),
        ("keeping", node.coordination.run),
        ("silence", node.inactivity.run),
        ("stream versions", node.versions.run),
        ("links", node.links.run),
        ("team limits", node.team_limits.run),
        ("cold checks", node.cold_checks.run),
        ("view proofs", node.view_proofs.run),
        ("idle connections", partial(_close_idle, node)),
    ):
        nursery.start_soon(_keep_running, node, name, run)
    relay = Address(settings.ip, settings.relay_port)
    for address, answer, limits in (
        (settings.callers, serve_request, read_caller_limits),
        (settings.ready, answer_ready, read_caller_limits),
        (settings.directory, answer_directory, read_caller_limits),
        (settings.metrics, answer_operators, read_caller_limits),
        (relay, serve_host, read_host_limits),
    ):
        await nursery.start(listen, node, address, partial(answer, node), limits)


async def _keep_running(
    node: GatewayNode, name: str, run: Callable[[], Awaitable[None]]
) -> None:
    """Run a task forever; exceptions are logged and the task is restarted."""
    while True:
        try:
            await run()
        except Exception:
            node.metrics.count("task_faults_total", task=name)
            logger.bind(task=name).exception("task-fault")
            await trio.sleep(TASK_RESTART_S)


def note_end_signals(node: GatewayNode) -> None:
    """
    Note signals to end when Python takes them, besides what handles them now.

    The event loop takes a signal some of its rounds later, however long those are.
    """

    def note(handle: Handler) -> Handler:
        def handle_noted(number: int, frame: FrameType | None) -> None:
            now = node.now()
            node.end_signal_at = min(node.end_signal_at, _find_earliest(node, now))
            handle(number, frame)

        return handle_noted

    for number in END_SIGNALS:
        handler = signal.getsignal(number)
        if callable(handler):
            signal.signal(number, note(handler))


async def _wait_for_end(signals: AsyncIterator[int]) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            record_event("reload")
            continue
        return


async def _discard(signals: AsyncIterator[int]) -> None:
    """Ignore further signals; trio raises again what was received and not taken."""
    async for number in signals:
        record_event("signal-ignored", signal=signal.Signals(number).name)


async def drain(node: GatewayNode) -> None:
    """Stop accepting new callers, finish current requests, return in time."""
    started = node.now()
    signalled_at = min(node.end_signal_at, _find_earliest(node, started))
    grace_s = node.settings.bounds.grace_s
    ends = plan_ends(signalled_at, started, grace_s)
    node.shutting_down = True
    node.shutdown_started_at = signalled_at
    node.shutdown_deadline = ends.fails_at
    node.cutoff_deadline = ends.cuts_at
    for connection in node.open_connections:
        enlarge_send_buffer(connection.stream)
    record_event(
        "leaving",
        serving=node.active_requests,
        unnoticed_s=round(started - signalled_at, 3),
    )
    await node.peers.announce_shutdown()
    notice_s = min(DRAIN_NOTICE_S, (grace_s - FINAL_LOG_S) / 2)
    if await _wait_until_quiet(node, started + notice_s, ends.fails_at):
        return
    await _end_requests(node, ends.cuts_at)


async def _wait_until_quiet(
    node: GatewayNode, callers_move_at: float, until: float
) -> bool:
    """Wait until no request comes any more; return False if some come until the end."""
    requests = node.total_requests
    last_request_at = node.now()
    while (now := node.now()) < until:
        if node.active_requests or node.total_requests > requests:
            requests = node.total_requests
            last_request_at = now
        if now > callers_move_at and now - last_request_at > QUIESCENCE_S:
            # Connections that were just accepted are served first.
            await trio.lowlevel.checkpoint()
            if not (node.active_requests or has_unread_requests(node)):
                return True
        await trio.sleep(min(POLL_INTERVAL_S, until - now))
    return False


async def _end_requests(node: GatewayNode, cuts_at: float) -> None:
    """Fail requests without an answer, let those that have one end, cut off the rest."""
    if node.active_requests:
        record_event("drain-cut", serving=node.active_requests)
    node.scopes.cancel_unanswered()
    # A process that was held up may be killed before it cuts answers off.
    node.events.flush()
    while node.active_requests and node.now() < cuts_at:
        await trio.sleep(FINAL_POLL_INTERVAL_S)
    if not node.active_requests:
        return
    record_event("answers-cut", serving=node.active_requests)
    node.scopes.cancel_all()
    with trio.move_on_after(CUT_S):
        while node.active_requests:
            await trio.sleep(FINAL_POLL_INTERVAL_S)


def _find_earliest(node: GatewayNode, now: float) -> float:
    """Return the earliest time at which a signal that is taken now may have come."""
    # Before its next wake-up the loop may have stood still for an interval unnoticed.
    interval_s = node.peers.view.heartbeat_interval_s
    return now - node.loop_delay.find_s(now) - interval_s


async def _close_idle(node: GatewayNode) -> None:
    while True:
        await trio.sleep(IDLE_CHECK_INTERVAL_S)
        node.pool.close_idle(node.now())
