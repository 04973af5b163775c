"""
Learns how many concurrent requests a target handles well.

A target that works on more requests at once takes longer for each, but does more in
total, up to a point. The time between two events is learned for each eighth of the
target's slots. The limit is the number of requests above which the events of all
streams together become clearly fewer. For a few seconds after the target has refused a
request, it is lower than the number that was there then::

    limit = ConcurrencyLimit()
    limit.observe(in_flight=30, slots=64, quiet=log(0.2), now=now)
    limit.find(slots=64, now=now)
"""

from __future__ import annotations

from math import exp

# Number of ranges of in-flight requests that are told apart.
RANGES = 8
# Time in seconds after which the weight of an observation has halved.
HALF_LIFE_S = 10.0
# Least weight of the observations of a range for it to count.
MIN_WEIGHT = 6.0
# A range is too much for a target if it yields less than this share of the events per
# second of a lower one. Smaller differences are seen by chance.
MIN_YIELD = 0.8
# Share of the requests in flight when a target refused one that it is given afterwards,
# and the time in seconds for which that holds.
REFUSED_SHARE = 0.9
REFUSED_S = 5.0
# Interval in seconds at which the limit is computed anew.
RENEW_S = 0.25


class ConcurrencyLimit:
    """The decaying mean interval in each range, and the last refusal."""

    __slots__ = ("_limit", "_ranges", "_refused", "_renew_at")

    def __init__(self) -> None:
        # The time, weight and sum of logarithms of each range.
        self._ranges: dict[int, tuple[float, float, float]] = {}
        self._refused = (float("-inf"), 0)
        self._limit = 0
        self._renew_at = float("-inf")

    def observe(self, in_flight: int, slots: int, quiet: float, now: float) -> None:
        """Add the logarithm of the time between two events with ``in_flight`` requests."""
        number = min(RANGES, in_flight * RANGES // max(1, slots))
        at, weight, total = self._ranges.get(number, (now, 0.0, 0.0))
        decay = 0.5 ** (max(0.0, now - at) / HALF_LIFE_S)
        self._ranges[number] = now, decay * weight + 1.0, decay * total + quiet

    def record_refusal(self, in_flight: int, now: float) -> None:
        """Record that the target refused a request for want of room."""
        self._refused = now, max(1, int(REFUSED_SHARE * in_flight))

    def apply_refusal(self, limit: int, now: float) -> int:
        """Return a limit that is known, 0 if none, lowered by a recent refusal."""
        refused_at, refused_limit = self._refused
        if now - refused_at >= REFUSED_S:
            return limit
        return min(limit or refused_limit, refused_limit)

    def find(self, slots: int, now: float) -> int:
        """Return the number of requests that the target handles well, 0 if unknown."""
        if now >= self._renew_at:
            self._renew_at = now + RENEW_S
            self._limit = self._compute(slots, now)
        return self._limit

    def _compute(self, slots: int, now: float) -> int:
        limit = 0
        best, best_number = 0.0, 0
        for number in sorted(self._ranges):
            at, weight, total = self._ranges[number]
            if weight * 0.5 ** (max(0.0, now - at) / HALF_LIFE_S) < MIN_WEIGHT:
                continue
            yielded = (number + 0.5) / exp(total / weight)
            if yielded < MIN_YIELD * best:
                limit = max(1, int((best_number + 0.2) * slots / RANGES))
                break
            if yielded > best:
                best, best_number = yielded, number
        return limit
