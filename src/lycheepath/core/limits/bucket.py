"""A token bucket for costs that are only known after the request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """
    State: the tokens that may still be spent.

    ``level`` drops below zero when the actual cost of a request exceeds the cost
    charged for it; nothing more is admitted until the debt has been refilled.
    """

    rate: float
    burst: float
    level: float
    filled_at: float

    def resize(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst as of ``now``."""
        self._fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def take(self, cost: float, now: float, debt: float = 0.0) -> float:
        """
        Charge the cost and return 0, or return the seconds until that is possible.

        The level may drop to ``-debt``. A cost above the burst can be charged to a full
        bucket, whose level then drops further; otherwise such a request could never run.
        """
        self._fill(now)
        needed = min(cost - debt, self.burst)
        if self.level >= needed:
            self.level -= cost
            return 0.0
        if self.rate <= 0.0:
            return float("inf")
        return (needed - self.level) / self.rate

    def settle(self, charged: float, actual: float, now: float) -> None:
        """Replace a charged cost by the actual one."""
        self._fill(now)
        self.level = min(self.burst, self.level + charged - actual)

    def read(self, now: float) -> float:
        """Return the level."""
        self._fill(now)
        return self.level

    def raise_to(self, level: float, now: float) -> None:
        """Raise the level, at most to the burst."""
        self._fill(now)
        self.level = max(self.level, min(level, self.burst))

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        self.filled_at = max(self.filled_at, now)
        self.level = min(self.burst, self.level + elapsed * self.rate)
