"""
How long a request would wait in each region, as hosts there last found.

A host that places a request learns from the keepers what is ahead of it at the
best target found. The mean of these tells other regions whether it is worth the
way, in a few bytes whatever the number of targets. Requests of one urgency wait for
others than those of another, so that each has a mean of its own::

    waits.observe(Queue("pool", 0), 0.12, now)
    waits.own(now)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

# A mean counts the last few choices of this host, most the latest.
STEP = 0.3
# What isn't observed any more is nothing to tell, after this long in seconds.
OWN_S = 2.0
# What another region told counts for this long, in seconds.
TOLD_S = 4.0
# Weight of one more host's word against those heard before.
TOLD_STEP = 0.4


class Queue(NamedTuple):
    """The requests of a service that wait alike."""

    service: str
    priority: int


NO_QUEUE = Queue("", 0)


@dataclass(slots=True)
class _Mean:
    """A mean that forgets; it starts anew after ``within_s`` without news."""

    step: float
    within_s: float
    wait_s: float = 0.0
    at: float = float("-inf")

    def take(self, wait_s: float, now: float) -> None:
        known = now - self.at < self.within_s
        self.wait_s += (self.step if known else 1.0) * (wait_s - self.wait_s)
        self.at = now

    def find_s(self, now: float) -> float | None:
        return self.wait_s if now - self.at < self.within_s else None


class RegionWaits:
    """State: this host's own means, and those told, by region."""

    def __init__(self) -> None:
        self._own: dict[Queue, _Mean] = {}
        self._told: dict[tuple[str, Queue], _Mean] = {}

    def observe(self, queue: Queue, wait_s: float, now: float) -> None:
        """Take the wait at the best target found for a request."""
        mean = self._own.setdefault(queue, _Mean(STEP, OWN_S))
        mean.take(wait_s, now)

    def local_waits(self, now: float) -> dict[Queue, float]:
        """Return this host's means, for hosts of other regions."""
        means = {queue: mean.find_s(now) for queue, mean in self._own.items()}
        return {queue: wait_s for queue, wait_s in means.items() if wait_s is not None}

    def find_own_s(self, queue: Queue, now: float) -> float:
        """Return this host's mean, 0 where it has none."""
        mean = self._own.get(queue)
        return (mean.find_s(now) or 0.0) if mean else 0.0

    def apply_report(
        self, region: str, queue: Queue, wait_s: float, now: float
    ) -> None:
        """Take what a host of another region tells."""
        mean = self._told.setdefault((region, queue), _Mean(TOLD_STEP, TOLD_S))
        mean.take(wait_s, now)

    def find_s(self, region: str, queue: Queue, now: float) -> float:
        """Return the wait in another region, 0 where nothing is known."""
        mean = self._told.get((region, queue))
        return (mean.find_s(now) or 0.0) if mean else 0.0
