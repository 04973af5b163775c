"""
Checks that a target gets no more requests than the limits that it stated.

Counted are windows of ``WINDOW_S``, for which the highest limit counts that was in
force since ``NOTICE_S`` before::

    find_excess([0.1, 0.2, 0.3], [(0.0, 1.0), (9.0, None)])
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

WINDOW_S = 4.0
NOTICE_S = 0.5
# More requests than the limit that a window may have: a factor, and a number.
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
LIMIT_HEADER = "server-limit"


@dataclass(frozen=True)
class Excess:
    """A window with more requests than allowed at ``rate``."""

    since: float
    count: int
    allowed: float
    rate: float

    def __str__(self) -> str:
        return (
            f"{self.count} requests in {WINDOW_S:g} s from {self.since:.3f},"
            f" allowed {self.allowed:g} at {self.rate:g} a second"
        )


def find_excess(
    arrivals: Sequence[float], changes: Sequence[tuple[float, float | None]]
) -> Iterator[Excess]:
    """
    Yield each window of ordered arrivals that has too many.

    ``changes`` are times and the limits that applied from then on, None for none.
    """
    for first, since in enumerate(arrivals):
        count = bisect_left(arrivals, since + WINDOW_S) - first
        rate = _find_highest_rate(changes, since - NOTICE_S, since + WINDOW_S)
        allowed = EXCESS_FACTOR * rate * WINDOW_S + EXCESS_REQUESTS
        if count > allowed:
            yield Excess(since, count, allowed, rate)


def _find_highest_rate(
    changes: Sequence[tuple[float, float | None]], since: float, until: float
) -> float:
    """Return the highest limit of a period, infinite if there was none at times."""
    rate = float("inf")
    highest = 0.0
    for at, changed in changes:
        if at > until:
            break
        if at >= since:
            highest = max(highest, rate)
        rate = float("inf") if changed is None else changed
    return max(highest, rate)
