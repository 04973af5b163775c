"""
Decides whether a failed attempt is retried and whether a slow one is hedged.

Only repeatable requests are: an idempotent request, one of which no byte was sent, or
a stream that its engine can resume (which the host treats as idempotent).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .backoff import draw_backoff
from .budget import MAX_ATTEMPTS

if TYPE_CHECKING:
    from random import Random

    from .budget import HostBudget, RequestBudget

# A hedge is sent after this many times the estimated time, but not before
# ``HEDGE_MIN_S`` seconds.
HEDGE_FACTOR = 3.0
HEDGE_MIN_S = 0.25
# Factor by which the time waited must exceed the estimate for the other target.
HEDGE_GAIN = 2.0


@dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request after ``after_s`` seconds with the remaining budget."""

    after_s: float
    budget: RequestBudget


def decide_retry(
    budget: RequestBudget,
    host_budget: HostBudget | None,
    repeatable: bool,
    expected_s: float,
    now: float,
    random: Random,
) -> Retry | Absent:
    """
    Return how to retry a failed attempt, or why it isn't retried.

    ``repeatable`` means that running the request twice does no harm, or that it
    certainly did not run. ``expected_s`` is the estimated time of another attempt.
    ``host_budget`` is None if the host's retries of this kind are limited otherwise.
    """
    if not repeatable:
        return Absent(Reason.RETRIES_SPENT, detail="may not be repeated")
    if budget.attempts_left <= 0:
        return Absent(Reason.RETRIES_SPENT, detail="no attempt is left")
    after_s = draw_backoff(MAX_ATTEMPTS - budget.attempts_left, random)
    if now + after_s + expected_s > budget.deadline:
        return Absent(Reason.DEADLINE, detail="no time is left for another attempt")
    if host_budget is not None and not host_budget.take():
        return Absent(Reason.RETRIES_SPENT, 1.0, "the host's retry budget is empty")
    return Retry(after_s, budget.spend())


def should_hedge(
    budget: RequestBudget,
    host_budget: HostBudget,
    repeatable: bool,
    waited_s: float,
    expected_s: float,
    other_expected_s: float,
    now: float,
) -> bool:
    """
    Return whether a second attempt in parallel to a slow first one is worthwhile.

    The first attempt must be well overdue by its own estimate, and another target must
    be expected to answer in much less time than the first has already taken. A hedge
    uses an attempt and a retry like any other retry.
    """
    if not repeatable or budget.attempts_left <= 0:
        return False
    if waited_s < max(HEDGE_MIN_S, HEDGE_FACTOR * expected_s):
        return False
    if other_expected_s * HEDGE_GAIN > waited_s:
        return False
    if now + other_expected_s > budget.deadline:
        return False
    return host_budget.take()
