"""
Serves one caller's request: finds its route, sends it, and answers.

A request is answered once by this host, whatever its targets do: with an
answer, with a refusal that says it has not run, or with a failure that leaves
that open. What has been decided is logged under the request's id.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import trio
from loguru import logger

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..core.catalog.routes import draw_service
from ..core.reasons import Absent, Reason
from ..core.serving.attempts import AttemptResult, may_send_again
from ..platform.headers import read_request
from .exchange import Exchange
from .relay import send_to_region
from .sending import Sent, send_to_target
from .telemetry import count_outcome

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.placement.model import Placement, PreviousAttempts
    from .node import GatewayNode

NOT_RUN = 503
UNKNOWN = 502
TOO_LATE = 504
NOT_FOUND = 404
# Callers take these for a promise that the request has not run, which a target
# that says so by its status alone has not made.
PROMISES = frozenset({408, 421, 429, 503})
# Taken for a caller that names no time.
NO_DEADLINE_S = 60.0
# Before a configuration is known, or while no target is.
SOON_S = 0.5
# Refused callers come back spread over this part of the named time.
SPREAD = 0.5


async def serve_request(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Answer one request."""
    node.requests += 1
    caller.closing = caller.closing or node.leaving
    exchange = await _open(node, caller, request)
    if exchange is None:
        return
    node.serving += 1
    try:
        with trio.CancelScope(deadline=exchange.deadline) as scope:
            await _run(node, exchange)
        if scope.cancelled_caught:
            await _end_late(node, exchange)
    except CallerGoneError:
        raise
    except Exception:
        logger.bind(request=exchange.facts.id).exception("request-fault")
        node.metrics.count("request_faults_total")
        exchange.reason = "a fault in the gateway"
        await _give_up(node, exchange, None)
    finally:
        node.serving -= 1
        if caller.left and not exchange.ended:
            _log(node, exchange, "left", 0)


