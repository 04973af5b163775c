"""
Spreads the returns of refused callers over the time in which they can be served.

Callers that are told the same time come back together, and all but the first are
refused again::

    returns = ReturnSchedule()
    returns.schedule(earliest_s=0.5, interval_s=0.25, now=now)    # 0.5
    returns.schedule(earliest_s=0.5, interval_s=0.25, now=now)    # 0.75
"""

from __future__ import annotations

from dataclasses import dataclass

# Longest time over which returns are spread, in seconds; later ones start again from
# the front.
MAX_RETURN_S = 3.0


@dataclass(slots=True)
class ReturnSchedule:
    """State: when the next caller should return, on this host's monotonic clock."""

    _next_at: float = float("-inf")

    def schedule(self, earliest_s: float, interval_s: float, now: float) -> float:
        """Return in how many seconds a caller should return."""
        at = max(now + earliest_s, self._next_at)
        if at > now + max(earliest_s, MAX_RETURN_S):
            at = now + earliest_s
        self._next_at = at + interval_s
        return at - now
