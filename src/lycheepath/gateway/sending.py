"""
Makes one attempt to serve a request at one target and forwards the answer.

Nothing in this module decides where a request goes; the outcome of the attempt holds
what the caller of this module needs for the decision about a retry.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError
from ..core.addresses import parse_address
from ..core.catalog.model import RouteKind
from ..core.placement.outcomes import AttemptOutcome
from ..core.placement.refusals import may_open
from ..core.placement.statements import (
    record_rate_limit,
    record_turn_away_limit,
    record_unreadable_headers,
)
from ..core.serving.answers import find_continuation_fault
from ..core.serving.attempts import AttemptResult, may_run_again
from ..core.serving.events import EVENT_END, EventOrderError
from ..core.serving.requests import Dispatch
from ..platform.headers import read_answer, write_request
from .exchange import FailedAnswer
from .inactivity import NO_LIMIT_S, SilentTargetError
from .instances import is_expected_instance

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.http1.upstream import Upstream
    from ..core.placement.model import Placement
    from ..core.placement.registry import TargetState
    from ..core.serving.answers import AnswerHead
    from .containment import NotedBreak
    from .exchange import Exchange
    from .node import GatewayNode

    LastActivity = Callable[[], float]

# Timeout for connecting to a target of the region; three times the duration of a
# handshake on a busy target.
CONNECT_TIMEOUT_S = 0.3
# Answers up to this size are read completely before they are forwarded, so that the
# request can be retried if the answer breaks off.
MAX_BUFFERED_BYTES = 262_144
# Share of the route's latency objective within which an answer has to begin, by kind of
# route. Afterwards the target is considered stalled.
HEAD_TIMEOUT_SHARE = {RouteKind.SAFE: 0.5, RouteKind.STREAM: 1.0}
# A stream is considered stalled after a pause of the route's gap objective times this
# factor.
GAP_FACTOR = 2.5
# Shortest pause after which a stream is considered stalled.
MIN_GAP_S = 0.8


class WrongVersionError(Exception):
    """The target isn't of the software version that began the stream."""


# How an attempt ended at the target, by the error that ended it.
ERROR_ENDINGS: dict[type[Exception], AttemptOutcome] = {
    EventOrderError: AttemptOutcome.INVALID,
    SilentTargetError: AttemptOutcome.TIMED_OUT,
    WrongVersionError: AttemptOutcome.UNDETERMINED,
}
# Endings that say nothing about a target while this host may be cut off.
LINK_ENDINGS = frozenset({AttemptOutcome.FAILED, AttemptOutcome.TIMED_OUT})


@dataclass(frozen=True, slots=True)
class SendOutcome:
    """
    The outcome of one attempt: its result, how it ended at the target, and why.

    ``closed`` says that no target of the other region is open for the service,
    ``unreachable`` that the other host can't reach them.
    """

    result: AttemptResult
    ending: AttemptOutcome
    reason: str = ""
    closed: bool = False
    unreachable: bool = False


async def send_to_target(
    node: GatewayNode, exchange: Exchange, placed: Placement
) -> SendOutcome:
    """Send a request to a target of this region and forward its answer."""
    exchange.attempt_version = placed.target.entry.version
    exchange.attempt_target = placed.target.entry.id
    prompt = exchange.request_head.prompt
    target = placed.target
    tokens = max(0, prompt.tokens - placed.cached_tokens) if prompt else 0
    key = exchange.number
    node.registry.record_start(
        key,
        target,
        placed.priority or 0,
        tokens,
        node.now(),
        placed.tokens_ahead,
        placed.slot_wait_s <= 0.0,
        placed.expected,
    )
    if prompt:
        node.registry.record_prompt_parts(target, prompt.parts)
    outcome = SendOutcome(AttemptResult.LOST, AttemptOutcome.UNDETERMINED, "cancelled")
    try:
        await node.coordination.report_started(target, prompt)
        outcome = await _run_exchange(node, exchange, placed)
    finally:
        ending = outcome.ending
        if node.links.reachability.is_suspected and ending in LINK_ENDINGS:
            ending = AttemptOutcome.UNDETERMINED
        node.registry.record_end(key, ending, node.now())
        node.coordination.schedule_report(target)
        if outcome.ending is AttemptOutcome.REFUSED:
            node.invalidate_context()
        log_target_changes(node)
    return outcome


