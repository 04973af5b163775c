"""
Suspicions, after which a member is declared dead unless it refutes them in time.

The more members accuse it independently, the shorter the timeout. Before a host
declares a member dead, it probes the member itself again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .options import Options

CHECK_WITHIN_S = 1.5
CHECK_INTERVAL_S = 0.45


@dataclass(slots=True)
class _Suspicion:
    since: float
    checked_at: float = 0.0
    accusers: set[str] = field(default_factory=set)


class Suspicions:
    """The current suspicions, by member."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._held: dict[str, _Suspicion] = {}

    def add(self, member: str, accuser: str, now: float) -> bool:
        """Record an accusation; return whether it adds an accuser."""
        suspicion = self._held.setdefault(member, _Suspicion(now))
        if accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > self._options.suspicion_accusers:
            return False
        suspicion.accusers.add(accuser)
        return True

    def remove(self, member: str) -> None:
        """Remove the suspicion of a member, if there is one."""
        self._held.pop(member, None)

    def expired(self, now: float, others: int) -> list[str]:
        """Return the members to declare dead, as their suspicion has timed out."""
        return [
            member
            for member, suspicion in self._held.items()
            if now - suspicion.since >= self._timeout_s(suspicion, others)
        ]

    def due_for_check(self, now: float, others: int) -> list[str]:
        """Return the members to probe again before their suspicion times out."""
        found = []
        for member, suspicion in self._held.items():
            remaining_s = suspicion.since + self._timeout_s(suspicion, others) - now
            if (
                remaining_s < CHECK_WITHIN_S
                and now - suspicion.checked_at > CHECK_INTERVAL_S
            ):
                suspicion.checked_at = now
                found.append(member)
        return found

    def _timeout_s(self, suspicion: _Suspicion, others: int) -> float:
        options = self._options
        needed = min(options.suspicion_accusers, max(others, 1))
        agreeing = min(len(suspicion.accusers) - 1, needed)
        share = log(agreeing + 1) / log(needed + 1)
        spread = options.suspicion_max_s - options.suspicion_min_s
        return max(options.suspicion_min_s, options.suspicion_max_s - spread * share)
