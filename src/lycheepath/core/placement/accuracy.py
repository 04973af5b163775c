"""
How far estimates of a first event are off, as the latest answers show.

What is under way at a target is known late and in part, and a speed is that of many
answers. Both errors are alike for requests that went the same way at about the same
time, so a ratio of seen to expected corrects the next estimate. Of the ratios seen
lately a quantile is taken: a request is admitted if it would be in time even where
the estimate is off by so much::

    errors = EstimateErrors()
    errors.observe(Expected(Queue("pool", 0), 0.4), "east", seen_s=0.3, now=now)
    errors.find_ratio(Queue("pool", 0), "east", now)
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .region_waits import Queue

# Part of the latest answers that came within their corrected estimates.
LEVEL = 0.9
# Taken while fewer answers were seen than ``LEAST_SEEN``.
PRIOR_RATIO = 1.2
LEAST_SEEN = 8
MOST_SEEN = 64
# Older answers tell nothing of the load that there is now, in seconds.
SEEN_WITHIN_S = 10.0
# Shorter estimates, in seconds, are off by the steps of an engine, not by its queue.
LEAST_EXPECTED_S = 0.1
# Estimates are shortened by no more than this: requests that are about to be late
# aren't those for which most estimates turned out too long.
LEAST_RATIO = 0.8
# One answer is taken to be off by this factor at most.
MOST_RATIO = 8.0


@dataclass(frozen=True, slots=True)
class Expected:
    """
    When the first event of a request was expected, from its sending on.

    ``pace`` is how much longer than others its target was taken to need for it.
    """

    queue: Queue
    first_s: float
    pace: float = 1.0


class EstimateErrors:
    """State: the ratios seen lately, by queue and region."""

    def __init__(self) -> None:
        self._seen: dict[tuple[Queue, str], _Ratios] = {}

    def observe(
        self, expected: Expected, region: str, seen_s: float, now: float
    ) -> None:
        """Take when a first event was expected and when it came."""
        if expected.first_s < LEAST_EXPECTED_S:
            return
        ratio = min(MOST_RATIO, max(0.0, seen_s) / expected.first_s)
        self._seen.setdefault((expected.queue, region), _Ratios()).add(ratio, now)

    def find_ratio(self, queue: Queue, region: str, now: float) -> float:
        """Return the factor that turns an estimate into a time that mostly holds."""
        ratios = self._seen.get((queue, region))
        return PRIOR_RATIO if ratios is None else ratios.find(now)


class _Ratios:
    """State: the latest ratios of one way, and their quantile."""

    def __init__(self) -> None:
        self._latest: deque[tuple[float, float]] = deque(maxlen=MOST_SEEN)
        self._found: float | None = None

    def add(self, ratio: float, now: float) -> None:
        self._latest.append((now, ratio))
        self._found = None

    def find(self, now: float) -> float:
        while self._latest and now - self._latest[0][0] > SEEN_WITHIN_S:
            self._latest.popleft()
            self._found = None
        if len(self._latest) < LEAST_SEEN:
            return PRIOR_RATIO
        if self._found is None:
            ratios = sorted(ratio for _, ratio in self._latest)
            self._found = max(LEAST_RATIO, ratios[int(LEVEL * (len(ratios) - 1))])
        return self._found