def log_target_changes(node: GatewayNode) -> None:
    """Log the changes of the state of targets."""
    for change in node.registry.state_changes:
        record_event(change.event, subject=change.subject, detail=change.detail)
    node.registry.state_changes.clear()


async def _run_exchange(
    node: GatewayNode, exchange: Exchange, placed: Placement
) -> SendOutcome:
    address = parse_address(placed.target.entry.address)
    try:
        upstream = await node.pool.acquire(
            address,
            CONNECT_TIMEOUT_S,
            node.now(),
            exchange.request_head.id.encode("latin-1"),
        )
    except ConnectError as error:
        if error.refused:
            node.links.record_break(
                partial(_record_refused_connection, node, placed.target)
            )
        node.links.record_connect_error(placed.target, error)
        return SendOutcome(
            AttemptResult.NOT_RUN, AttemptOutcome.REFUSED, f"not connected: {error}"
        )
    reusable = False
    try:
        obstacle = await _find_obstacle(node, exchange, placed.target, upstream)
        if obstacle:
            return SendOutcome(AttemptResult.NOT_RUN, AttemptOutcome.NOT_RUN, obstacle)
        answer_head = await _send_request(node, exchange, placed, upstream)
        outcome, reusable = await forward_answer(
            node, exchange, upstream, answer_head, lambda: placed.target.last_contact_at
        )
        if outcome.result is AttemptResult.ANSWERED:
            node.containment.record_answer(exchange, placed.target)
        if reusable and not answer_head.closes_connection:
            max_idle = node.count_idle(placed.target)
            node.pool.release(upstream, answer_head.idle_s, node.now(), max_idle)
        else:
            reusable = False
        return outcome
    except BrokenAnswerError as error:
        if error.connection_ended:
            node.links.record_break(
                partial(
                    _record_break,
                    node,
                    placed.target,
                    node.containment.note_break(exchange, placed.target),
                ),
                exchange.features,
            )
        return SendOutcome(AttemptResult.LOST, AttemptOutcome.FAILED, str(error))
    except (EventOrderError, SilentTargetError, WrongVersionError) as error:
        return SendOutcome(AttemptResult.LOST, ERROR_ENDINGS[type(error)], str(error))
    finally:
        if not reusable:
            abandon(node, exchange, upstream)


async def _find_obstacle(
    node: GatewayNode, exchange: Exchange, target: TargetState, upstream: Upstream
) -> str:
    """
    Return why the target that was chosen can't be sent the request, or "".

    Raises CallerGoneError if nobody waits for the answer any more.
    """
    if not await is_expected_instance(node, exchange, target, upstream):
        return "the target has restarted"
    if exchange.caller.has_left:
        raise CallerGoneError("the caller left before the request was sent")
    listed = node.registry.targets.get(target.entry.id) is target
    if not listed or not may_open(target, node.now()):
        return "the target has left since it was chosen"
    return ""


def abandon(node: GatewayNode, exchange: Exchange, upstream: Upstream) -> None:
    """Close the connection of an attempt; log bytes of its request on their way."""
    undelivered_bytes = upstream.count_undelivered_bytes()
    if undelivered_bytes:
        node.metrics.count("requests_undelivered_total")
        record_event(
            "request-undelivered",
            request=exchange.request_head.id,
            subject=str(upstream.address),
            bytes=undelivered_bytes,
        )
    upstream.close()


def _record_refused_connection(node: GatewayNode, target: TargetState) -> None:
    node.versions.record_break(target.entry.id)
    node.containment.record_refused_connection(target)


def _record_break(
    node: GatewayNode, target: TargetState, noted: NotedBreak | None
) -> None:
    node.versions.record_break(target.entry.id)
    if noted is not None:
        node.containment.record_break(noted)


