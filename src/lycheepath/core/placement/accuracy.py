"""
Corrects estimates of the time to the first event by recently observed errors.

The load of a target is known late and in part, and the speed model averages over
many answers. Both errors are similar for requests of the same queue and region at
about the same time, so the ratio of observed to expected time corrects the next
estimate. A high quantile of the recent ratios is used: a request is admitted if it
would meet its latency objective even with an error of that size::

    errors = EstimateErrors()
    estimate = FirstEventEstimate(Queue("pool", 0), 0.4)
    errors.observe(estimate, "east", observed_s=0.3, now=now)
    errors.find_ratio(Queue("pool", 0), "east", now)
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .region_waits import Queue

# Share of the recent answers whose first event came within the corrected estimate.
QUANTILE = 0.9
# Ratio used while fewer than ``MIN_OBSERVATIONS`` recent answers are available.
PRIOR_RATIO = 1.2
MIN_OBSERVATIONS = 8
MAX_OBSERVATIONS = 64
# Age in seconds up to which an observation counts; older ones say nothing about the
# present load.
OBSERVATION_TTL_S = 10.0
# The same for services whose targets' paces are used: what was expected before a target's
# pace was known says little about what is expected now.
PACED_TTL_S = 3.0
# Shorter estimates, in seconds, aren't observed: their error comes from the engine's
# batch steps, not from its queue.
MIN_EXPECTED_S = 0.1
# Lower bound of the correction. Estimates that turned out too long mostly belong to
# requests that weren't close to their objective, so they justify only a small
# reduction.
MIN_RATIO = 0.8
# Upper bound of the ratio that a single answer contributes.
MAX_RATIO = 8.0


@dataclass(frozen=True, slots=True)
class FirstEventEstimate:
    """
    The estimated time from sending a request to its first event.

    ``slowdown`` is the target's slowdown that the estimate includes.
    """

    queue: Queue
    first_event_s: float
    slowdown: float = 1.0


class EstimateErrors:
    """The recent ratios of observed to expected time, by queue and region."""

    def __init__(self) -> None:
        self._ratios: dict[tuple[Queue, str], _RecentRatios] = {}

    def observe(
        self, expected: FirstEventEstimate, region: str, observed_s: float, now: float
    ) -> None:
        """Add the observed time to a first event that was expected."""
        if expected.first_event_s < MIN_EXPECTED_S:
            return
        ratio = min(MAX_RATIO, max(0.0, observed_s) / expected.first_event_s)
        self._ratios.setdefault((expected.queue, region), _RecentRatios()).add(
            ratio, now
        )

    def find_ratio(
        self, queue: Queue, region: str, now: float, ttl_s: float = OBSERVATION_TTL_S
    ) -> float:
        """Return the factor that corrects an estimate for a queue and region."""
        ratios = self._ratios.get((queue, region))
        return PRIOR_RATIO if ratios is None else ratios.find(now, ttl_s)


class _RecentRatios:
    """The recent ratios of one queue and region, and their cached quantile."""

    def __init__(self) -> None:
        self._latest: deque[tuple[float, float]] = deque(maxlen=MAX_OBSERVATIONS)
        self._quantile: float | None = None

    def add(self, ratio: float, now: float) -> None:
        self._latest.append((now, ratio))
        self._quantile = None

    def find(self, now: float, ttl_s: float) -> float:
        while self._latest and now - self._latest[0][0] > ttl_s:
            self._latest.popleft()
            self._quantile = None
        if len(self._latest) < MIN_OBSERVATIONS:
            return PRIOR_RATIO
        if self._quantile is None:
            ratios = sorted(ratio for _, ratio in self._latest)
            self._quantile = max(MIN_RATIO, ratios[int(QUANTILE * (len(ratios) - 1))])
        return self._quantile
