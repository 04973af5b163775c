"""
Claims on an action, and the typed answers that a claim can get.

A claim names one action that may run at most once. Its key is either the
caller's own ``Idempotency-Key`` or the nonce of a ticket that a host issued.
Exactly one process incarnation, the owner, may ever run a claim; the owner's
answer says whether the action was run, not run, or whether that is unknown::

    outcome = ledger.begin(claim, fingerprint, terms, now)
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
    """A step that could run an action twice or contradict an answer."""


class KeyOrigin(Enum):
    """Who made the key of a claim."""

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

    ``heard_at`` is a time of the owner's clock that is known to lie before
    the request was read: the arrival itself at the owner, or, for a forwarded
    request, the clock value in the last message that the forwarding host had
    from the owner's present incarnation before it read the request.
    ``window_s`` is the service's resend window, ``deadline`` the last moment
    to send, ``revision`` the configuration under which the host decides.
    """

    received_not_before: float
    window_s: float
    deadline: float
    revision: int
    ticket_expires_at: float | None = None


@dataclass(frozen=True, slots=True)
class Permit:
    """
    The right to send one claim to one target, once, before ``usable_until``.

    It is spent by ``ActionLedger.authorise_send`` immediately before the
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

    ``body`` is ``None`` when only the fact that the action ran was kept.
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
        """Always ``RUN``: a replay exists only after an execution."""
        return Run.RUN


@dataclass(frozen=True, slots=True)
class Refusal:
    """
    An answer that runs nothing now; it maps one to one to an HTTP problem.

    ``run`` speaks of the action, ``copy`` of this one sending of it: a caller
    of which every sending under a key was answered with ``copy`` not run
    knows that the action was not run and may start anew with a ticket.
    ``retry_after_s`` is in seconds; zero means that the answer is final and
    asking again under this key or ticket yields the same.
    """

    status: int
    run: Run
    reason: Reason
    retry_after_s: float = 0.0
    detail: str = ""
    copy: Run = Run.UNKNOWN


Begun: TypeAlias = Permit | Replay | Refusal


def refuse_copy(
    status: int,
    run: Run,
    reason: Reason,
    retry_after_s: float = 0.0,
    detail: str = "",
) -> Refusal:
    """Refuse a request of which this copy certainly runs nothing."""
    return Refusal(status, run, reason, retry_after_s, detail, Run.NOT_RUN)


def fingerprint_request(method: str, target: str, body: bytes) -> bytes:
    """Digest what a request asks for; ``target`` is its path and query."""
    return digest_fields(FINGERPRINT_BYTES, method.encode(), target.encode(), body)


def digest_fields(size: int, *fields: bytes) -> bytes:
    """Hash fields with their lengths, so that no two lists look alike."""
    digest = blake2b(digest_size=size)
    for field in fields:
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.digest()
