"""
Who reads the platform's values, and when.

A few computed hosts of each zone watch the platform. The others hear of
changes from peers and read the platform themselves only when no peer knows a
value, and rarely otherwise. Their reads are spread so that the whole fleet,
starting at once, stays far under the platform's rate::

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

ALLOWED_CALLS_PER_S = 1000.0
FLEET_IF_UNKNOWN = 2200
PEERS_FIRST_S = 3.0
RARE_INTERVAL_S = 300.0
RARE_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class ReadingPlan:
    """
    How one host reads the platform.

    ``first_read_s`` is the delay before the first read of each value that no
    peer told of; ``poll_interval_s`` lies between reads where ``watches`` is
    false, and between full reads beside the watch where it is true.
    """

    watches: bool
    first_read_s: float
    poll_interval_s: float


def plan_reading(
    own: str,
    zone: str,
    hosts: Sequence[PublishedHost],
    down: frozenset[str],
    names: int,
    random: Random,
) -> ReadingPlan:
    """
    Return how host ``own`` of ``zone`` reads ``names`` values.

    ``hosts`` is the last list known, empty if there is none; ``down`` are
    hosts believed to be dead, ended or leaving.
    """
    fit = [host for host in hosts if host.id not in down]
    poll_interval_s = RARE_INTERVAL_S * (1 + RARE_JITTER * (2 * random.random() - 1))
    if own in computed_readers(fit, zone, READERS_PER_ZONE):
        return ReadingPlan(True, 0.0, poll_interval_s)
    fleet = max(len(hosts), 1) if hosts else FLEET_IF_UNKNOWN
    spread_s = fleet * names / ALLOWED_CALLS_PER_S
    first_read_s = random.random() * spread_s
    if hosts:
        first_read_s += PEERS_FIRST_S
    return ReadingPlan(False, first_read_s, poll_interval_s)
