"""
Makes one attempt to serve a request at one target of this region.

Nothing in this module decides where a request goes; the outcome of the attempt holds
what the caller of this module needs for the decision about a retry.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError
from ..core.addresses import parse_address
from ..core.placement.outcomes import AttemptOutcome
from ..core.placement.refusals import may_open
from ..core.placement.silence import judge_silence
from ..core.placement.statements import (
    record_rate_limit,
    record_turn_away_limit,
    record_unreadable_headers,
    record_work_time,
)
from ..core.serving.attempts import AttemptResult
from ..core.serving.events import EventOrderError
from ..core.serving.requests import Dispatch
from ..platform.headers import read_answer, write_request
from .attempts import CANCELLED, SendOutcome, watch_silence
from .forwarding import WrongVersionError, find_head_timeout_s, forward_answer
from .instances import is_expected_instance
from .withholding import NoRoomError, SlowDeliveryError, UndeliverableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.http1.upstream import Upstream
    from ..core.placement.registry import TargetState
    from ..core.serving.answers import AnswerHead
    from .attempts import Attempt, Watch
    from .containment import NotedBreak
    from .exchange import Exchange
    from .node import GatewayNode

# Timeout for connecting to a target of the region; three times the duration of a
# handshake on a busy target.
CONNECT_TIMEOUT_S = 0.3
# How an attempt ended at the target, by the error that ended it.
ERROR_ENDINGS: dict[type[Exception], AttemptOutcome] = {
    EventOrderError: AttemptOutcome.INVALID,
    WrongVersionError: AttemptOutcome.UNDETERMINED,
    NoRoomError: AttemptOutcome.UNDETERMINED,
    SlowDeliveryError: AttemptOutcome.UNDETERMINED,
}
# Endings that say nothing about a target while this host may be cut off.
LINK_ENDINGS = frozenset({AttemptOutcome.FAILED, AttemptOutcome.TIMED_OUT})


def record_placed(node: GatewayNode, attempt: Attempt) -> None:
    """
    Count an attempt at its target before another request is placed.

    ``send_to_target`` has to follow.
    """
    placed = attempt.placed
    prompt = attempt.exchange.request_head.prompt
    tokens = max(0, prompt.tokens - placed.cached_tokens) if prompt else 0
    node.registry.record_start(
        attempt.number,
        placed.target,
        placed.priority or 0,
        tokens,
        node.now(),
        placed.tokens_ahead,
        placed.slot_wait_s <= 0.0,
        placed.expected,
    )
    if prompt:
        node.registry.record_prompt_parts(placed.target, prompt.parts)


async def send_to_target(
    node: GatewayNode, attempt: Attempt, on_silence: Callable[[], None]
) -> SendOutcome:
    """
    Send a request to a target of this region and forward its answer.

    ``on_silence`` is called when the target is silent for too long, and when it goes on.
    """
    target = attempt.placed.target
    outcome = CANCELLED
    try:
        prompt = attempt.exchange.request_head.prompt
        await node.coordination.report_started(target, prompt)
        outcome = await _run_exchange(node, attempt, on_silence)
    finally:
        ending = outcome.ending
        if outcome is CANCELLED and attempt.silent_since is not None:
            ending = judge_silence(
                target, attempt.silent_since, attempt.ignored, node.now()
            )
        if node.links.reachability.is_suspected and ending in LINK_ENDINGS:
            ending = AttemptOutcome.UNDETERMINED
        node.registry.record_end(attempt.number, ending, node.now())
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
    node: GatewayNode, attempt: Attempt, on_silence: Callable[[], None]
) -> SendOutcome:
    exchange, placed = attempt.exchange, attempt.placed
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
    watch = watch_silence(
        node, attempt, lambda: placed.target.last_contact_at, on_silence
    )
    reusable = False
    try:
        obstacle = await _find_obstacle(node, exchange, placed.target, upstream, watch)
        if obstacle:
            return SendOutcome(AttemptResult.NOT_RUN, AttemptOutcome.NOT_RUN, obstacle)
        answer_head = await _send_request(node, attempt, upstream, watch)
        outcome, reusable = await forward_answer(
            node, attempt, upstream, answer_head, watch
        )
        if outcome.result is AttemptResult.ANSWERED:
            node.containment.record_answer(
                exchange, placed.target, attempt.ended_with_connection
            )
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
                    node.containment.note_break(attempt, placed.target),
                ),
                exchange.features,
            )
        return SendOutcome(AttemptResult.LOST, AttemptOutcome.FAILED, str(error))
    except (EventOrderError, WrongVersionError, UndeliverableError) as error:
        return SendOutcome(AttemptResult.LOST, ERROR_ENDINGS[type(error)], str(error))
    finally:
        if not reusable:
            abandon(node, exchange, upstream)


async def _find_obstacle(
    node: GatewayNode,
    exchange: Exchange,
    target: TargetState,
    upstream: Upstream,
    watch: Watch,
) -> str:
    """
    Return why the target that was chosen can't be sent the request, or "".

    Raises CallerGoneError if nobody waits for the answer any more.
    """
    if not await is_expected_instance(node, exchange, target, upstream, watch):
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
    node: GatewayNode, attempt: Attempt, upstream: Upstream, watch: Watch
) -> AnswerHead:
    """Send the request and read the head of its answer."""
    exchange, placed = attempt.exchange, attempt.placed
    target = placed.target
    dispatch = Dispatch(
        target=target.entry.id,
        left_s=exchange.deadline - node.now(),
        priority=placed.priority,
        last_event_id=attempt.cutter.last_id,
        fetch_from=placed.fetch_from,
        team=exchange.team_name,
    )
    headers = write_request(exchange.request_head, dispatch)
    body = exchange.request.body
    if body or exchange.request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"content-length", b"%d" % len(body)))
    sent_at = node.now()
    with watch(find_head_timeout_s(exchange)):
        status, answer_headers = await upstream.request(
            exchange.request.method,
            exchange.request.target,
            headers,
            body,
            exchange.request_head.id.encode("latin-1"),
        )
    answer_head = read_answer(status, answer_headers)
    attempt.ended_with_connection = upstream.ends_with_connection
    attempt.reported_load = answer_head.load
    node.containment.record_contact(target)
    node.links.record_contact(target)
    if record_answer_head(node, target.entry.id, answer_head, sent_at):
        await node.permits.report_limit(target)
    if record_turn_away_limit(
        node.registry, target.entry.id, answer_head, sent_at, node.now()
    ):
        await node.grants.report_statements()
    if answer_head.turned_away:
        node.registry.paces.record_refusal(placed, node.now())
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
    record_work_time(node.registry, target_id, answer_head)
    if answer_head.draining and not answer_head.target_replaced:
        node.metrics.count("answers_of_leaving_targets_total")
        node.registry.record_draining(target_id, node.now())
    return record_rate_limit(node.registry, target_id, answer_head, sent_at, node.now())
