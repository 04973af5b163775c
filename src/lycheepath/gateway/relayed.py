"""
Serves the requests that other hosts relay, with one attempt each in this region.

The first host stays responsible for the request and its retries. It is told when the target
is silent, and decides whether another one is tried beside it; nothing is ended here.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..core.catalog.model import RouteKind
from ..core.placement.statements import apply_leaving
from ..core.reasons import Absent, Reason
from ..core.serving.attempts import AttemptResult
from ..core.serving.events import EVENT_END
from ..platform.headers import find_request_id, read_request
from .attempts import make_attempt
from .authorization import DeniedRequest, authorize_relayed_request
from .exchange import Exchange
from .relay_headers import (
    CLOSED_HEADER,
    REASON_HEADER,
    RELAY_HEADERS,
    RESULT_HEADER,
    SERVICE_HEADER,
    SILENCE_COMMENT,
    SILENCE_HEADER,
    TARGET_HEADER,
    UNREACHABLE_HEADER,
    VERSION_HEADER,
    read_metadata,
)
from .sending import log_target_changes, record_placed, send_to_target
from .telemetry import (
    END_REASON,
    FAULT_REASON,
    TIMEOUT_REASON,
    record_request_fault,
)

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.catalog.model import Route
    from ..core.placement.model import PlacementContext
    from .attempts import Attempt
    from .node import GatewayNode

# Status of the interim answer that reports a silent target: Processing.
INTERIM_STATUS = 102
# Time within which the result of a request whose time is over has to be sent.
RESULT_TIMEOUT_S = 1.0


def is_host_call(request: ReceivedRequest) -> bool:
    """Whether a request was made by the other host itself rather than relayed."""
    return SERVICE_HEADER not in dict(request.headers)


async def serve_relayed(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Serve a request that another host relays, with one attempt in this region."""
    caller.close_after_answer = caller.close_after_answer or node.shutting_down
    try:
        exchange = _open_relayed(node, caller, request)
    except Exception:
        record_request_fault(node, find_request_id(request.headers))
        exchange = FAULT_REASON
    if isinstance(exchange, str):
        await _answer_result(caller, AttemptResult.NOT_RUN, exchange)
        return
    with node.count_request():
        try:
            with node.scopes.limit(
                lambda: caller.answer_started, exchange.deadline
            ) as scope:
                await _send_locally(node, exchange)
            if scope.cancelled_caught:
                reason = END_REASON if node.scopes.ending else TIMEOUT_REASON
                await _answer_lost(caller, reason)
        except CallerGoneError:
            raise
        except Exception:
            record_request_fault(node, find_request_id(request.headers))
            await _answer_lost(caller, FAULT_REASON)
        finally:
            exchange.release()


