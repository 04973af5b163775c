"""A token bucket whose cost is known only afterwards."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """
    State: what may still be spent.

    ``level`` falls below zero when the real cost of a request exceeds what
    was taken for it; the debt is paid before anything more is admitted.
    """

    rate: float
    burst: float
    level: float
    filled_at: float

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst from now on."""
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def take(self, cost: float, now: float) -> float:
        """
        Take the cost and return 0, or return the seconds until it can be taken.

        A cost above the burst can be taken from a full bucket, which then is
        in debt; otherwise a large request could never run.
        """
        self._fill(now)
        needed = min(cost, self.burst)
        if self.level >= needed:
            self.level -= cost
            return 0.0
        if self.rate <= 0.0:
            return float("inf")
        return (needed - self.level) / self.rate

    def settle(self, taken: float, real: float, now: float) -> None:
        """Replace the cost that was taken by the real one."""
        self._fill(now)
        self.level = min(self.burst, self.level + taken - real)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        self.level = min(self.burst, self.level + elapsed * self.rate)
