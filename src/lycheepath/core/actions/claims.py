"""
Claims on an action, and the results of beginning a claim.

A claim identifies one action that may run at most once. Its key is either the
caller's ``Idempotency-Key`` or the nonce of a ticket that a host issued.
Exactly one process incarnation, the owner, may ever run a claim; the owner's
answer states whether the action was run, was not run, or whether that is
unknown::

    outcome = ledger.begin(claim, fingerprint, conditions, now)
    if isinstance(outcome, Refusal):
        return problem(outcome.status, run=outcome.run.value)
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING, TypeAlias

from ..outcomes import Run as Run

if TYPE_CHECKING:
    from ..reasons import Reason

FINGERPRINT_BYTES = 16
MAX_KEY_CHARS = 255


class ActionInvariantError(AssertionError):
    """A step would run an action twice or contradict an earlier answer."""


class KeyOrigin(Enum):
    """Who created the key of a claim."""

    CALLER = "caller"
    TICKET = "ticket"


@dataclass(frozen=True, slots=True)
class Claim:
    """An action's identity: a key within one team and one service."""

    team: str
    service: str
    key: str
    origin: KeyOrigin = KeyOrigin.CALLER


@dataclass(frozen=True, slots=True)
class ClaimConditions:
    """
    The conditions under which a claim may begin, all on the owner's clock.

    ``received_not_before`` is a lower bound of the time at which the request
    was read: the time of arrival at the owner or, for a forwarded request, the
    clock value in the last message that the forwarding host received from the
    owner's present incarnation before it read the request. ``window_s`` is the
    service's resend window, ``deadline`` the latest time to send, ``revision``
    the configuration revision under which the host decides.
    """

    received_not_before: float
    window_s: float
    deadline: float
    revision: int
    ticket_expires_at: float | None = None


@dataclass(frozen=True, slots=True)
class Permit:
    """
    Permission to send one claim to one target, once, before ``usable_until``.

    It is used up by ``ActionLedger.authorise_send`` immediately before the
    first byte is written.
    """

    claim: Claim
    serial: int
    usable_until: float
    deadline: float
    revision: int


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """
    A target's answer, kept for duplicates of the request.

    ``body`` is ``None`` if only the fact that the action ran was kept.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Replay:
    """The answer of an earlier execution of the same claim."""

    answer: RecordedAnswer

    @property
    def run(self) -> Run:
        """Always ``RUN``, since a replay exists only after an execution."""
        return Run.RUN


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    An answer without execution; it maps one to one to an HTTP problem.

    ``run`` refers to the action, ``copy`` to this copy of the request: if every
    copy under a key was answered with ``copy`` not run, the action was not run,
    and the caller may send it again with a ticket. ``retry_after_s`` is in
    seconds; zero means that the answer is final and a retry with this key or
    ticket gets the same one.
    """

    status: int
    run: Run
    reason: Reason
    retry_after_s: float = 0.0
    detail: str = ""
    copy: Run = Run.UNKNOWN


BeginResult: TypeAlias = Permit | Replay | Refusal


def refuse_copy(
    status: int,
    run: Run,
    reason: Reason,
    retry_after_s: float = 0.0,
    detail: str = "",
) -> Refusal:
    """Return a refusal for a copy that certainly was not and will not be run."""
    return Refusal(status, run, reason, retry_after_s, detail, Run.NOT_RUN)


def fingerprint_request(method: str, target: str, body: bytes) -> bytes:
    """Return the digest of a request; ``target`` is its path and query."""
    return digest_fields(FINGERPRINT_BYTES, method.encode(), target.encode(), body)


def digest_fields(size: int, *fields: bytes) -> bytes:
    """Hash fields with their lengths, so that different lists never match."""
    digest = blake2b(digest_size=size)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.digest()