async def _send_request(
    node: GatewayNode, exchange: Exchange, placed: Placement, upstream: Upstream
) -> AnswerHead:
    """Send the request and read the head of its answer."""
    target = placed.target
    dispatch = Dispatch(
        target=target.entry.id,
        left_s=exchange.deadline - node.now(),
        priority=placed.priority,
        last_event_id=exchange.cutter.last_id,
        fetch_from=placed.fetch_from,
    )
    headers = write_request(exchange.request_head, dispatch)
    body = exchange.request.body
    if body or exchange.request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"content-length", b"%d" % len(body)))
    timeout_s = find_head_timeout_s(exchange)
    sent_at = node.now()
    with node.inactivity.watch(
        exchange.number, timeout_s, lambda: target.last_contact_at
    ):
        status, answer_headers = await upstream.request(
            exchange.request.method,
            exchange.request.target,
            headers,
            body,
            exchange.request_head.id.encode("latin-1"),
        )
    answer_head = read_answer(status, answer_headers)
    exchange.ended_with_connection = upstream.ends_with_connection
    exchange.reported_load = answer_head.load
    node.containment.record_contact(target)
    node.links.record_contact(target)
    if record_answer_head(node, target.entry.id, answer_head, sent_at):
        await node.permits.report_limit(target)
    if record_turn_away_limit(
        node.registry, target.entry.id, answer_head, sent_at, node.now()
    ):
        await node.grants.report_statements()
    if answer_head.turned_away:
        await node.grants.report_refusal(target)
    if answer_head.busy_s is not None:
        node.registry.record_busy(target.entry.id, answer_head.busy_s, node.now())
    return answer_head


def record_answer_head(
    node: GatewayNode, target_id: str, answer_head: AnswerHead, sent_at: float
) -> bool:
    """Apply what an answer states about its target; return if its limit changed."""
    for name in answer_head.unreadable_headers:
        node.metrics.count("answer_headers_unread_total", header=name)
    record_unreadable_headers(node.registry, target_id, answer_head)
    if answer_head.draining and not answer_head.target_replaced:
        node.metrics.count("answers_of_leaving_targets_total")
        node.registry.record_draining(target_id, node.now())
    return record_rate_limit(node.registry, target_id, answer_head, sent_at, node.now())


def find_head_timeout_s(exchange: Exchange) -> float:
    """Return how long a target may send nothing before the answer begins."""
    route = exchange.route
    if not may_run_again(route, exchange.attempts):
        return NO_LIMIT_S
    return HEAD_TIMEOUT_SHARE[route.kind] * route.aim_s


async def forward_answer(
    node: GatewayNode,
    exchange: Exchange,
    upstream: Upstream,
    answer_head: AnswerHead,
    last_activity: LastActivity,
) -> tuple[SendOutcome, bool]:
    """Forward an answer; return the outcome and whether it was read completely."""
    if exchange.extra_headers:
        answer_head = replace(
            answer_head, headers=answer_head.headers + exchange.extra_headers
        )
    if answer_head.not_run:
        await upstream.read_all(MAX_BUFFERED_BYTES)
        reason = f"the target did not run it: {answer_head.status}"
        ending = (
            AttemptOutcome.REPLACED
            if answer_head.target_replaced
            else AttemptOutcome.NOT_RUN
        )
        return SendOutcome(AttemptResult.NOT_RUN, ending, reason), True
    if not answer_head.succeeded:
        body = await upstream.read_all(MAX_BUFFERED_BYTES)
        exchange.failed_answer = FailedAnswer(
            answer_head.status, answer_head.headers, body
        )
        reason = f"the target failed: {answer_head.status}"
        ending = (
            AttemptOutcome.FAILED
            if answer_head.status >= 500
            else AttemptOutcome.COMPLETED
        )
        return SendOutcome(AttemptResult.FAILED, ending, reason), True
    if not answer_head.signed:
        return SendOutcome(
            AttemptResult.LOST, AttemptOutcome.INVALID, "the answer isn't signed"
        ), False
    if exchange.route.kind is RouteKind.STREAM:
        await _forward_stream(node, exchange, upstream, answer_head, last_activity)
    else:
        await _forward_buffered(exchange, upstream, answer_head)
    return SendOutcome(AttemptResult.ANSWERED, AttemptOutcome.COMPLETED), True


async def _forward_buffered(
    exchange: Exchange, upstream: Upstream, answer_head: AnswerHead
) -> None:
    """Read an answer completely and forward it; forward large ones in parts."""
    parts: list[bytes] = []
    size = 0
    while (data := await upstream.read_body()) is not None:
        parts.append(data)
        size += len(data)
        if size > MAX_BUFFERED_BYTES:
            await _forward_large(exchange, upstream, answer_head, b"".join(parts))
            return
    await exchange.caller.answer(
        answer_head.status, answer_head.headers, b"".join(parts)
    )


