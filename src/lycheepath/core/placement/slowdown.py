"""
Learns how much slower one target is than the others of its service.

The speed of a service is learned from all its targets; a target that is slow, or
shares its machine, takes longer by a factor. The factor is the geometric mean of the
ratios of observed to estimated time of the target's own answers, weighted towards
recent ones, with a prior of 1. It returns to 1 while nothing is observed, so a target
that was slow is used again after a while::

    slowdown = Slowdown()
    slowdown.observe(expected_s=0.2, observed_s=0.5, now=now)
    slowdown.find(now)
"""

from __future__ import annotations

from math import exp, log

# Bound of the ratio that a single answer contributes, in either direction.
MAX_FACTOR = 6.0
# Time in seconds after which the weight of an answer has halved.
HALF_LIFE_S = 6.0
# Weight of the prior, as a number of answers.
PRIOR_WEIGHT = 3.0


class Slowdown:
    """The decaying sum of the ratios' logarithms, and when it was updated."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._weight = 0.0
        self._at = 0.0

    def observe(self, expected_s: float, observed_s: float, now: float) -> None:
        """Add the observed time to a first event that the service's speed predicted."""
        if expected_s <= 0.0 or observed_s <= 0.0:
            return
        bound = log(MAX_FACTOR)
        seen = min(max(log(observed_s / expected_s), -bound), bound)
        decay = self._find_decay(now)
        self._sum = decay * self._sum + seen
        self._weight = decay * self._weight + 1.0
        self._at = now

    def find(self, now: float) -> float:
        """Return the factor by which the target is slower than its service."""
        if not self._weight:
            return 1.0
        decay = self._find_decay(now)
        return exp(decay * self._sum / (decay * self._weight + PRIOR_WEIGHT))

    def _find_decay(self, now: float) -> float:
        return float(0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S))
