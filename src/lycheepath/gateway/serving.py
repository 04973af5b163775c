"""
Serves one caller's request: finds its route, sends it to targets, and answers.

A request gets exactly one answer from this host, whatever its targets do: a target's
answer, a refusal that states that the request has not run, or a failure that leaves
this open. All decisions are logged under the request's id.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..core.catalog.model import RouteKind
from ..core.catalog.routes import draw_service
from ..core.placement.silence import SOUND_SILENCE_S, find_heard_s_ago
from ..core.reasons import Absent, Reason
from ..core.serving.attempts import AttemptResult, may_start_another
from ..platform.headers import find_request_id, read_request
from .attempts import Attempt, AttemptRace
from .exchange import Exchange
from .relay import has_other_host, send_to_region
from .sending import send_to_target
from .telemetry import (
    END_REASON,
    FAULT_REASON,
    TIMEOUT_REASON,
    record_outcome,
    record_request_fault,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.placement.model import Placement, PreviousAttempts
    from .attempts import SendOutcome
    from .node import GatewayNode

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
NOT_FOUND_STATUS = 404
# Statuses from which callers conclude that the request has not run. A target that
# sends only such a status hasn't guaranteed this, so they are not forwarded.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Deadline of a request that names none, while it waits for the first configuration.
DEFAULT_DEADLINE_S = 60.0
# Time within which a refusal after the deadline has to be sent.
LATE_REFUSAL_TIMEOUT_S = 1.0
# Retry-after time while no configuration or no target is known.
RETRY_SOON_S = 0.5
# Interval at which another place is looked for while all attempts are silent.
PLACE_AGAIN_S = 0.25
# Why no other attempt is made.
NO_ATTEMPT = "the route allows no other attempt"
NO_RETRY = "the retry budget is used up"
# The reason of an attempt that was silent until another one answered.
REPLACED_REASON = "another attempt has answered"
# Largest number of parts of a prompt that are named in a log line.
MAX_LOGGED_PARTS = 8
# Retry-after times are increased randomly by up to this share, so that refused callers
# don't retry all at once.
RETRY_SPREAD = 0.5


async def serve_request(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Answer one request."""
    caller.close_after_answer = caller.close_after_answer or node.shutting_down
    with node.count_request():
        try:
            exchange = await _open_exchange(node, caller, request)
        except CallerGoneError:
            raise
        except Exception:
            await _refuse_after_fault(node, caller, request)
            return
        if exchange is not None:
            await _serve_exchange(node, caller, exchange)


async def _serve_exchange(
    node: GatewayNode, caller: CallerConnection, exchange: Exchange
) -> None:
    try:
        with node.limit_request(exchange.deadline) as scope:
            await _run(node, exchange)
        if scope.cancelled_caught and node.ending:
            await _answer_at_end(node, exchange)
        elif scope.cancelled_caught:
            await _answer_timeout(node, exchange)
    except CallerGoneError:
        raise
    except Exception:
        record_request_fault(node, exchange.request_head.id)
        exchange.reason = FAULT_REASON
        with trio.move_on_after(LATE_REFUSAL_TIMEOUT_S) as scope:
            await _give_up(node, exchange, None)
        if scope.cancelled_caught:
            _abort_answer(node, exchange)
    finally:
        node.containment.end_trial(exchange)
        if caller.disconnected and not exchange.outcome_logged:
            _log_outcome(node, exchange, "left", 0)


