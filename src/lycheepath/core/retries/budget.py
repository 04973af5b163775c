"""
Retry budgets, which keep retries from sustaining an overload.

A request has one budget end to end. A host that forwards it passes on the remaining
budget and makes no further attempts itself, so the attempts of all hops add up instead
of multiplying. Each host also has a budget over all of its requests: retries are
limited to a share of the recent successes. Retries after a target's death take nothing
from it: they run as trials, one at a time on each target.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

# Attempts of one request over all hops, including the first.
MAX_ATTEMPTS = 3
# Retries that a host earns with each success.
RETRY_RATIO = 0.1
# Upper bound of the retries that a host saves up.
MAX_SAVED_RETRIES = 10.0
# Maximum length of a number in an encoded budget.
MAX_DIGITS = 9


@dataclass(frozen=True, slots=True)
class RequestBudget:
    """
    The remaining attempts of a request, including the first, and its deadline.

    ``deadline`` is in seconds of this host's monotonic clock.
    """

    attempts_left: int
    deadline: float

    def spend(self) -> RequestBudget:
        """Return the budget after one more attempt."""
        if self.attempts_left <= 0:
            raise AttemptsError("an attempt was made on an empty budget")
        return replace(self, attempts_left=self.attempts_left - 1)


class AttemptsError(AssertionError):
    """More attempts were made than the request's budget allows."""


def open_budget(deadline: float) -> RequestBudget:
    """Return the budget of a new request from a caller."""
    return RequestBudget(MAX_ATTEMPTS, deadline)


def encode_budget(budget: RequestBudget, now: float) -> str:
    """Encode a budget for a header as remaining attempts and milliseconds."""
    left_ms = max(0, int((budget.deadline - now) * 1000.0))
    return f"{budget.attempts_left};{left_ms}"


def decode_budget(text: str, now: float) -> RequestBudget | None:
    """Return the budget that another host sent, or None if it is malformed."""
    parts = text.split(";")
    if len(parts) != 2 or not all(map(_is_small_number, parts)):
        return None
    attempts, left_ms = map(int, parts)
    return RequestBudget(min(attempts, MAX_ATTEMPTS), now + left_ms / 1000.0)


def _is_small_number(text: str) -> bool:
    return len(text) <= MAX_DIGITS and text.isascii() and text.isdecimal()


@dataclass(slots=True)
class HostBudget:
    """The retries that this host may still make, earned by successes."""

    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a success."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRY_RATIO)

    def take(self) -> bool:
        """Take one retry; return False if there is none."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
