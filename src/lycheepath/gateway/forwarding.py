"""
Forwards the answer of a target, or of another host, to the caller.

An attempt takes over the request with the first bytes that it has for the caller. Until then
other attempts may answer in its place.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..adapters.http1.sockets import count_send_room
from ..adapters.http1.upstream import BrokenAnswerError
from ..core.catalog.model import RouteKind
from ..core.limits.buffers import BufferShare
from ..core.placement.outcomes import AttemptOutcome
from ..core.serving.answers import find_continuation_fault
from ..core.serving.attempts import AttemptResult, may_run_again
from ..core.serving.events import EVENT_END, EventOrderError
from .attempts import SendOutcome
from .exchange import FailedAnswer
from .inactivity import NO_LIMIT_S
from .withholding import NoRoomError, SlowDeliveryError, require_delivery

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection
    from ..adapters.http1.upstream import Upstream
    from ..core.serving.answers import AnswerHead
    from ..core.serving.events import EventSplitter
    from .attempts import Attempt, Watch
    from .exchange import Exchange
    from .node import GatewayNode

# Answers up to this size are read completely before they are forwarded, so that the
# request can be retried if the answer breaks off.
MAX_BUFFERED_BYTES = 262_144
# Share of the route's latency objective within which an answer has to begin, by kind of
# route. Afterwards the target is considered silent.
HEAD_TIMEOUT_SHARE = {RouteKind.SAFE: 0.5, RouteKind.STREAM: 1.0}
# A stream is considered silent after a pause of the route's gap objective times this
# factor.
GAP_FACTOR = 2.5
# Shortest pause after which a stream is considered silent.
MIN_GAP_S = 0.8


class WrongVersionError(Exception):
    """The target isn't of the software version that began the stream."""


def find_head_timeout_s(exchange: Exchange) -> float:
    """Return how long a target may send nothing before an answer begins."""
    route = exchange.route
    if not may_run_again(route, exchange.attempts):
        return NO_LIMIT_S
    return HEAD_TIMEOUT_SHARE[route.kind] * route.aim_s


