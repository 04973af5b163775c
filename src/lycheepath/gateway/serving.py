"""
Serves one caller's request: finds its route, sends it to targets, and answers.

A request gets exactly one answer from this host, whatever its targets do: a target's
answer, a refusal that states that the request has not run, or a failure that leaves
this open. All decisions are logged under the request's id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..core.catalog.model import RouteKind
from ..core.catalog.routes import draw_service
from ..core.catalog.teams import find_cost, find_tokens
from ..core.reasons import Absent, Reason
from ..platform.headers import CHALLENGE, find_request_id, read_request
from .attempts import Attempt
from .authorization import UNAUTHORIZED_STATUS, DeniedRequest, authorize_request
from .exchange import Exchange
from .placing import answer_by_attempts, find_failure
from .team_fairness import hold_back, record_ending
from .telemetry import (
    END_REASON,
    FAULT_REASON,
    TIMEOUT_REASON,
    record_outcome,
    record_request_fault,
)

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from .node import GatewayNode

NOT_RUN_STATUS = 503
OVER_LIMIT_STATUS = 429
UNKNOWN_STATUS = 502
TIMEOUT_STATUS = 504
NOT_FOUND_STATUS = 404
# Deadline of a request that names none, while it waits for the first configuration.
DEFAULT_DEADLINE_S = 60.0
# Time within which a refusal after the deadline has to be sent.
LATE_REFUSAL_TIMEOUT_S = 1.0
# Retry-after time while no configuration or no target is known.
RETRY_SOON_S = 0.5
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
        with node.scopes.limit(
            lambda: caller.answer_started, exchange.deadline
        ) as scope:
            await _run(node, exchange)
        if scope.cancelled_caught and node.scopes.ending:
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
        _release(node, exchange)
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
    authorized = authorize_request(
        request_head, route, table, node.view_proofs.is_proven(node.now())
    )
    if isinstance(authorized, DeniedRequest):
        await _refuse_denied(node, caller, request_head.id, route.name, authorized)
        return None
    route = authorized.route
    wait_s = min(route.timeout_s, request_head.deadline_s or route.timeout_s)
    service = draw_service(route, node.random)
    node.retries.count_request(service, node.now())
    return Exchange(
        caller,
        request,
        authorized.head,
        route,
        service,
        request.received_at + wait_s,
        node.next_number(),
        team=authorized.team,
    )


async def _refuse_denied(
    node: GatewayNode,
    caller: CallerConnection,
    request_id: str,
    route: str,
    denied: DeniedRequest,
) -> None:
    """Refuse a request that may not run, or whose team isn't proven."""
    node.metrics.count("team_refused_total", cause=denied.cause)
    await _refuse(
        node,
        caller,
        request_id,
        denied.status,
        denied.retry_after_s,
        denied.detail,
        route,
        team=denied.team,
    )


async def _run(node: GatewayNode, exchange: Exchange) -> None:
    if not await _charge_team(node, exchange):
        return
    if exchange.route.kind is RouteKind.STREAM and exchange.route.resumable:
        unbound = await node.versions.bind(exchange)
        if unbound is not None:
            await _give_up(node, exchange, unbound)
            return
    refused = hold_back(node.fairness, exchange, node.now())
    if refused is not None:
        _count_held_back(node)
        await _give_up(node, exchange, refused)
        return
    ending = await answer_by_attempts(node, exchange)
    ending = record_ending(node.fairness, exchange, ending, node.now())
    if isinstance(ending, Absent) and ending.reason is Reason.TEAM_SHARE:
        _count_held_back(node)
    if isinstance(ending, Attempt):
        _log_outcome(node, exchange, "answered", 200, ending)
        return
    await _give_up(node, exchange, ending)


def _count_held_back(node: GatewayNode) -> None:
    node.metrics.count("team_refused_total", cause=Reason.TEAM_SHARE.value)


async def _charge_team(node: GatewayNode, exchange: Exchange) -> bool:
    """Charge a request to its team's limit; refuse it if the limit doesn't allow it."""
    team = exchange.team
    if team is None:
        return True
    if team.limit is None:
        node.team_use.count_admitted(team.name)
        return True
    cost = find_cost(team.limit, exchange.tokens)
    admission = await node.team_limits.admit(team, cost)
    if not isinstance(admission, Absent):
        exchange.admission = admission
        node.team_use.count_admitted(team.name)
        return True
    node.metrics.count("team_refused_total", cause=admission.reason.value)
    over = admission.reason is Reason.LIMIT
    await _refuse(
        node,
        exchange.caller,
        exchange.request_head.id,
        OVER_LIMIT_STATUS if over else NOT_RUN_STATUS,
        admission.retry_after_s,
        admission.detail,
        exchange.route.name,
        team=team.name,
    )
    return False


def _release(node: GatewayNode, exchange: Exchange) -> None:
    """Give back what a request holds, and its tokens if it has not run."""
    exchange.release()
    team = exchange.team
    if exchange.attempts.may_have_run:
        if team is not None:
            tokens = find_tokens(team.limit, exchange.tokens)
            node.team_use.count_tokens(team.name, tokens)
    elif exchange.admission is not None:
        node.team_limits.give_back(exchange.admission)


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
    team = exchange.team_name
    if exchange.attempts.runs:
        no_place = exchange.no_place
        await _refuse(
            node,
            caller,
            request_id,
            UNKNOWN_STATUS,
            None,
            reason,
            route,
            no_place,
            team,
        )
        return
    wait_s = RETRY_SOON_S if absent is None else absent.retry_after_s
    await _refuse(
        node, caller, request_id, NOT_RUN_STATUS, wait_s, reason, route, team=team
    )


async def _pass_failure_on(node: GatewayNode, exchange: Exchange) -> bool:
    """Answer a request with a target's failure; return False if there is none."""
    failure = find_failure(exchange)
    if failure is None:
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
                team=exchange.team_name,
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
    team: str | None = None,
) -> None:
    headers = []
    if request_id:
        headers.append((b"request-id", request_id.encode("latin-1")))
    if wait_s is not None:
        spread_s = wait_s * (1.0 + RETRY_SPREAD * node.random.random())
        headers.append((b"retry-after", b"%.2f" % spread_s))
    if status == UNAUTHORIZED_STATUS:
        headers.append(CHALLENGE)
    record_event(
        "refused",
        request=request_id,
        route=route,
        team=team,
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
    now = node.now()
    took_s = now - exchange.received_at
    since_event_s = now - exchange.last_event_at if exchange.last_event_at else None
    exchange.outcome_logged = True
    record_outcome(node, exchange, event)
    record_event(
        event,
        request=exchange.request_head.id,
        route=exchange.route.name,
        team=exchange.team_name,
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
        events=exchange.cutter.event_count,
        last_event_s_ago=since_event_s and round(since_event_s, 4),
        draining_s=node.find_draining_s(),
        withheld=exchange.withheld is not None,
        ended_with_connection=attempt is not None and attempt.ended_with_connection,
        no_place=exchange.no_place,
        version=node.catalog.version,
    )
