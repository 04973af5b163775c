"""
Which hosts read the platform's values, and when.

A few computed hosts of each zone watch the platform. The others receive changes
from peers. They read the platform themselves only when no peer holds a value, and
poll it at long intervals. Their reads are spread so that a whole fleet that starts
at once stays far below the rate limit of the platform::

    plan = plan_reading("a-7", "a", hosts, down=frozenset(), names=3, random=random)
    if plan.watches:
        start_watch()

Compute the plan again when the list of hosts or the set of down hosts changes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..membership.rendezvous import READERS_PER_ZONE, computed_readers

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ..membership.model import PublishedHost

MAX_PLATFORM_CALLS_PER_S = 1000.0
DEFAULT_FLEET_HOSTS = 2200
PEERS_FIRST_DELAY_S = 3.0
RARE_POLL_INTERVAL_S = 300.0
RARE_POLL_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class ReadingPlan:
    """
    How one host reads the platform.

    ``first_read_s`` is the delay before the first read of each value that no
    peer announced. ``poll_interval_s`` is the interval between reads where ``watches``
    is false, and between full reads in addition to the watch where it is true.
    """

    watches: bool
    first_read_s: float
    poll_interval_s: float


def plan_reading(
    local_host: str,
    zone: str,
    hosts: Sequence[PublishedHost],
    down: frozenset[str],
    names: int,
    random: Random,
) -> ReadingPlan:
    """
    Return how ``local_host`` of ``zone`` reads ``names`` values.

    ``hosts`` is the last known list, empty if there is none; ``down`` are the
    hosts that are dead, ended or draining.
    """
    available = [host for host in hosts if host.id not in down]
    poll_interval_s = RARE_POLL_INTERVAL_S * (
        1 + RARE_POLL_JITTER * (2 * random.random() - 1)
    )
    if local_host in computed_readers(available, zone, READERS_PER_ZONE):
        return ReadingPlan(True, 0.0, poll_interval_s)
    fleet = max(len(hosts), 1) if hosts else DEFAULT_FLEET_HOSTS
    spread_s = fleet * names / MAX_PLATFORM_CALLS_PER_S
    first_read_s = random.random() * spread_s
    if hosts:
        first_read_s += PEERS_FIRST_DELAY_S
    return ReadingPlan(False, first_read_s, poll_interval_s)
