"""
Whether a failed attempt is repeated, and whether a slow one is doubled.

Only what may be repeated is: an idempotent call, one of which no byte was
sent, or a stream whose engine can resume it (the host counts that as
idempotent).
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

HEDGE_FACTOR = 3.0
HEDGE_MIN_S = 0.25
HEDGE_GAIN = 2.0


@dataclass(frozen=True, slots=True)
class Retry:
    """Repeat the request after ``after_s`` seconds on what is left."""

    after_s: float
    budget: RequestBudget


def decide_retry(
    budget: RequestBudget,
    host_budget: HostBudget,
    repeatable: bool,
    expected_s: float,
    now: float,
    random: Random,
) -> Retry | Absent:
    """
    Return how to repeat a failed attempt, or why not to.

    ``repeatable`` says that running it twice does no harm or that it surely
    did not run. ``expected_s`` is how long another attempt should take.
    """
    if not repeatable:
        return Absent(Reason.RETRIES_SPENT, detail="may not be repeated")
    if budget.attempts_left <= 0:
        return Absent(Reason.RETRIES_SPENT, detail="no attempt is left")
    after_s = draw_backoff(MAX_ATTEMPTS - budget.attempts_left, random)
    if now + after_s + expected_s > budget.deadline:
        return Absent(Reason.DEADLINE, detail="no time is left for another attempt")
    if not host_budget.take():
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
    Tell whether a second attempt beside a slow first one pays.

    The first must be well overdue against its own estimate, and another
    target must be expected to answer much sooner than the first has already
    waited. A hedge spends an attempt and a retry like any other repetition.
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