async def _refuse_after_fault(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Refuse a request for which no exchange could be opened; it hasn't run."""
    request_id = find_request_id(request.headers)
    record_request_fault(node, request_id)
    if caller.answer_started:
        caller.abort_answer()
        return
    status, wait_s = NOT_RUN_STATUS, RETRY_SOON_S
    with caller.abort_after(LATE_REFUSAL_TIMEOUT_S):
        await _refuse(node, caller, request_id, status, wait_s, FAULT_REASON)


async def _open_exchange(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> Exchange | None:
    """Return the exchange of a request; answer it if it has no route."""
    request_head = read_request(request.headers)
    if node.catalog.routes is None:
        with trio.move_on_after(
            node.find_hold_s(request_head.deadline_s or DEFAULT_DEADLINE_S)
        ):
            await node.configured.wait()
    table = node.catalog.routes
    if table is None:
        await _refuse(
            node,
            caller,
            request_head.id,
            NOT_RUN_STATUS,
            RETRY_SOON_S,
            "no configuration",
        )
        return None
    path = request.target.decode("latin-1")
    route = table.match(request_head.host, path)
    if route is None:
        await _refuse(node, caller, request_head.id, NOT_FOUND_STATUS, None, "no route")
        return None
    wait_s = min(route.timeout_s, request_head.deadline_s or route.timeout_s)
    service = draw_service(route, node.random)
    node.retries.count_request(service, node.now())
    return Exchange(
        caller,
        request,
        request_head,
        route,
        service,
        request.received_at + wait_s,
        node.next_number(),
    )


async def _run(node: GatewayNode, exchange: Exchange) -> None:
    if exchange.route.kind is RouteKind.STREAM and exchange.route.resumable:
        unbound = await node.versions.bind(exchange)
        if unbound is not None:
            await _give_up(node, exchange, unbound)
            return
    ending = await _answer_by_attempts(node, exchange)
    if isinstance(ending, Attempt):
        _log_outcome(node, exchange, "answered", 200, ending)
        return
    await _give_up(node, exchange, ending)


async def _answer_by_attempts(
    node: GatewayNode, exchange: Exchange
) -> Attempt | Absent | None:
    """
    Make attempts until one answers; return that one, or why no other can be made.

    None means that the route or the retry budget allows no other.
    """
    ending: Attempt | Absent | None = None
    fault: Exception | None = None
    async with trio.open_nursery() as nursery:
        race = AttemptRace(node, exchange, nursery, _send)
        try:
            ending = await _run_race(node, exchange, race)
        except Exception as error:
            # A nursery would raise it within a group.
            fault = error
        nursery.cancel_scope.cancel()
    if fault is not None:
        raise fault
    return ending


async def _run_race(
    node: GatewayNode, exchange: Exchange, race: AttemptRace
) -> Attempt | Absent | None:
    while True:
        if race.needs_another:
            absent = None
            with race.interrupt_at_change():
                absent = await _start_another(node, exchange, race)
            if race.is_over or _has_better_end(exchange, race):
                return absent
        if not race.ended:
            await race.wait(PLACE_AGAIN_S if race.needs_another else math.inf)
        for attempt in race.take_ended():
            if attempt.error is not None:
                raise attempt.error
            if attempt.outcome.result is AttemptResult.ANSWERED:
                return attempt
            _log_send_failure(node, attempt)
            if not attempt.replaced:
                exchange.reason = attempt.outcome.reason
                exchange.previous_attempts = _add_attempt(node, attempt)


def _has_better_end(exchange: Exchange, race: AttemptRace) -> bool:
    """
    Whether a target's failure is a better end than to wait for silent attempts.

    Sound targets aren't silent for longer than these have been.
    """
    if exchange.failed_answer is None or exchange.answer_started or race.ended:
        return False
    return race.find_silent_s() > SOUND_SILENCE_S


async def _start_another(
    node: GatewayNode, exchange: Exchange, race: AttemptRace
) -> Absent | None:
    """
    Place a request beside the attempts that are silent; return why it can't be.

    Nothing is started if one of them goes on or ends meanwhile.
    """
    exchange.no_place = ""
    is_repeat = exchange.attempts.started > 0
    if is_repeat and not _may_repeat(node, exchange):
        return None
    for attempt in race.running:
        exchange.previous_attempts = _add_attempt(node, attempt)
    await _wait_for_targets(node, exchange)
    await node.links.await_evidence(exchange.features)
    blocked = node.containment.find_refusal(exchange)
    if blocked is not None:
        if not race.running:
            exchange.reason = blocked.detail
        return blocked
    placed = await node.place(exchange, node.build_request_context(exchange))
    if isinstance(placed, Absent):
        exchange.no_place = placed.detail
        if race.running:
            return placed
        return node.permits.spread_returns(exchange.service, placed)
    if not race.needs_another:
        return None
    if is_repeat and not node.retries.take(
        exchange.service, node.count_hosts(), node.now()
    ):
        exchange.no_place = NO_RETRY
        return None
    _log_placed(node, exchange, placed)
    race.start(placed)
    return None


def _may_repeat(node: GatewayNode, exchange: Exchange) -> bool:
    """Whether the route and the retry budget allow another attempt."""
    if not may_start_another(exchange.route, exchange.attempts):
        exchange.no_place = NO_ATTEMPT
        return False
    if not node.retries.may_take(exchange.service, node.count_hosts(), node.now()):
        exchange.no_place = NO_RETRY
        return False
    return True


async def _wait_for_targets(node: GatewayNode, exchange: Exchange) -> None:
    """Hold a request after the start of this host until a target is known."""
    homes = exchange.route.home_regions
    if node.registry.has_targets(exchange.service, homes):
        return
    with trio.move_on_after(node.find_hold_s(exchange.deadline - node.now())):
        while not node.registry.has_targets(exchange.service, homes):
            await node.catalog_changed.wait()


def _add_attempt(node: GatewayNode, attempt: Attempt) -> PreviousAttempts:
    """Return where a request has been tried, with an attempt that failed or is silent."""
    previous = attempt.exchange.previous_attempts
    target, outcome = attempt.placed.target, attempt.outcome
    is_remote = attempt.placed.is_remote
    if is_remote and (outcome.unreachable or target.region == node.settings.region):
        # Another host of that region may reach its targets.
        return previous
    if is_remote and not _may_return(node, attempt):
        return replace(previous, regions=previous.regions | {target.region})
    if is_remote and not attempt.target:
        return previous
    if outcome.result is AttemptResult.FAILED:
        return replace(previous, failed=previous.failed | {attempt.target})
    return replace(previous, targets=previous.targets | {attempt.target})


def _may_return(node: GatewayNode, attempt: Attempt) -> bool:
    """
    Whether other targets or hosts of the region of a relayed request may serve it.

    A host that sent it to no target has found none, for all hosts of its region. One
    that names its target as the cause can send it to another one.
    """
    if attempt.outcome.result is AttemptResult.NOT_RUN:
        return False
    tried = attempt.exchange.tried_hosts
    if attempt.target:
        tried.discard(attempt.host)
    return has_other_host(node, attempt.placed.target.region, tried)


async def _send(
    node: GatewayNode, attempt: Attempt, on_silence: Callable[[], None]
) -> SendOutcome:
    target = attempt.placed.target
    if not attempt.placed.is_remote:
        return await send_to_target(node, attempt, on_silence)
    if target.region == node.settings.region:
        node.metrics.count("relays_to_peers_total")
    return await send_to_region(node, attempt, on_silence)


async def _give_up(
    node: GatewayNode, exchange: Exchange, absent: Absent | None
) -> None:
    """Answer a request for which all attempts have failed."""
    caller = exchange.caller
    if exchange.answer_started:
        _abort_answer(node, exchange)
        return
    if await _pass_failure_on(node, exchange):
        return
    reason = exchange.reason or ("" if absent is None else absent.detail)
    request_id, route = exchange.request_head.id, exchange.route.name
    if exchange.attempts.runs:
        no_place = exchange.no_place
        await _refuse(
            node, caller, request_id, UNKNOWN_STATUS, None, reason, route, no_place
        )
        return
    wait_s = RETRY_SOON_S if absent is None else absent.retry_after_s
    await _refuse(node, caller, request_id, NOT_RUN_STATUS, wait_s, reason, route)


async def _pass_failure_on(node: GatewayNode, exchange: Exchange) -> bool:
    """Answer a request with a target's failure; return False if there is none."""
    failure = exchange.failed_answer
    if failure is None or failure.status in NOT_RUN_STATUSES:
        return False
    _log_outcome(node, exchange, "failure-passed-on", failure.status)
    await exchange.caller.answer(failure.status, failure.headers, failure.body)
    return True


async def _answer_at_end(node: GatewayNode, exchange: Exchange) -> None:
    """Answer a request that is still served when this host ends."""
    exchange.reason = END_REASON
    absent = Absent(Reason.DRAINING, RETRY_SOON_S, END_REASON)
    with exchange.caller.abort_after(LATE_REFUSAL_TIMEOUT_S):
        await _give_up(node, exchange, absent)


async def _answer_timeout(node: GatewayNode, exchange: Exchange) -> None:
    """Answer a request whose deadline has passed, with a target's failure if there is one."""
    exchange.reason = TIMEOUT_REASON
    if exchange.answer_started:
        _abort_answer(node, exchange)
        return
    with trio.move_on_after(LATE_REFUSAL_TIMEOUT_S) as scope:
        if not await _pass_failure_on(node, exchange):
            await _refuse(
                node,
                exchange.caller,
                exchange.request_head.id,
                TIMEOUT_STATUS,
                None,
                exchange.reason,
                exchange.route.name,
            )
    if scope.cancelled_caught:
        _abort_answer(node, exchange)


def _abort_answer(node: GatewayNode, exchange: Exchange) -> None:
    """Abort an answer that has been started and can't be completed."""
    _log_outcome(node, exchange, "broken-off", 0)
    exchange.caller.abort_answer()


async def _refuse(
    node: GatewayNode,
    caller: CallerConnection,
    request_id: str,
    status: int,
    wait_s: float | None,
    reason: str,
    route: str = "",
    no_place: str = "",
) -> None:
    headers = []
    if request_id:
        headers.append((b"request-id", request_id.encode("latin-1")))
    if wait_s is not None:
        spread_s = wait_s * (1.0 + RETRY_SPREAD * node.random.random())
        headers.append((b"retry-after", b"%.2f" % spread_s))
    record_event(
        "refused",
        request=request_id,
        route=route,
        status=status,
        reason=reason,
        no_place=no_place,
        retry_after_s=wait_s,
        version=node.catalog.version,
    )
    node.metrics.count("refusals_total", status=str(status))
    await caller.answer(status, headers, f"{reason}\n".encode())


def _log_outcome(
    node: GatewayNode,
    exchange: Exchange,
    event: str,
    status: int,
    attempt: Attempt | None = None,
) -> None:
    placed = attempt and attempt.placed
    load = attempt and attempt.reported_load
    took_s = node.now() - exchange.received_at
    exchange.outcome_logged = True
    record_outcome(node, exchange, event)
    record_event(
        event,
        request=exchange.request_head.id,
        route=exchange.route.name,
        status=status,
        reason=exchange.reason,
        took_s=round(took_s, 4),
        aim_s=exchange.route.aim_s,
        sends=exchange.attempts.sends,
        target=placed.target.entry.id if placed else "",
        target_running=load and load.running,
        target_waiting=load and load.waiting,
        urgency=placed.priority if placed else None,
        expected_s=round(placed.first_event_s, 4) if placed else None,
        first_s=exchange.first_event_s and round(exchange.first_event_s, 4),
        longest_gap_s=round(exchange.longest_gap_s, 4),
        ended_with_connection=attempt is not None and attempt.ended_with_connection,
        no_place=exchange.no_place,
        version=node.catalog.version,
    )


def _log_placed(node: GatewayNode, exchange: Exchange, placed: Placement) -> None:
    target = placed.target
    record_event(
        "placed",
        request=exchange.request_head.id,
        route=exchange.route.name,
        target=target.entry.id,
        away=target.region if target.region != node.settings.region else "",
        by_peer=placed.is_remote and target.region == node.settings.region,
        expected_s=round(placed.first_event_s, 4),
        cached_tokens=placed.cached_tokens,
        parts=exchange.shared_parts[:MAX_LOGGED_PARTS],
        target_version=target.entry.version,
        version_bound=exchange.version,
        last_event=exchange.cutter.last_id,
        in_flight=target.count_in_flight(node.now()),
        rate_limit=target.availability.rate_limit.rate,
        attempt=exchange.attempts.started + 1,
        left_s=round(exchange.deadline - node.now(), 3),
        version=node.catalog.version,
        revision=node.catalog.revision,
        catalog_age_s=round(node.store.catalog_status(node.now()).age_s, 3),
    )


def _log_send_failure(node: GatewayNode, attempt: Attempt) -> None:
    exchange, outcome = attempt.exchange, attempt.outcome
    node.metrics.count("sends_failed_total", result=outcome.result.value)
    record_event(
        "send-failed",
        request=exchange.request_head.id,
        target=attempt.placed.target.entry.id,
        result=outcome.result.value,
        reason=REPLACED_REASON if attempt.replaced else outcome.reason,
        events=attempt.cutter.event_count,
        target_heard_s_ago=find_heard_s_ago(attempt.placed.target, node.now()),
        revision=node.catalog.revision,
    )
