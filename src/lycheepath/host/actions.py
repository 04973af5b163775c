"""
Calls of plain services: repeatable ones with retries, others at most once.

An action that is not repeatable runs only in the process that owns its claim.
Other hosts forward it to the owner once, or answer that the outcome is unknown
and after which time to retry.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeAlias

import trio

from ..core.actions.claims import (
    ClaimConditions,
    KeyOrigin,
    Permit,
    RecordedAnswer,
    Refusal,
    Replay,
    fingerprint_request,
)
from ..core.actions.ownership import (
    ActionRequest,
    AnswerVoidTicket,
    ForwardTo,
    locate_owner,
    refuse_unattested,
)
from ..core.actions.tickets import encode_ticket, issue_ticket
from ..core.outcomes import Run
from ..core.reasons import Absent, Reason
from ..core.residency import Subject, assert_resident, bound_region
from ..core.retries.budget import open_budget
from ..core.retries.decision import decide_retry
from ..core.routing.services import choose_instance
from ..ports.targets import (
    SendRefusedError,
    ServiceAnswer,
    ServiceRequest,
    TargetFailureError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.clients import Client
    from ..core.environment.model import Environment, Operation, Service, Target
    from .node import Node

NONCE_BITS = 128
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class ActionCall:
    """
    A caller's call of a plain service.

    ``request.path`` includes the query and starts with a slash.
    ``received_not_before`` is a time on this host's clock that is known to lie
    before the request was read.
    """

    service: Service
    operation: Operation
    client: Client
    request: ServiceRequest
    key: str
    ticket: str
    forwarded: bool
    received_not_before: float


@dataclass(frozen=True, slots=True)
class ActionResult:
    """The service's answer; ``replayed`` if it was recorded for an earlier call."""

    answer: ServiceAnswer
    replayed: bool = False


ActionOutcome: TypeAlias = ActionResult | Refusal | ForwardTo


async def run_call(node: Node, call: ActionCall) -> ActionOutcome:
    """Run or refuse a call, or return the ``ForwardTo`` that the caller sends."""
    environment = node.environment
    assert environment is not None
    subject = Subject(call.client.team, service=call.service.id)
    bound = bound_region(environment, subject)
    assert_resident(bound, node.settings.region, "serving")
    if call.operation.repeatable:
        return await _run_repeatable(node, environment, call, bound)
    return await _run_once(node, environment, call, bound)


