"""
Tracks the request rate that a target accepts from all hosts together.

A target under pressure states its limit in its answers. The limit applies to the
instance that stated it, until the answer to a later request states none::

    rate_limit.observe_answer(2.5, sent_at=3.0, now=3.2)
    rate_limit.rate
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RateLimit:
    """
    The limit of one instance of a target, in requests per second; None if it has none.

    ``observed_at`` is when the answer that showed this arrived, as a time of this
    host's monotonic clock.
    """

    rate: float | None = None
    observed_at: float = float("-inf")

    def observe_answer(self, rate: float | None, sent_at: float, now: float) -> bool:
        """
        Apply what an answer states; return whether the limit has changed.

        An answer without a limit ends one only if its request was sent after the limit
        was observed: answers on several connections may overtake each other.
        """
        if rate is None and self.rate is not None and sent_at <= self.observed_at:
            return False
        self.observed_at = now
        if rate == self.rate:
            return False
        self.rate = rate
        return True


def describe_rate(rate: float | None) -> str:
    """Return a limit as text for the log."""
    return "none" if rate is None else f"{rate:g} a second"
