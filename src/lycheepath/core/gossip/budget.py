"""A token bucket that bounds the bytes sent."""

from __future__ import annotations


class ByteBudget:
    """Grants ``rate`` bytes per second, and up to ``burst`` bytes at once."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._available = burst
        self._refilled_at = now

    def available(self, now: float) -> float:
        """Return the bytes that may be sent now."""
        self._available = min(
            self._burst, self._available + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        return self._available

    def spend(self, count: float) -> None:
        """Spend ``count`` bytes, which may take the budget below zero."""
        self._available -= count