def issue_new_ticket(node: Node, team: str, service: Service) -> str:
    """Return a ticket for an action that only this process can run."""
    nonce = node.random.getrandbits(NONCE_BITS).to_bytes(NONCE_BITS // 8, "big")
    expires_at = node.now() + service.resend_window_s
    ticket = issue_ticket(node.owner, team, service.id, nonce, expires_at)
    return encode_ticket(ticket, node.settings.peer_keys[0])


async def _run_repeatable(
    node: Node, environment: Environment, call: ActionCall, bound: str | None
) -> ActionOutcome:
    budget = open_budget(node.now() + call.request.timeout_s).spend()
    excluded: frozenset[str] = frozenset()
    while True:
        target = _choose(node, environment, call, bound, excluded)
        if isinstance(target, Absent):
            return _refuse(target, Run.NOT_RUN if not excluded else Run.UNKNOWN)
        try:
            answer = await _send(node, call.request, target, bound)
            node.retry_budget.earn()
            return ActionResult(answer)
        except TargetFailureError as error:
            _record_failure(node, target, error)
            excluded |= {target.id}
            retry = decide_retry(
                budget, node.retry_budget, True, 0.0, node.now(), node.random
            )
        if isinstance(retry, Absent):
            return _refuse(retry, Run.UNKNOWN)
        budget = retry.budget
        await trio.sleep(retry.after_s)


async def _run_once(
    node: Node, environment: Environment, call: ActionCall, bound: str | None
) -> ActionOutcome:
    region = bound or call.client.region
    request = ActionRequest(
        call.client.team, call.service.id, region, call.key, call.ticket, call.forwarded
    )
    located = locate_owner(request, node.owner, environment, node.settings.peer_keys)
    if isinstance(located, Refusal | ForwardTo):
        return located
    fingerprint = fingerprint_request(
        call.request.method, call.request.path, call.request.body
    )
    now = node.now()
    if isinstance(located, AnswerVoidTicket):
        void = node.ledger.answer_void_ticket(
            located.claim, fingerprint, located.expires_at, located.incarnation, now
        )
        return _replay(void) if isinstance(void, Replay) else void
    window_s = call.service.resend_window_s
    if located.claim.origin is KeyOrigin.CALLER:
        absent = node.attestation.check(
            environment, region, located.claim, window_s, now
        )
        if absent is not None:
            return refuse_unattested(absent)
    terms = ClaimConditions(
        call.received_not_before,
        window_s,
        now + call.request.timeout_s,
        environment.revision,
        located.ticket_expires_at,
    )
    started = node.ledger.begin(located.claim, fingerprint, terms, now)
    if isinstance(started, Permit):
        return await _send_uncancelled(
            _PendingAction(node, call, bound, region, started)
        )
    return _replay(started) if isinstance(started, Replay) else started


@dataclass(slots=True)
class _PendingAction:
    """
    An action that this process may send once.

    ``permit`` is renewed if it expires while a slow connection is set up. A
    caller that disconnects does not cancel the sending: its retry receives the
    recorded answer.
    """

    node: Node
    call: ActionCall
    bound: str | None
    region: str
    permit: Permit

    def authorise(self) -> None:
        """Check the permit again; called right before the first byte is sent."""
        node = self.node
        environment = node.environment
        assert environment is not None
        now = node.now()
        if now > self.permit.usable_until:
            self._renew(environment, now)
        refusal = node.ledger.authorise_send(self.permit, now, environment.revision)
        if refusal is not None:
            raise _PermitRefusedError(refusal)

    def renew(self) -> None:
        """Renew the permit for another target; raises if that is refused."""
        environment = self.node.environment
        assert environment is not None
        self._renew(environment, self.node.now())

    def _renew(self, environment: Environment, now: float) -> None:
        ledger = self.node.ledger
        claim = self.permit.claim
        if claim.origin is KeyOrigin.CALLER:
            window_s = self.call.service.resend_window_s
            absent = self.node.attestation.check(
                environment, self.region, claim, window_s, now
            )
            if absent is not None:
                raise _PermitRefusedError(ledger.fail(self.permit, absent.reason))
        renewed = ledger.renew_permit(self.permit, now, environment.revision)
        if isinstance(renewed, Refusal):
            raise _PermitRefusedError(renewed)
        self.permit = renewed


async def _send_uncancelled(sending: _PendingAction) -> ActionOutcome:
    """Send the action once, even if the caller disconnects before this host ends."""
    outcome: ActionOutcome | None = None
    with sending.node.scopes.shield():
        outcome = await _send_once(sending)
    assert outcome is not None
    return outcome


async def _send_once(sending: _PendingAction) -> ActionOutcome:
    """Send the action; use another target only if no byte was sent to the last."""
    node = sending.node
    excluded: frozenset[str] = frozenset()
    try:
        while True:
            environment = node.environment
            assert environment is not None
            target = _choose(node, environment, sending.call, sending.bound, excluded)
            if isinstance(target, Absent):
                return node.ledger.fail(sending.permit, target.reason)
            try:
                answer = await _send_action(sending, target)
            except TargetFailureError as error:
                _record_failure(node, target, error)
                if error.sent:
                    return node.ledger.fail(sending.permit, Reason.ANSWER_LOST)
                excluded |= {target.id}
                sending.renew()
                continue
            body = RecordedAnswer(answer.status, answer.content_type, answer.body)
            node.ledger.complete(sending.permit, body)
            return ActionResult(answer)
    except _PermitRefusedError as error:
        return error.refusal
    except BaseException:
        node.ledger.fail(sending.permit, Reason.ANSWER_LOST)
        raise


class _PermitRefusedError(SendRefusedError):
    """Passes the ledger's refusal through the client that sends the action."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


async def _send_action(sending: _PendingAction, target: Target) -> ServiceAnswer:
    request = sending.call.request
    headers = {**request.headers, "idempotency-key": sending.permit.claim.key}
    return await _send(
        sending.node,
        replace(request, headers=headers),
        target,
        sending.bound,
        sending.authorise,
    )


async def _send(
    node: Node,
    request: ServiceRequest,
    target: Target,
    bound: str | None,
    before_send: Callable[[], None] | None = None,
) -> ServiceAnswer:
    assert_resident(bound, node.region_of(target), "sending")
    node.service_registry.record_start(target.id)
    try:
        return await node.services.call(target.address, request, before_send)
    finally:
        node.service_registry.record_end(target.id)


def _choose(
    node: Node,
    environment: Environment,
    call: ActionCall,
    bound: str | None,
    excluded: frozenset[str],
) -> Target | Absent:
    return choose_instance(
        environment,
        node.zone_regions,
        call.service.id,
        node.settings.region,
        bound,
        node.service_registry,
        excluded,
        node.now(),
        node.random,
    )


def _record_failure(node: Node, target: Target, error: TargetFailureError) -> None:
    node.metrics.count(
        "target_failures_total",
        target=target.id,
        kind="lost" if error.sent else "refused",
    )
    if not error.sent:
        node.service_registry.record_refusal(target.id, node.now())


def _refuse(absent: Absent, run: Run) -> Refusal:
    status = 404 if absent.reason is Reason.NO_SUCH_SERVICE else 503
    retry_after_s = absent.retry_after_s or RETRY_AFTER_S
    return Refusal(status, run, absent.reason, retry_after_s, absent.detail, run)


def _replay(replay: Replay) -> ActionResult:
    answer = replay.answer
    return ActionResult(
        ServiceAnswer(answer.status, answer.content_type, answer.body or b""), True
    )