def _open_relayed(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> Exchange | str:
    """Return the exchange of a relayed request, or why it isn't served."""
    metadata = read_metadata(request)
    request_head = read_request(
        tuple(h for h in request.headers if h[0] not in RELAY_HEADERS)
    )
    table = node.catalog.routes
    path = request.target.decode("latin-1")
    route = None if table is None else table.match(request_head.host, path)
    if metadata is None or table is None or route is None:
        return "this host has no such route"
    authorized = authorize_relayed_request(request_head, route, table)
    if isinstance(authorized, DeniedRequest):
        node.metrics.count("team_refused_total", cause=authorized.cause)
        return authorized.detail
    for instance in metadata.leaving:
        apply_leaving(node.registry, instance)
    log_target_changes(node)
    refusal = _check_home(node, authorized.route)
    if refusal:
        return refusal
    exchange = Exchange(
        caller,
        request,
        authorized.head,
        authorized.route,
        metadata.service,
        request.received_at + metadata.left_s,
        node.next_number(),
    )
    exchange.waited_s = metadata.waited_s
    exchange.cutter.last_id = metadata.last_event_id
    exchange.committed = metadata.committed
    exchange.on_trial = metadata.on_trial
    exchange.version = metadata.version
    exchange.relayed = True
    exchange.team = authorized.team
    exchange.reports_silence = metadata.takes_silence
    exchange.previous_attempts = replace(
        exchange.previous_attempts, targets=metadata.tried
    )
    return exchange


async def _answer_lost(caller: CallerConnection, reason: str) -> None:
    """Tell the other host that a request may have run, unless an answer has begun."""
    if caller.answer_started:
        caller.abort_answer()
        return
    with caller.abort_after(RESULT_TIMEOUT_S):
        await _answer_result(caller, AttemptResult.LOST, reason)


async def _send_locally(node: GatewayNode, exchange: Exchange) -> None:
    await node.links.await_evidence(exchange.features)
    blocked = node.containment.find_refusal(exchange)
    if blocked is not None:
        await _answer_result(exchange.caller, AttemptResult.NOT_RUN, blocked.detail)
        return
    context = node.build_context()
    silent = node.links.reachability.list_silent(node.now())
    context = replace(
        context,
        remote_rtt_s={},
        peer_rtt_s=None,
        unreachable=context.unreachable - silent,
    )
    placed = await node.place(exchange, context)
    if isinstance(placed, Absent):
        # Targets of other versions, and those that were tried, may still be open.
        any_target = exchange.version is None and not exchange.previous_attempts.targets
        closed = any_target and placed.reason in (
            Reason.NO_TARGET,
            Reason.RATE_LIMITED,
        )
        unreachable = closed and _lacks_links(node, exchange, context)
        await _answer_result(
            exchange.caller, AttemptResult.NOT_RUN, placed.detail, closed, unreachable
        )
        return
    entry = placed.target.entry
    attempt = make_attempt(node, exchange, placed)
    attempt.extra_headers = (
        (TARGET_HEADER, entry.id.encode()),
        (VERSION_HEADER, entry.version.encode("latin-1", "replace")),
    )
    exchange.attempts.start()
    record_placed(node, attempt)
    outcome = await send_to_target(node, attempt, partial(_report_silence, attempt))
    record_event(
        "relayed",
        request=exchange.request_head.id,
        team=exchange.team_name,
        target=placed.target.entry.id,
        result=outcome.result.value,
        reason=outcome.reason,
        expected_s=round(placed.first_event_s, 4),
    )
    if outcome.result is AttemptResult.ANSWERED:
        return
    if exchange.answer_started:
        exchange.caller.abort_answer()
        return
    failure = exchange.failed_answer
    if outcome.result is AttemptResult.FAILED and failure is not None:
        answer_headers = [
            *failure.headers,
            (RESULT_HEADER, outcome.result.value.encode()),
        ]
        await exchange.caller.answer(failure.status, answer_headers, failure.body)
        return
    await _answer_result(
        exchange.caller, outcome.result, outcome.reason, target=entry.id
    )


def _report_silence(attempt: Attempt) -> None:
    """Tell the first host that the target is silent, unless it goes on."""
    exchange = attempt.exchange
    if attempt.silent_since is None or not exchange.reports_silence:
        return
    caller = exchange.caller
    if not exchange.answer_started:
        caller.offer_interim(
            INTERIM_STATUS, [(SILENCE_HEADER, attempt.target.encode())]
        )
    elif exchange.route.kind is RouteKind.STREAM:
        caller.offer_data(SILENCE_COMMENT + EVENT_END)


def _check_home(node: GatewayNode, route: Route) -> str:
    """Return why a request may not be served in this region, or an empty text."""
    homes = route.home_regions
    if homes and node.settings.region not in homes:
        return f"{node.settings.region} is no home of the route"
    return ""


async def _answer_result(
    caller: CallerConnection,
    result: AttemptResult,
    reason: str,
    closed: bool = False,
    unreachable: bool = False,
    target: str = "",
) -> None:
    headers = [
        (RESULT_HEADER, result.value.encode()),
        (REASON_HEADER, reason.encode("ascii", "replace")),
    ]
    if target:
        headers.append((TARGET_HEADER, target.encode()))
    if unreachable:
        headers.append((UNREACHABLE_HEADER, b"1"))
    elif closed:
        headers.append((CLOSED_HEADER, b"1"))
    await caller.answer(503, headers, b"")


def _lacks_links(
    node: GatewayNode, exchange: Exchange, context: PlacementContext
) -> bool:
    """Whether this host can't reach any target of the region that serves a request."""
    targets = node.registry.list_region_targets(exchange.service, context.region)
    return bool(targets) and all(t.entry.id in context.unreachable for t in targets)
