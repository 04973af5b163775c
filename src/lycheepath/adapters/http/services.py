"""The endpoints for calls to plain services and for tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import orjson
from quart import Response, request

from ...core.actions.claims import Refusal
from ...core.actions.ownership import ForwardTo, refuse_unreachable
from ...core.outcomes import Run
from ...core.reasons import Absent, Reason
from ...host.actions import ActionCall, ActionResult, issue_new_ticket, run_call
from ...host.ends import fail_at_end
from ...host.operations import find_operation, find_service
from ...host.owners import decode_owner_clock, read_owner_clock
from ...ports.targets import ServiceRequest
from ..peer_requests import PeerUnreachable
from .answers import ProblemError, respond_problem
from .gate import ARRIVED_AT_KEY, CLIENT_KEY, FORWARD_KEY
from .problems import Problem, problem_from_absent

if TYPE_CHECKING:
    from ...core.environment.model import Operation, Service
    from ...host.node import Node

TICKET_HEADER = "lycheepath-ticket"
KEY_HEADER = "idempotency-key"
RECEIVED_AT_HEADER = "lycheepath-heard-at"
RUN_HEADER = "lycheepath-run"
REPLAYED_HEADER = "lycheepath-replayed"
FORWARD_MARGIN_S = 2.0
UNFORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "te",
        "transfer-encoding",
        "upgrade",
    }
)


async def handle_ticket(node: Node) -> Response:
    """Issue a ticket for one action of a service."""
    try:
        value = orjson.loads(await request.get_data())
    except orjson.JSONDecodeError as error:
        raise ProblemError(
            Problem(400, "malformed-json", Run.NOT_RUN, str(error))
        ) from error
    name = value.get("service") if isinstance(value, dict) else None
    service = _require_service(node, name if isinstance(name, str) else "")
    scope = cast("dict[str, Any]", request.scope)
    ticket = issue_new_ticket(node, scope[CLIENT_KEY].team, service)
    body = {"ticket": ticket, "expires_in_s": service.resend_window_s}
    return Response(orjson.dumps(body), 201, content_type="application/json")


async def handle_service(node: Node, service: str, path: str = "") -> Response:
    """Serve one call to a plain service."""
    call = await _read_call(node, service, "/" + path)
    with fail_at_end(node, lambda: True):
        outcome = await run_call(node, call)
        if isinstance(outcome, ForwardTo):
            return await _forward(node, call, outcome)
    if isinstance(outcome, Refusal):
        return _respond_refusal(node, call, outcome)
    return _respond_result(outcome)


async def _read_call(node: Node, service_id: str, path: str) -> ActionCall:
    service = _require_service(node, service_id)
    operation = find_operation(service, request.method, path)
    if isinstance(operation, Absent):
        raise ProblemError(problem_from_absent(operation))
    scope = cast("dict[str, Any]", request.scope)
    body = cast("bytes", await request.get_data())
    query = request.query_string.decode("latin-1")
    return ActionCall(
        service=service,
        operation=operation,
        client=scope[CLIENT_KEY],
        request=_build_request(operation, path, query, body),
        key=request.headers.get(KEY_HEADER, ""),
        ticket=request.headers.get(TICKET_HEADER, ""),
        forwarded=scope.get(FORWARD_KEY) is not None,
        received_not_before=_read_received_at(node, scope),
    )


def _require_service(node: Node, service_id: str) -> Service:
    assert node.environment is not None
    service = find_service(node.environment, service_id)
    if service is None:
        absent = Absent(Reason.NO_SUCH_SERVICE, detail=f"no service {service_id!r}")
        raise ProblemError(problem_from_absent(absent))
    return service


def _build_request(
    operation: Operation, path: str, query: str, body: bytes
) -> ServiceRequest:
    headers = {
        name.lower(): value
        for name, value in request.headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
        and not name.lower().startswith("lycheepath-")
    }
    target = f"{path}?{query}" if query else path
    return ServiceRequest(
        request.method, target, headers, body, operation.timeout_ms / 1000
    )


def _read_received_at(node: Node, scope: dict[str, Any]) -> float:
    arrived_at: float = scope[ARRIVED_AT_KEY]
    if scope.get(FORWARD_KEY) is None:
        return arrived_at
    text = request.headers.get(RECEIVED_AT_HEADER, "")
    return decode_owner_clock(text, node.owner.incarnation, arrived_at)


async def _forward(node: Node, call: ActionCall, forward: ForwardTo) -> Response:
    """
    Forward the call to its owner, once.

    If the call was sent and no answer arrived, whether it ran is unknown.
    """
    assert node.environment is not None
    owner = next((h for h in node.environment.hosts if h.id == forward.host), None)
    if owner is None:
        return _respond_refusal(node, call, refuse_unreachable("the owner is unlisted"))
    clock = await read_owner_clock(node, owner)
    if clock is None:
        return _respond_refusal(node, call, refuse_unreachable("the owner is silent"))
    headers = {name.lower(): value for name, value in request.headers.items()}
    headers[RECEIVED_AT_HEADER] = clock.encode_before(call.received_not_before)
    node.metrics.count("forwards_total")
    answer = await node.peers.forward(
        owner.callers_address,
        request.method,
        request.full_path.rstrip("?"),
        headers,
        call.request.body,
        call.request.timeout_s + FORWARD_MARGIN_S,
    )
    if isinstance(answer, PeerUnreachable):
        return _respond_refusal(
            node, call, refuse_unreachable(answer.detail, answer.sent)
        )
    response = Response(answer.body, answer.status)
    for name in ("content-type", "retry-after", RUN_HEADER, REPLAYED_HEADER):
        if name in answer.headers:
            response.headers[name] = answer.headers[name]
    return response


def _respond_refusal(node: Node, call: ActionCall, refusal: Refusal) -> Response:
    members: dict[str, Any] = {"copy": refusal.copy.value}
    if refusal.reason is Reason.TICKET_NEEDED:
        members["ticket"] = issue_new_ticket(node, call.client.team, call.service)
    node.metrics.count(
        "actions_refused_total", reason=refusal.reason.value, run=refusal.run.value
    )
    return respond_problem(
        Problem(
            refusal.status,
            refusal.reason.value,
            refusal.run,
            refusal.detail,
            refusal.retry_after_s,
            members,
        )
    )


def _respond_result(outcome: ActionResult) -> Response:
    answer = outcome.answer
    response = Response(answer.body, answer.status, content_type=answer.content_type)
    response.headers[RUN_HEADER] = Run.RUN.value
    if outcome.replayed:
        response.headers[REPLAYED_HEADER] = "true"
    return response