async def _forward_large(
    exchange: Exchange, upstream: Upstream, answer_head: AnswerHead, first: bytes
) -> None:
    head = await exchange.caller.start_answer(answer_head.status, answer_head.headers)
    await exchange.caller.send_data(first, head)
    while (data := await upstream.read_body()) is not None:
        await exchange.caller.send_data(data)
    await exchange.caller.end_answer()


async def _forward_stream(
    node: GatewayNode,
    exchange: Exchange,
    upstream: Upstream,
    answer_head: AnswerHead,
    last_activity: LastActivity,
) -> None:
    """Forward complete events as they arrive, and end the answer after the last."""
    _require_version(node, exchange)
    _require_continuation(exchange, answer_head)
    exchange.cutter.restart()
    events_before = exchange.cutter.event_count
    with node.inactivity.watch(
        exchange.number, _find_gap_timeout_s(exchange), last_activity
    ) as timer:
        while (data := await upstream.read_body()) is not None:
            events = exchange.cutter.feed(data)
            if not events:
                continue
            timeout_s = timer.suspend()
            await _forward_events(node, exchange, answer_head, events)
            if exchange.cutter.event_count == events_before:
                # Comments aren't progress of the answer.
                timer.resume(timeout_s)
                continue
            events_before = exchange.cutter.event_count
            timer.restart(_find_gap_timeout_s(exchange))
    if not exchange.cutter.complete:
        raise BrokenAnswerError("the stream ended within an event", True)
    if upstream.ends_with_connection and exchange.cutter.received_id is None:
        raise BrokenAnswerError("the stream ended before its first event", True)
    exchange.cutter.check_end(answer_head.request_id == exchange.request_head.id)
    head = b""
    if not exchange.answer_started:
        head = await _start_stream(exchange, answer_head)
    await exchange.caller.end_answer(head)


async def _start_stream(exchange: Exchange, answer_head: AnswerHead) -> bytes:
    """
    Start the caller's answer, without the length of the target's.

    Events that the caller has are dropped, and other targets' may follow.
    """
    exchange.started_head = answer_head
    headers = [h for h in answer_head.headers if h[0] != b"content-length"]
    return await exchange.caller.start_answer(answer_head.status, headers)


async def _forward_events(
    node: GatewayNode, exchange: Exchange, answer_head: AnswerHead, events: bytes
) -> None:
    """Forward complete events, the first ones together with the answer's head."""
    head = b""
    if not exchange.answer_started:
        head = await _start_stream(exchange, answer_head)
    now = node.now()
    if exchange.version is None:
        await node.versions.record_begun(exchange)
    exchange.record_events(now)
    started_target = node.registry.record_events(
        exchange.number, events.count(EVENT_END), now
    )
    if started_target is not None:
        node.coordination.schedule_report(started_target)
    await exchange.caller.send_data(events, head)


def _require_version(node: GatewayNode, exchange: Exchange) -> None:
    """Raise WrongVersionError unless the current attempt may go on with the stream."""
    target = node.registry.targets.get(exchange.attempt_target)
    if target is not None and target.entry.version != exchange.attempt_version:
        # The target has restarted since the request was placed.
        exchange.attempt_version = ""
    bound = node.versions.find_bound_version(exchange)
    if bound is not None and (not bound or exchange.attempt_version != bound):
        raise WrongVersionError(
            f"the target has version {exchange.attempt_version or 'unknown'},"
            f" the stream was begun by {bound or 'unknown'}"
        )


def _require_continuation(exchange: Exchange, answer_head: AnswerHead) -> None:
    """Raise EventOrderError if an answer can't go on with the stream that was started."""
    if exchange.started_head is None:
        return
    fault = find_continuation_fault(exchange.started_head, answer_head)
    if not fault and not exchange.cutter.resumable:
        fault = "its events have no ids"
    if fault:
        raise EventOrderError(f"the answer doesn't continue the stream: {fault}")


def _find_gap_timeout_s(exchange: Exchange) -> float:
    """Return how long a stream may pause before it is resumed at another target."""
    route = exchange.route
    if not may_run_again(route, exchange.attempts):
        return NO_LIMIT_S
    if not exchange.answer_started:
        return route.aim_s
    return max(MIN_GAP_S, GAP_FACTOR * route.gap_aim_s)
