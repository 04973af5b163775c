"""
The budgets that keep retries from sustaining an overload.

A request carries one budget end to end. Whoever forwards it hands over what is
left and spends nothing more on it, so attempts add up and never multiply. A
host has a budget of its own over all requests: retries are at most a share of
what succeeded lately.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.1
MAX_SAVED_RETRIES = 10.0
MAX_DIGITS = 9


@dataclass(frozen=True, slots=True)
class RequestBudget:
    """
    What a request may still use: attempts (the first counts) and time.

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
    """Return the budget of a request that came from a caller."""
    return RequestBudget(MAX_ATTEMPTS, deadline)


def encode_budget(budget: RequestBudget, now: float) -> str:
    """Return the budget for a header: attempts and milliseconds left."""
    left_ms = max(0, int((budget.deadline - now) * 1000.0))
    return f"{budget.attempts_left};{left_ms}"


def decode_budget(text: str, now: float) -> RequestBudget | None:
    """Return the budget that another host handed over, or None if malformed."""
    parts = text.split(";")
    if len(parts) != 2 or not all(map(_is_small_number, parts)):
        return None
    attempts, left_ms = map(int, parts)
    return RequestBudget(min(attempts, MAX_ATTEMPTS), now + left_ms / 1000.0)


def _is_small_number(text: str) -> bool:
    return len(text) <= MAX_DIGITS and text.isascii() and text.isdecimal()


@dataclass(slots=True)
class HostBudget:
    """State: retries that this host may still make, earned by successes."""

    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Count a success."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRY_RATIO)

    def take(self) -> bool:
        """Take one retry; tell whether there was one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
