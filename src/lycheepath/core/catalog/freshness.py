"""
Decides which hosts read the store, and tracks how current a host's catalog is.

Two hosts of each region read the store. Each host computes them from its own view of
the live hosts, without agreement. Each heartbeat carries the sender's catalog version
and age; a host that lacks changes copies them from the sender. So the number of store
calls doesn't grow with the fleet. A host that receives no updates reads the store
itself, in order of rank, so a host that is partitioned from its peers, or whose
readers are refused by the store, still stays current::

    rank = rank_reader("host-3", ready_hosts, "east")
    if freshness.wait_s(rank, now) <= 0: ...
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..hosts.rendezvous import rank
from .changes import Position

if TYPE_CHECKING:
    from collections.abc import Iterable

# Number of hosts per region that read the store; the second one covers for a reader
# that has just failed.
READERS_PER_REGION = 2
# Interval between two readings, in seconds: a quarter of the shortest time within which
# a host must act on what the store answers.
READ_INTERVAL_S = 1.0
# Interval between two readings, in seconds, for ``EAGER_PERIOD_S`` seconds after a
# start and after an outage of the store, when lapsed entries are written again.
EAGER_READ_INTERVAL_S = 0.3
EAGER_PERIOD_S = 4.0
# Age in seconds of its catalog after which a host that isn't a reader reads the store:
# one delayed reading, plus the time until it is received.
STALE_AFTER_S = 1.5
# Added delay per rank, in seconds: the host next in rank reads first, and its update
# makes the readings of the others unnecessary.
RANK_DELAY_S = 0.15
# Upper bound of the delay by rank, and the delay of a host without a rank, in seconds.
MAX_RANK_DELAY_S = 1.0
# Age in seconds of its catalog beyond which a host assumes that entries may have lapsed
# during an outage.
OUTAGE_S = 2.5


class AvailableUpdate(Enum):
    """What a peer's catalog has that this host's lacks."""

    NONE = "none"
    CHANGES = "changes"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class CatalogStatus:
    """
    How current a host's catalog is.

    ``version`` is that of its configuration, ``revision`` that of the last change it
    contains, in an ``era`` of the store, and ``age_s`` the time since it was known to be
    complete.
    """

    version: int
    revision: int
    age_s: float
    era: int = 0

    @property
    def position(self) -> Position:
        """The position of the last change that the catalog contains."""
        return Position(self.era, self.revision)


NO_CATALOG_STATUS = CatalogStatus(0, 0, float("inf"))


class Freshness:
    """When this host's catalog was last known to be current, and when it was read."""

    def __init__(self, now: float) -> None:
        self.current_at = float("-inf")
        self.read_at = float("-inf")
        self._fetched_at = float("-inf")
        self._eager_until = now + EAGER_PERIOD_S

    def age_s(self, now: float) -> float:
        """Return the time since the catalog was known to be complete."""
        return now - self.current_at

    def record_read(self, now: float) -> None:
        """Record that a reading of the store begins."""
        self.read_at = now

    def record_current_at(self, at: float) -> None:
        """Record that the catalog has all changes up to a time."""
        self.current_at = max(self.current_at, at)

    def poll_eagerly(self, now: float) -> None:
        """Shorten the reading interval while lapsed entries may be written again."""
        self._eager_until = now + EAGER_PERIOD_S

    def apply_status(
        self, local: CatalogStatus, reported: CatalogStatus, now: float
    ) -> AvailableUpdate:
        """Compare with a peer's status; return what the local catalog lacks."""
        if reported.version > local.version:
            return AvailableUpdate.CONFIGURATION
        if reported.position > local.position:
            return AvailableUpdate.CHANGES
        if reported.era == local.era:
            self.record_current_at(now - reported.age_s)
        return AvailableUpdate.NONE

    def wait_s(self, rank: int | None, now: float, is_due: bool = False) -> float:
        """
        Return how long this host may wait before it reads; its rank may be None.

        ``is_due`` says that it has to read for other reasons than the age of its catalog.
        """
        interval_s = (
            EAGER_READ_INTERVAL_S if now < self._eager_until else READ_INTERVAL_S
        )
        next_s = interval_s - (now - self.read_at)
        if is_due or (rank is not None and rank < READERS_PER_REGION):
            return next_s
        behind_s = MAX_RANK_DELAY_S
        if rank is not None:
            behind_s = min((rank - READERS_PER_REGION) * RANK_DELAY_S, MAX_RANK_DELAY_S)
        return max(STALE_AFTER_S + behind_s - self.age_s(now), next_s)

    def may_fetch_update(self, now: float) -> bool:
        """Return whether an update may be fetched now, at most once per interval."""
        if now - self._fetched_at < EAGER_READ_INTERVAL_S:
            return False
        self._fetched_at = now
        return True


def rank_reader(host: str, hosts: Iterable[str], region: str) -> int | None:
    """Return a host's rank among the hosts of its region, None if it isn't one."""
    ranked = rank(region, list(hosts))
    return ranked.index(host) if host in ranked else None
