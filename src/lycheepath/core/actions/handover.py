"""
Handover of claims from a process that shuts down to its successor.

The process transfers its claims to one other host of its region, the holder,
which releases them to one later incarnation of the same host. The holder never
runs them. A handover is held for ``hold_s`` on the holder's clock, counted from
a clock value that the process had received from the holder before it stopped.
A new incarnation without a handover waits longer than that before it attests
old keys. A handover can therefore never skip an incarnation that has already
run some of its claims.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from .claims import Claim, RecordedAnswer

HOLD_S = 60.0
MAX_HELD_HANDOVERS = 8
RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class HandoverRecord:
    """A claim's final state; ``remaining_s`` is how long to keep it, in seconds."""

    claim: Claim
    state: str
    fingerprint: bytes
    remaining_s: float
    reason: Reason
    answer: RecordedAnswer | None


@dataclass(frozen=True, slots=True)
class Handover:
    """
    All claims of one incarnation of ``host`` that has stopped permanently.

    ``revision`` is the configuration revision under which it stopped.
    ``wait_s`` is for how many more seconds it could not attest keys older than
    itself. ``sealed_at`` is the time at which it stopped, on its own clock,
    which the expiry of its tickets refers to.
    """

    host: str
    incarnation: str
    revision: int
    wait_s: float
    sealed_at: float
    records: tuple[HandoverRecord, ...]


@dataclass(slots=True)
class _HeldHandover:
    handover: Handover
    expires_at: float
    released_to: str = ""


@dataclass(slots=True)
class HandoverStore:
    """The handovers that a process holds for other hosts, in memory only."""

    hold_s: float = HOLD_S
    max_held: int = MAX_HELD_HANDOVERS
    _held: dict[str, _HeldHandover] = field(default_factory=dict)
    _accepted: dict[tuple[str, str], float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._held)

    def accept(
        self, handover: Handover, holder_clock: float, now: float
    ) -> Absent | None:
        """
        Store a handover; ``None`` means that it is held.

        ``holder_clock`` is the value of this host's clock that the process had
        received before it stopped. A refusal is definite: nothing is held. A
        repeated handover changes nothing, even after that of a later
        incarnation replaced it: it would restore claims from before that one.
        """
        self.expire(now)
        expires_at = holder_clock + self.hold_s
        if now >= expires_at:
            return Absent(Reason.VIEW_TOO_OLD, detail="the handover came too late")
        if (handover.host, handover.incarnation) in self._accepted:
            return None
        held = self._held.get(handover.host)
        if held is None and len(self._held) >= self.max_held:
            return Absent(Reason.OVERLOADED, RETRY_S)
        self._held[handover.host] = _HeldHandover(handover, expires_at)
        self._accepted[handover.host, handover.incarnation] = expires_at
        return None

    def release(self, host: str, incarnation: str, now: float) -> Handover | Absent:
        """
        Release a held handover to one new incarnation of ``host``.

        The call is idempotent for the same incarnation.
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
        """Remove expired handovers."""
        for host in [
            host for host, held in self._held.items() if held.expires_at <= now
        ]:
            del self._held[host]
        for known in [known for known, until in self._accepted.items() if until <= now]:
            del self._accepted[known]
