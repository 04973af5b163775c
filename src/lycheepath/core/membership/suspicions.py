"""
Suspicions that ripen into verdicts unless the member contradicts them.

The more members accuse independently, the sooner the verdict falls. Whoever is
about to pass it asks the member once more itself.
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
    """The suspicions that are held, by member."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._held: dict[str, _Suspicion] = {}

    def add(self, member: str, accuser: str, now: float) -> bool:
        """Note an accusation; return whether it adds an accuser."""
        suspicion = self._held.setdefault(member, _Suspicion(now))
        if accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > self._options.suspicion_accusers:
            return False
        suspicion.accusers.add(accuser)
        return True

    def drop(self, member: str) -> None:
        """The member is no longer suspected."""
        self._held.pop(member, None)

    def ripe(self, now: float, others: int) -> list[str]:
        """Return the members on whom a verdict falls now."""
        return [
            member
            for member, suspicion in self._held.items()
            if now - suspicion.since >= self._patience(suspicion, others)
        ]

    def unchecked(self, now: float, others: int) -> list[str]:
        """Return the members to probe once more, soon before the verdict."""
        found = []
        for member, suspicion in self._held.items():
            left = suspicion.since + self._patience(suspicion, others) - now
            if left < CHECK_WITHIN_S and now - suspicion.checked_at > CHECK_INTERVAL_S:
                suspicion.checked_at = now
                found.append(member)
        return found

    def _patience(self, suspicion: _Suspicion, others: int) -> float:
        options = self._options
        needed = min(options.suspicion_accusers, max(others, 1))
        agreeing = min(len(suspicion.accusers) - 1, needed)
        share = log(agreeing + 1) / log(needed + 1)
        spread = options.suspicion_max_s - options.suspicion_min_s
        return max(options.suspicion_min_s, options.suspicion_max_s - spread * share)