async def forward_answer(
    node: GatewayNode,
    attempt: Attempt,
    upstream: Upstream,
    answer_head: AnswerHead,
    watch: Watch,
) -> tuple[SendOutcome, bool]:
    """
    Forward an answer; return the outcome and whether it was read completely.

    Raises AttemptReplacedError if another attempt has answered.
    """
    exchange = attempt.exchange
    if attempt.extra_headers:
        answer_head = replace(
            answer_head, headers=answer_head.headers + attempt.extra_headers
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
        await _forward_stream(node, attempt, upstream, answer_head, watch)
    else:
        share = BufferShare(node.buffers)
        try:
            await _forward_buffered(node, attempt, upstream, answer_head, share)
        finally:
            share.release()
    return SendOutcome(AttemptResult.ANSWERED, AttemptOutcome.COMPLETED), True


async def _forward_buffered(
    node: GatewayNode,
    attempt: Attempt,
    upstream: Upstream,
    answer_head: AnswerHead,
    share: BufferShare,
) -> None:
    """
    Read an answer completely and forward it; forward large ones in parts.

    An answer for which this process has no room is forwarded as a large one, unless it
    is withheld until it is whole.
    """
    caller = attempt.exchange.caller
    must_be_whole = attempt.exchange.withheld is not None
    parts: list[bytes] = []
    size = 0
    while (data := await upstream.read_body()) is not None:
        parts.append(data)
        size += len(data)
        has_room = share.hold(size)
        if must_be_whole and not has_room:
            raise NoRoomError(size)
        if not must_be_whole and (size > MAX_BUFFERED_BYTES or not has_room):
            attempt.take_over()
            await _forward_large(caller, upstream, answer_head, parts)
            return
    if must_be_whole:
        _require_delivery(node, attempt.exchange, size)
    attempt.take_over()
    await caller.answer(answer_head.status, answer_head.headers, b"".join(parts))


async def _forward_large(
    caller: CallerConnection,
    upstream: Upstream,
    answer_head: AnswerHead,
    parts: list[bytes],
) -> None:
    """Forward the parts that were read, none of which is kept, and those to come."""
    head = await caller.start_answer(answer_head.status, answer_head.headers)
    parts.reverse()
    while parts:
        await caller.send_data(parts.pop(), head)
        head = b""
    while (data := await upstream.read_body()) is not None:
        await caller.send_data(data)
    await caller.end_answer()


async def _forward_stream(
    node: GatewayNode,
    attempt: Attempt,
    upstream: Upstream,
    answer_head: AnswerHead,
    watch: Watch,
) -> None:
    """Forward complete events as they arrive, and end the answer after the last."""
    exchange, cutter = attempt.exchange, attempt.cutter
    _require_version(node, attempt)
    _require_continuation(exchange, answer_head)
    events_before = cutter.event_count
    with watch(_find_gap_timeout_s(exchange)) as timer:
        while (data := await upstream.read_body()) is not None:
            notices_before = cutter.notice_count
            events = cutter.feed(data)
            if cutter.notice_count > notices_before:
                timer.report_silence()
            if not events:
                continue
            timeout_s = timer.suspend()
            if cutter.event_count == events_before:
                # Comments aren't progress of the answer.
                if not attempt.has_rivals and attempt.silent_since is None:
                    await _forward_events(node, attempt, answer_head, events)
                timer.resume(timeout_s)
                continue
            events_before = cutter.event_count
            attempt.take_over()
            timer.end_silence()
            await _forward_events(node, attempt, answer_head, events)
            timer.restart(_find_gap_timeout_s(exchange))
        _check_end(exchange, cutter, upstream, answer_head)
        withheld = exchange.withheld
        if withheld is not None:
            _require_delivery(node, exchange, withheld.size)
        attempt.take_over()
    head = b""
    if not exchange.answer_started:
        head = await _start_stream(exchange, exchange.started_head or answer_head)
    await exchange.caller.end_answer(head, withheld.take() if withheld else b"")


def _require_delivery(node: GatewayNode, exchange: Exchange, size: int) -> None:
    """Raise SlowDeliveryError unless a withheld answer will be delivered in time."""
    send_room = count_send_room(exchange.caller.stream)
    try:
        require_delivery(size, send_room, node.find_delivery_s())
    except SlowDeliveryError:
        exchange.undeliverable = True
        raise


def _check_end(
    exchange: Exchange,
    cutter: EventSplitter,
    upstream: Upstream,
    answer_head: AnswerHead,
) -> None:
    """Raise BrokenAnswerError or EventOrderError unless a stream has really ended."""
    if not cutter.complete:
        raise BrokenAnswerError("the stream ended within an event", True)
    if upstream.ends_with_connection and cutter.received_id is None:
        raise BrokenAnswerError("the stream ended before its first event", True)
    cutter.check_end(answer_head.request_id == exchange.request_head.id)


async def _start_stream(exchange: Exchange, answer_head: AnswerHead) -> bytes:
    """
    Start the caller's answer, without the length of the target's.

    Events that the caller has are dropped, and other targets' may follow.
    """
    exchange.started_head = answer_head
    headers = [h for h in answer_head.headers if h[0] != b"content-length"]
    return await exchange.caller.start_answer(answer_head.status, headers)


async def _forward_events(
    node: GatewayNode, attempt: Attempt, answer_head: AnswerHead, events: bytes
) -> None:
    """Forward complete events, the first ones together with the answer's head."""
    exchange = attempt.exchange
    withheld = exchange.withheld
    head = b""
    if withheld is not None:
        withheld.add(events)
        exchange.started_head = exchange.started_head or answer_head
    elif not exchange.answer_started:
        head = await _start_stream(exchange, answer_head)
    now = node.now()
    if exchange.version is None:
        await node.versions.record_begun(exchange, attempt.target, attempt.version)
    exchange.record_events(now)
    started_target = node.registry.record_events(
        attempt.number, events.count(EVENT_END), now
    )
    if started_target is not None:
        node.coordination.schedule_report(started_target)
    if withheld is None:
        await exchange.caller.send_data(events, head)


def _require_version(node: GatewayNode, attempt: Attempt) -> None:
    """Raise WrongVersionError unless an attempt may go on with the stream."""
    target = node.registry.targets.get(attempt.target)
    if target is not None and target.entry.version != attempt.version:
        # The target has restarted since the request was placed.
        attempt.version = ""
    bound = node.versions.find_bound_version(attempt.exchange)
    if bound is not None and (not bound or attempt.version != bound):
        raise WrongVersionError(
            f"the target has version {attempt.version or 'unknown'},"
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
    """Return how long a stream may pause before another target is asked to go on."""
    route = exchange.route
    if not may_run_again(route, exchange.attempts):
        return NO_LIMIT_S
    if not exchange.answer_begun:
        return route.aim_s
    return max(MIN_GAP_S, GAP_FACTOR * route.gap_aim_s)