async def _open(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> Exchange | None:
    """Return the exchange of a request that has a route; answer others."""
    facts = read_request(request.headers)
    if node.catalog.routes is None:
        with trio.move_on_after(node.find_hold_s(facts.deadline_s or NO_DEADLINE_S)):
            await node.configured.wait()
    table = node.catalog.routes
    if table is None:
        await _refuse(node, caller, facts.id, NOT_RUN, SOON_S, "no configuration")
        return None
    path = request.target.decode("latin-1")
    route = table.match(facts.host, path)
    if route is None:
        await _refuse(node, caller, facts.id, NOT_FOUND, None, "no route")
        return None
    wait_s = min(route.timeout_s, facts.deadline_s or route.timeout_s)
    service = draw_service(route, node.random)
    node.retries.count_request(service, node.now())
    return Exchange(
        caller,
        request,
        facts,
        route,
        service,
        request.received_at + wait_s,
        node.next_number(),
    )


async def _run(node: GatewayNode, exchange: Exchange) -> None:
    while True:
        barred_s = node.suspects.find_blocked_s(exchange.fingerprint, node.now())
        if barred_s > 0.0:
            detail = "targets went down under this request"
            barred = Absent(Reason.QUARANTINED, barred_s, detail)
            await _give_up(node, exchange, barred)
            return
        await _wait_for_targets(node, exchange)
        placed = await node.place(exchange, node.surroundings())
        if isinstance(placed, Absent):
            await _give_up(node, exchange, placed)
            return
        _log_placed(node, exchange, placed)
        sent = await _send(node, exchange, placed)
        exchange.tries.record(sent.result)
        if sent.result is AttemptResult.ANSWERED:
            _log(node, exchange, "answered", 200, placed)
            return
        exchange.reason = sent.reason
        _log_sent(node, exchange, placed, sent)
        exchange.tried = _add_tried(exchange.tried, placed, sent.result)
        again = may_send_again(exchange.route, exchange.tries, sent.result)
        hosts = node.count_hosts()
        if not again or not node.retries.take(exchange.service, hosts, node.now()):
            await _give_up(node, exchange, None)
            return


async def _wait_for_targets(node: GatewayNode, exchange: Exchange) -> None:
    """Hold a request at a host that has just started until it knows a target."""
    homes = exchange.route.home_regions
    if node.book.has_targets(exchange.service, homes):
        return
    with trio.move_on_after(node.find_hold_s(exchange.deadline - node.now())):
        while not node.book.has_targets(exchange.service, homes):
            await node.learned.wait()


def _add_tried(
    tried: PreviousAttempts, placed: Placement, result: AttemptResult
) -> PreviousAttempts:
    target = placed.target
    if placed.is_remote:
        return replace(tried, regions=tried.regions | {target.region})
    if result is AttemptResult.FAILED:
        return replace(tried, failed=tried.failed | {target.entry.id})
    return replace(tried, targets=tried.targets | {target.entry.id})


async def _send(node: GatewayNode, exchange: Exchange, placed: Placement) -> Sent:
    if placed.is_remote:
        return await send_to_region(node, exchange, placed)
    return await send_to_target(node, exchange, placed)


async def _give_up(
    node: GatewayNode, exchange: Exchange, absent: Absent | None
) -> None:
    """Answer a request that no target answered."""
    caller = exchange.caller
    if exchange.begun:
        _break_off(node, exchange)
        return
    held = exchange.held
    if held is not None and held.status not in PROMISES:
        _log(node, exchange, "failure-passed-on", held.status)
        await caller.answer(held.status, held.headers, held.body)
        return
    reason = exchange.reason or ("" if absent is None else absent.detail)
    request_id, route = exchange.facts.id, exchange.route.name
    if exchange.tries.runs:
        await _refuse(node, caller, request_id, UNKNOWN, None, reason, route)
        return
    wait_s = SOON_S if absent is None else absent.retry_after_s
    await _refuse(node, caller, request_id, NOT_RUN, wait_s, reason, route)


async def _end_late(node: GatewayNode, exchange: Exchange) -> None:
    """Answer a request whose time is over."""
    exchange.reason = "the time is over"
    if exchange.begun:
        _break_off(node, exchange)
        return
    await _refuse(
        node,
        exchange.caller,
        exchange.facts.id,
        TOO_LATE,
        None,
        exchange.reason,
        exchange.route.name,
    )


def _break_off(node: GatewayNode, exchange: Exchange) -> None:
    """End an answer that has begun and will not become whole."""
    _log(node, exchange, "broken-off", 0)
    exchange.caller.break_off()


async def _refuse(
    node: GatewayNode,
    caller: CallerConnection,
    request_id: str,
    status: int,
    wait_s: float | None,
    reason: str,
    route: str = "",
) -> None:
    headers = []
    if request_id:
        headers.append((b"request-id", request_id.encode("latin-1")))
    if wait_s is not None:
        spread = wait_s * (1.0 + SPREAD * node.random.random())
        headers.append((b"retry-after", b"%.2f" % spread))
    record_event(
        "refused",
        request=request_id,
        route=route,
        status=status,
        reason=reason,
        retry_after_s=wait_s,
        version=node.catalog.version,
    )
    node.metrics.count("refusals_total", status=str(status))
    await caller.answer(status, headers, f"{reason}\n".encode())


def _log(
    node: GatewayNode,
    exchange: Exchange,
    event: str,
    status: int,
    placed: Placement | None = None,
) -> None:
    took = node.now() - exchange.received_at
    exchange.ended = True
    count_outcome(node, exchange, event)
    record_event(
        event,
        request=exchange.facts.id,
        route=exchange.route.name,
        status=status,
        reason=exchange.reason,
        took_s=round(took, 4),
        aim_s=exchange.route.aim_s,
        sends=exchange.tries.sends,
        target=placed.target.entry.id if placed else "",
        target_running=exchange.load and exchange.load.running,
        target_waiting=exchange.load and exchange.load.waiting,
        urgency=placed.priority if placed else None,
        expected_s=round(placed.first_event_s, 4) if placed else None,
        first_s=exchange.first_s and round(exchange.first_s, 4),
        longest_gap_s=round(exchange.longest_gap_s, 4),
        version=node.catalog.version,
    )


def _log_placed(node: GatewayNode, exchange: Exchange, placed: Placement) -> None:
    target = placed.target
    record_event(
        "placed",
        request=exchange.facts.id,
        route=exchange.route.name,
        target=target.entry.id,
        away=target.region if placed.is_remote else "",
        expected_s=round(placed.first_event_s, 4),
        cached_tokens=placed.cached_tokens,
        in_flight=target.count_in_flight(node.now()),
        left_s=round(exchange.deadline - node.now(), 3),
        version=node.catalog.version,
        revision=node.catalog.revision,
    )


def _log_sent(
    node: GatewayNode, exchange: Exchange, placed: Placement, sent: Sent
) -> None:
    node.metrics.count("sends_failed_total", result=sent.result.value)
    record_event(
        "send-failed",
        request=exchange.facts.id,
        target=placed.target.entry.id,
        result=sent.result.value,
        reason=sent.reason,
        revision=node.catalog.revision,
    )
