"""A token bucket that bounds the bytes sent."""

from __future__ import annotations


class ByteBudget:
    """Grants ``rate`` bytes a second, ``burst`` bytes at once."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._at = now

    def available(self, now: float) -> float:
        """Return the bytes that may be sent now."""
        self._left = min(self._burst, self._left + (now - self._at) * self._rate)
        self._at = now
        return self._left

    def spend(self, count: float) -> None:
        """Take ``count`` bytes; the budget may go below zero once."""
        self._left -= count
