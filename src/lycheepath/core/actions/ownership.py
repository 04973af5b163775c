"""
Who may run an action, decided at the host that a caller asked.

The answer is one of: run it here, forward it once to the owner, answer for a
ticket of an earlier incarnation, or refuse::

    located = locate_owner(request, me, environment, keys)
    if isinstance(located, RunHere):
        ledger.begin(located.claim, fingerprint, terms, now)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from ..reasons import Absent, Reason
from .claims import Claim, Refusal, Run, refuse_copy
from .issuance import map_host_regions, select_issuer
from .tickets import verify_ticket

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...host.settings import PeerKey
    from ..environment.model import Environment
    from .tickets import Owner, Ticket

OWNER_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class ActionRequest:
    """
    The parts of a request that decide who may run it.

    ``region`` is the one that the request is bound to, or the team's home.
    Empty ``key`` and ``ticket`` mean that the caller sent none.
    """

    team: str
    service: str
    region: str
    key: str = ""
    ticket: str = ""
    forwarded: bool = False


@dataclass(frozen=True, slots=True)
class RunHere:
    """
    This incarnation owns the claim.

    For a claim with a caller's key, ``Vouching.check`` comes next.
    """

    claim: Claim
    ticket_expires_at: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerVoidTicket:
    """An earlier incarnation owned the ticket; see ``answer_void_ticket``."""

    claim: Claim
    expires_at: float
    incarnation: str


@dataclass(frozen=True, slots=True)
class ForwardTo:
    """Another host of the region owns the claim; forward to it, once."""

    host: str
    claim: Claim


Located: TypeAlias = RunHere | AnswerVoidTicket | ForwardTo | Refusal


def locate_owner(
    request: ActionRequest,
    me: Owner,
    environment: Environment,
    keys: Sequence[PeerKey],
) -> Located:
    """Decide who may run an action that must run at most once."""
    if request.ticket:
        return _locate_by_ticket(request, me, environment, keys)
    if request.key:
        return _locate_by_key(request, me, environment)
    return refuse_copy(
        428,
        Run.NOT_RUN,
        Reason.TICKET_NEEDED,
        detail="send the request again with the ticket given here",
    )


def refuse_unreachable(detail: str = "", delivered: bool = False) -> Refusal:
    """
    Answer for an owner that did not answer; the outcome is unknown.

    ``delivered`` says that a part of this request may have reached the owner.
    Even a refused connection leaves the action unknown, since another copy
    of the request may have reached the owner before.
    """
    return Refusal(
        503,
        Run.UNKNOWN,
        Reason.OWNER_UNREACHABLE,
        OWNER_RETRY_S,
        detail or "send the same request again with the same key or ticket",
        Run.UNKNOWN if delivered else Run.NOT_RUN,
    )


def refuse_unattested(absent: Absent) -> Refusal:
    """Turn a refusal of ``Vouching.check`` into an answer."""
    return refuse_copy(
        503,
        Run.UNKNOWN,
        absent.reason,
        absent.retry_after_s,
        "send it again later with the same key; a request that was never sent"
        " before can go ahead at once with a ticket from POST /v1/tickets",
    )


def _locate_by_ticket(
    request: ActionRequest,
    me: Owner,
    environment: Environment,
    keys: Sequence[PeerKey],
) -> Located:
    ticket = verify_ticket(request.ticket, keys, request.team, request.service)
    if isinstance(ticket, Absent):
        return refuse_copy(400, Run.UNKNOWN, ticket.reason, detail=ticket.detail)
    if request.key:
        return refuse_copy(
            422,
            Run.UNKNOWN,
            Reason.KEY_REUSED,
            detail="send either the ticket or a key, not both",
        )
    if ticket.owner.host != me.host:
        return _forward(request, ticket.owner.host, ticket.claim, environment)
    return _own_ticket(ticket, me)


def _own_ticket(ticket: Ticket, me: Owner) -> Located:
    owner = ticket.owner
    if owner.incarnation == me.incarnation:
        return RunHere(ticket.claim, ticket.expires_at)
    if owner.address != me.address:
        return refuse_unreachable("the host moved; its last process may still run")
    return AnswerVoidTicket(ticket.claim, ticket.expires_at, owner.incarnation)


def _locate_by_key(
    request: ActionRequest, me: Owner, environment: Environment
) -> Located:
    claim = Claim(request.team, request.service, request.key)
    issuer = select_issuer(
        environment, request.region, claim.team, claim.service, claim.key
    )
    if isinstance(issuer, Absent):
        return refuse_unreachable(issuer.detail)
    if issuer == me.host:
        return RunHere(claim)
    return _forward(request, issuer, claim, environment)


def _forward(
    request: ActionRequest, host: str, claim: Claim, environment: Environment
) -> Located:
    if request.forwarded:
        return refuse_copy(
            503, Run.UNKNOWN, Reason.ALREADY_FORWARDED, OWNER_RETRY_S, "ask again"
        )
    if map_host_regions(environment).get(host) != request.region:
        return refuse_unreachable("the owner is not listed in the request's region")
    return ForwardTo(host, claim)
