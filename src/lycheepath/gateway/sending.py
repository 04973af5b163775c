"""
One sending of a request to one target, and the passing on of its answer.

Nothing is decided here on where a request goes; the result says what is known
of the sending, so that the caller of this module can.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError
from ..core.addresses import parse_address
from ..core.catalog.model import RouteKind
from ..core.placement.registry import AttemptOutcome
from ..core.serving.attempts import AttemptResult, may_run_again
from ..core.serving.events import EVENT_END, EventOrderError
from ..core.serving.requests import Dispatch
from ..platform.headers import read_answer, write_request
from .exchange import HeldAnswer
from .silence import NO_LIMIT_S, SilentTargetError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.http1.upstream import Upstream
    from ..core.placement.model import Placement
    from ..core.serving.answers import AnswerHead
    from .exchange import Exchange
    from .node import GatewayNode

    LastSign = Callable[[], float]

# To a target of the region; three times a handshake on a busy target.
CONNECT_S = 0.3
# Whole answers up to this size are read before they are passed on, so that one
# that breaks off can be asked for again.
HELD_BYTES = 262_144
# A target is taken for silent after this part of the caller's aim.
SILENT_SHARE = {RouteKind.SAFE: 0.5, RouteKind.STREAM: 1.0}
# Pauses within a stream are longer than the aimed one by this factor at most.
GAP_FACTOR = 2.5
LEAST_GAP_S = 0.8


@dataclass(frozen=True, slots=True)
class Sent:
    """
    The result of one sending, what it says of the target, and why.

    ``closed`` says that no target of the other region is open for the service.
    """

    result: AttemptResult
    ending: AttemptOutcome
    reason: str = ""
    closed: bool = False


async def send_to_target(
    node: GatewayNode, exchange: Exchange, placed: Placement
) -> Sent:
    """Send a request to a target of this region and pass its answer on."""
    prompt = exchange.facts.prompt
    target = placed.target
    tokens = max(0, prompt.tokens - placed.cached_tokens) if prompt else 0
    key = exchange.number
    node.book.record_start(
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
        node.book.record_prompt_parts(target, prompt.parts)
    sent = Sent(AttemptResult.LOST, AttemptOutcome.UNDETERMINED, "cancelled")
    try:
        await node.keeping.note_started(target, prompt)
        sent = await _exchange(node, exchange, placed)
    finally:
        node.book.record_end(key, sent.ending, node.now())
        node.keeping.note_changed(target)
        if sent.ending is AttemptOutcome.REFUSED:
            node.forget_surroundings()
        log_beliefs(node)
    return sent


def log_beliefs(node: GatewayNode) -> None:
    """Log what has changed in the beliefs about targets."""
    for note in node.book.state_changes:
        record_event(note.event, subject=note.subject, detail=note.detail)
    node.book.state_changes.clear()


async def _exchange(node: GatewayNode, exchange: Exchange, placed: Placement) -> Sent:
    address = parse_address(placed.target.entry.address)
    target_id = placed.target.entry.id
    try:
        upstream = await node.pool.take(address, CONNECT_S, node.now())
    except ConnectError as error:
        return Sent(
            AttemptResult.NOT_RUN, AttemptOutcome.REFUSED, f"not connected: {error}"
        )
    kept = False
    try:
        facts = await _ask(node, exchange, placed, upstream)
        sent, kept = await pass_on(
            node, exchange, upstream, facts, lambda: placed.target.last_contact_at
        )
        if sent.result is AttemptResult.ANSWERED:
            node.suspects.record_answer(exchange.fingerprint, target_id, node.now())
        if kept and not facts.closes_connection:
            most_idle = node.count_idle(placed.target)
            node.pool.give_back(upstream, facts.idle_s, node.now(), most_idle)
        else:
            kept = False
        return sent
    except BrokenAnswerError as error:
        node.suspects.record_disconnect(exchange.fingerprint, target_id, node.now())
        return Sent(AttemptResult.LOST, AttemptOutcome.FAILED, str(error))
    except EventOrderError as error:
        return Sent(AttemptResult.LOST, AttemptOutcome.INVALID, str(error))
    except SilentTargetError as error:
        return Sent(AttemptResult.LOST, AttemptOutcome.TIMED_OUT, str(error))
    finally:
        if not kept:
            upstream.close()


async def _ask(
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
    headers = write_request(exchange.facts, dispatch)
    body = exchange.request.body
    if body or exchange.request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"content-length", b"%d" % len(body)))
    limit_s = bound_first_silence(exchange)
    with node.silence.guard(exchange.number, limit_s, lambda: target.last_contact_at):
        status, answered = await upstream.request(
            exchange.request.method,
            exchange.request.target,
            headers,
            body,
            exchange.facts.id.encode("latin-1"),
        )
    facts = read_answer(status, answered)
    exchange.load = facts.load
    note_head(node, target.entry.id, facts)
    if facts.busy_s is not None:
        node.book.record_busy(target.entry.id, facts.busy_s, node.now())
    return facts


def note_head(node: GatewayNode, target_id: str, facts: AnswerHead) -> None:
    """Take what the head of an answer says of its target, for any host."""
    for name in facts.unreadable_headers:
        node.metrics.count("answer_headers_unread_total", header=name)
    if facts.draining and not facts.target_replaced:
        node.metrics.count("answers_of_leaving_targets_total")
        node.book.record_draining(target_id, node.now())


def bound_first_silence(exchange: Exchange) -> float:
    """Return how long a target may be silent before the answer begins."""
    route = exchange.route
    if not may_run_again(route, exchange.tries):
        return NO_LIMIT_S
    return SILENT_SHARE[route.kind] * route.aim_s


async def pass_on(
    node: GatewayNode,
    exchange: Exchange,
    upstream: Upstream,
    facts: AnswerHead,
    last_sign: LastSign,
) -> tuple[Sent, bool]:
    """Pass an answer on; return the result, and whether it was read whole."""
    if exchange.added:
        facts = replace(facts, headers=facts.headers + exchange.added)
    if facts.not_run:
        await upstream.read_whole(HELD_BYTES)
        reason = f"the target did not run it: {facts.status}"
        ending = (
            AttemptOutcome.REPLACED if facts.target_replaced else AttemptOutcome.NOT_RUN
        )
        return Sent(AttemptResult.NOT_RUN, ending, reason), True
    if not facts.succeeded:
        body = await upstream.read_whole(HELD_BYTES)
        exchange.held = HeldAnswer(facts.status, facts.headers, body)
        reason = f"the target failed: {facts.status}"
        ending = (
            AttemptOutcome.FAILED if facts.status >= 500 else AttemptOutcome.COMPLETED
        )
        return Sent(AttemptResult.FAILED, ending, reason), True
    if not facts.signed:
        return Sent(
            AttemptResult.LOST, AttemptOutcome.INVALID, "the answer isn't signed"
        ), False
    if exchange.route.kind is RouteKind.STREAM:
        await _pass_stream(node, exchange, upstream, facts, last_sign)
    else:
        await _pass_whole(exchange, upstream, facts)
    return Sent(AttemptResult.ANSWERED, AttemptOutcome.COMPLETED), True


async def _pass_whole(
    exchange: Exchange, upstream: Upstream, facts: AnswerHead
) -> None:
    """Read an answer whole and pass it on; pass on large ones as they come."""
    parts: list[bytes] = []
    size = 0
    while (data := await upstream.read_body()) is not None:
        parts.append(data)
        size += len(data)
        if size > HELD_BYTES:
            await _pass_large(exchange, upstream, facts, b"".join(parts))
            return
    await exchange.caller.answer(facts.status, facts.headers, b"".join(parts))


async def _pass_large(
    exchange: Exchange, upstream: Upstream, facts: AnswerHead, first: bytes
) -> None:
    head = await exchange.caller.start_answer(facts.status, facts.headers)
    await exchange.caller.send_data(first, head)
    while (data := await upstream.read_body()) is not None:
        await exchange.caller.send_data(data)
    await exchange.caller.end_answer()


async def _pass_stream(
    node: GatewayNode,
    exchange: Exchange,
    upstream: Upstream,
    facts: AnswerHead,
    last_sign: LastSign,
) -> None:
    """Pass on whole events as they come, and end the answer with the last."""
    exchange.cutter.restart()
    made = exchange.cutter.event_count
    with node.silence.guard(exchange.number, _gap_s(exchange), last_sign) as guard:
        while (data := await upstream.read_body()) is not None:
            events = exchange.cutter.feed(data)
            if not events:
                continue
            limit_s = guard.rest()
            await _pass_events(node, exchange, facts, events)
            if exchange.cutter.event_count == made:
                # Comments don't show that the answer goes on.
                guard.resume(limit_s)
                continue
            made = exchange.cutter.event_count
            guard.expect(_gap_s(exchange))
    if not exchange.cutter.complete:
        raise BrokenAnswerError("the stream ended within an event")
    head = b""
    if not exchange.begun:
        head = await exchange.caller.start_answer(facts.status, facts.headers)
    await exchange.caller.end_answer(head)


async def _pass_events(
    node: GatewayNode, exchange: Exchange, facts: AnswerHead, events: bytes
) -> None:
    """Pass on whole events, the first ones behind the answer's head."""
    head = b""
    if not exchange.begun:
        head = await exchange.caller.start_answer(facts.status, facts.headers)
    now = node.now()
    exchange.note_events(now)
    begun = node.book.record_events(exchange.number, events.count(EVENT_END), now)
    if begun is not None:
        node.keeping.note_changed(begun)
    await exchange.caller.send_data(events, head)


def _gap_s(exchange: Exchange) -> float:
    """Return how long a stream may pause before it goes on elsewhere."""
    route = exchange.route
    if not may_run_again(route, exchange.tries):
        return NO_LIMIT_S
    if not exchange.begun:
        return route.aim_s
    return max(LEAST_GAP_S, GAP_FACTOR * route.gap_aim_s)
