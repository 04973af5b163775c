"""
How slowly one target answers, beside the others of its service.

The speed of a service is learned from all its targets; one that is slow, or shares
its machine, takes longer than that by a factor. The factor is the mean of what the
target's own answers took beside their estimates, the latest most, and a prior of 1
for a target of which little was seen lately. So a target that was slow is tried
again once nothing more is seen of it::

    pace = Pace()
    pace.observe(expected_s=0.2, seen_s=0.5, now=now)
    pace.find(now)
"""

from __future__ import annotations

from math import exp, log

# One answer is off by this factor at most, either way.
MOST_FACTOR = 6.0
# An answer counts for half as much after so many seconds.
HALF_S = 6.0
# The prior weighs as much as so many answers.
PRIOR_WEIGHT = 3.0


class Slowdown:
    """State: the weighted sum of the factors' logarithms, and when it was formed."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self._at = 0.0

    def observe(self, expected_s: float, seen_s: float, now: float) -> None:
        """Take when a first event was due by the service's speed, and when it came."""
        if expected_s <= 0.0 or seen_s <= 0.0:
            return
        bound = log(MOST_FACTOR)
        seen = min(max(log(seen_s / expected_s), -bound), bound)
        kept = self._find_kept(now)
        self._sum = kept * self._sum + seen
        self._weight = kept * self._weight + 1.0
        self._at = now

    def find(self, now: float) -> float:
        """Return how much longer than others of its service the target takes."""
        if not self._weight:
            return 1.0
        kept = self._find_kept(now)
        return exp(kept * self._sum / (kept * self._weight + PRIOR_WEIGHT))

    def _find_kept(self, now: float) -> float:
        return float(0.5 ** (max(0.0, now - self._at) / HALF_S))
