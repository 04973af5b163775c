"""
Estimates how long a request would wait in each region.

A host that places a request learns from the coordinators how much work is queued at
the best target. Other regions are sent the mean of these waits, which takes a few
bytes regardless of the number of targets, and decide by it whether relaying a request
is worth the round trip. Requests of different priorities wait behind different work,
so each priority has its own mean::

    waits.observe(Queue("pool", 0), 0.12, now)
    waits.local_waits(now)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

# Weight of a new observation in this host's mean, which thus covers its last few
# choices.
LOCAL_WEIGHT = 0.3
# Time in seconds after the last observation for which this host reports its mean.
LOCAL_TTL_S = 2.0
# Validity of a remote region's reported wait, in seconds.
REMOTE_TTL_S = 4.0
# Weight of another host's report in the mean of its region.
REMOTE_WEIGHT = 0.4


class Queue(NamedTuple):
    """The requests of a service that have the same priority."""

    service: str
    priority: int


NO_QUEUE = Queue("", 0)


@dataclass(slots=True)
class _Mean:
    """A moving average that restarts after ``ttl_s`` without an update."""

    weight: float
    ttl_s: float
    wait_s: float = 0.0
    at: float = float("-inf")

    def add(self, wait_s: float, now: float) -> None:
        known = now - self.at < self.ttl_s
        self.wait_s += (self.weight if known else 1.0) * (wait_s - self.wait_s)
        self.at = now

    def find_s(self, now: float) -> float | None:
        return self.wait_s if now - self.at < self.ttl_s else None


class RegionWaits:
    """This host's mean waits, and those reported by remote regions."""

    def __init__(self) -> None:
        self._local: dict[Queue, _Mean] = {}
        self._remote: dict[tuple[str, Queue], _Mean] = {}

    def observe(self, queue: Queue, wait_s: float, now: float) -> None:
        """Add the wait at the best target found for a request."""
        mean = self._local.setdefault(queue, _Mean(LOCAL_WEIGHT, LOCAL_TTL_S))
        mean.add(wait_s, now)

    def local_waits(self, now: float) -> dict[Queue, float]:
        """Return this host's mean waits, to report to remote regions."""
        means = {queue: mean.find_s(now) for queue, mean in self._local.items()}
        return {queue: wait_s for queue, wait_s in means.items() if wait_s is not None}

    def find_local_s(self, queue: Queue, now: float) -> float:
        """Return this host's mean wait, 0 if it has none."""
        mean = self._local.get(queue)
        return (mean.find_s(now) or 0.0) if mean else 0.0

    def apply_report(
        self, region: str, queue: Queue, wait_s: float, now: float
    ) -> None:
        """Apply the mean wait that a host of a remote region reports."""
        mean = self._remote.setdefault(
            (region, queue), _Mean(REMOTE_WEIGHT, REMOTE_TTL_S)
        )
        mean.add(wait_s, now)

    def find_remote_s(self, region: str, queue: Queue, now: float) -> float:
        """Return the mean wait in a remote region, 0 if it is unknown."""
        mean = self._remote.get((region, queue))
        return (mean.find_s(now) or 0.0) if mean else 0.0
