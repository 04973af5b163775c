"""Runs one host: its tasks in one nursery, from start to shutdown."""

from __future__ import annotations

import signal
import sys
from functools import partial
from typing import TYPE_CHECKING

import orjson
import trio

from ..adapters.http.server import serve_http
from ..adapters.logs import set_up_logs
from ..adapters.transports import reach_all
from .configuration import bootstrap, follow_platform
from .handover import (
    establish_attestation,
    fetch_predecessor_claims,
    hand_over_claims,
    renew_releases,
)
from .loads import poll_targets
from .members import run_membership
from .node import Node
from .orders import issue_orders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from ..adapters.transports import MayReach
    from .settings import Settings

DRAIN_POLL_INTERVAL_S = 0.05
EXPIRY_INTERVAL_S = 1.0
HANDOVER_TIMEOUT_S = 2.0
# Time kept free for the failures of requests that didn't end in time.
FINAL_ANSWERS_S = 0.3


def run_host(settings: Settings, may_reach: MayReach = reach_all) -> None:
    """
    Run a host until it is signalled or superseded and has drained.

    ``may_reach`` returns whether this process can currently reach an address.
    """
    set_up_logs(settings.log)
    trio.run(_run_node, settings, may_reach)


async def _run_node(settings: Settings, may_reach: MayReach) -> None:
    # Signals are received until the end: a further one must not end a host that drains.
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await _serve_until_signalled(Node(settings, may_reach=may_reach), signals)


async def _serve_until_signalled(node: Node, signals: AsyncIterator[int]) -> None:
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        node.nursery = nursery
        await nursery.start(node.timers.run)
        node.timers.every("expiry", EXPIRY_INTERVAL_S, partial(_expire_records, node))
        addresses = await nursery.start(serve_http, node, shutdown.wait)
        _print_addresses(node, addresses)
        nursery.start_soon(follow_platform, node)
        nursery.start_soon(_start_serving, node, nursery)
        await _wait_for_shutdown(node, signals)
        nursery.start_soon(_discard, signals)
        await _drain(node)
        shutdown.set()
        nursery.cancel_scope.cancel()


async def _start_serving(node: Node, nursery: trio.Nursery) -> None:
    """Get a configuration, then join the membership and start to serve."""
    await bootstrap(node)
    nursery.start_soon(run_membership, node)
    nursery.start_soon(poll_targets, node)
    nursery.start_soon(issue_orders, node)
    nursery.start_soon(renew_releases, node)
    await fetch_predecessor_claims(node)
    await establish_attestation(node)


def _print_addresses(node: Node, addresses: list[str]) -> None:
    line = {"listening": addresses, "host": node.settings.host}
    sys.stdout.write(orjson.dumps(line).decode() + "\n")
    sys.stdout.flush()


async def _wait_for_shutdown(node: Node, signals: AsyncIterator[int]) -> None:
    """Wait for a signal, or until a later process supersedes this one."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_after, nursery.cancel_scope, node.superseded.wait)
        async for _ in signals:
            break
        nursery.cancel_scope.cancel()


async def _cancel_after(
    scope: trio.CancelScope, wait: Callable[[], Awaitable[None]]
) -> None:
    await wait()
    scope.cancel()


async def _discard(signals: AsyncIterator[int]) -> None:
    async for _ in signals:
        continue


def _expire_records(node: Node, now: float) -> None:
    node.handover_store.expire(now)
    node.ledger.expire(now)


async def _close_claims(node: Node) -> None:
    """
    Stop running actions and hand the claims over.

    A superseded process does not hand its claims over: its successor has
    already started without them.
    """
    if node.superseded.is_set():
        node.ledger.close()
        return
    await hand_over_claims(node)


async def _drain(node: Node) -> None:
    """Wait for in-flight requests, for at most the drain time, and shut down."""
    node.draining = True
    node.record_change("drain", "signal", "serving", "draining")
    if node.membership is not None and node.runner is not None:
        node.runner.act(node.membership.start_draining(node.now()))
    fails_at = node.now() + node.settings.drain_s - FINAL_ANSWERS_S
    await _wait_for_requests(node, fails_at - HANDOVER_TIMEOUT_S - node.now())
    with trio.move_on_after(HANDOVER_TIMEOUT_S):
        await _close_claims(node)
    await _wait_for_requests(node, fails_at - node.now())
    node.scopes.cancel_unanswered()
    await _wait_for_requests(node, FINAL_ANSWERS_S)
    if node.membership is not None and node.runner is not None:
        node.runner.act(node.membership.leave(node.now()))
    node.record_change("drain", "signal", "draining", f"{node.in_flight} in flight")


async def _wait_for_requests(node: Node, timeout_s: float) -> None:
    """Wait until no request is in flight, for a time at most."""
    with trio.move_on_after(max(0.0, timeout_s)):
        while node.in_flight:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
