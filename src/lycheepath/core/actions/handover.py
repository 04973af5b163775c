"""
Handing the claims of a leaving process to its successor.

A leaving process gives its claims to one other host of its region, the
holder, which releases them once, to one later incarnation of the same host.
The holder never runs them. A handover lives for ``hold_s`` on the holder's
clock, counted from a time that the leaving process had heard from the holder
before it stopped; every fresh incarnation without a handover waits longer
than that before it vouches for old keys, so that a handover can never skip
an incarnation that has already run some of its claims.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from .claims import Claim, RecordedAnswer

HOLD_S = 60.0
MAX_HELD = 8
RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """One claim's end state; ``remaining_s`` is how long to remember it."""

    claim: Claim
    state: str
    fingerprint: bytes
    remaining_s: float
    reason: Reason
    answer: RecordedAnswer | None


@dataclass(frozen=True, slots=True)
class Handover:
    """
    All claims of one incarnation of ``host`` that has stopped for good.

    ``revision`` is the configuration under which it stopped; ``wait_s`` is
    how long it could not yet vouch for keys older than itself. ``sealed_at``
    is its clock when it stopped, the clock of its tickets' expiry.
    """

    host: str
    incarnation: str
    revision: int
    wait_s: float
    sealed_at: float
    records: tuple[HandoverRecord, ...]


@dataclass(slots=True)
class _Held:
    handover: Handover
    until: float
    released_to: str = ""


@dataclass(slots=True)
class HandoverStore:
    """The handovers that one process holds for others, in memory only."""

    hold_s: float = HOLD_S
    max_held: int = MAX_HELD
    _held: dict[str, _Held] = field(default_factory=dict)
    _known: dict[tuple[str, str], float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._held)

    def accept(self, handover: Handover, heard_at: float, now: float) -> Absent | None:
        """
        Keep a handover; ``None`` means that it is held.

        ``heard_at`` is the holder's own clock value that the leaving process
        had heard before it stopped. A refusal is definite: nothing is held.
        A repeated handover changes nothing, also after a later incarnation's
        took its place: it would bring back claims from before that one.
        """
        self.expire(now)
        until = heard_at + self.hold_s
        if now >= until:
            return Absent(Reason.VIEW_TOO_OLD, detail="the handover came too late")
        if (handover.host, handover.incarnation) in self._known:
            return None
        held = self._held.get(handover.host)
        if held is None and len(self._held) >= self.max_held:
            return Absent(Reason.OVERLOADED, RETRY_S)
        self._held[handover.host] = _Held(handover, until)
        self._known[handover.host, handover.incarnation] = until
        return None

    def release(self, host: str, incarnation: str, now: float) -> Handover | Absent:
        """
        Release a held handover to one new incarnation of ``host``.

        Repeating the call for the same incarnation yields the same.
        """
        self.expire(now)
        held = self._held.get(host)
        if held is None or held.handover.incarnation == incarnation:
            return Absent(Reason.NO_HANDOVER)
        if held.released_to not in ("", incarnation):
            return Absent(
                Reason.NO_HANDOVER, detail="released to an earlier incarnation"
            )
        held.released_to = incarnation
        return held.handover

    def expire(self, now: float) -> None:
        """Drop the handovers whose time is over."""
        for host in [host for host, held in self._held.items() if held.until <= now]:
            del self._held[host]
        for known in [known for known, until in self._known.items() if until <= now]:
            del self._known[known]
