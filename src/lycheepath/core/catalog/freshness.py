"""
Who reads the store, and how a host knows that what it holds is current.

Two hosts of each region read the store; they are computed from who is live,
never agreed on. Every host tells with its beats how far its knowledge goes and
how old it is; one that lacks something asks the host that has it. So the
store's calls don't grow with the fleet. A host that nobody brings news reads by
itself, the next in rank first, so that a host cut off from its peers, or whose
readers are refused, still keeps up::

    rank = rank_reader("host-3", ready_hosts, "east")
    if freshness.wait_s(rank, now) <= 0: ...
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..hosts.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

# Hosts of a region that read; a second one covers a reader that has just gone.
READERS_PER_REGION = 2
# Between two readings; a quarter of the shortest bound on acting on an answer.
INTERVAL_S = 1.0
# After a start and after the store's return, when entries come back.
EAGER_INTERVAL_S = 0.3
EAGER_PERIOD_S = 4.0
# Others read when their knowledge is older: one reading late, and its way here.
STALE_S = 1.5
# The next in rank goes first, and its news spares those behind it the reading.
RANK_STEP_S = 0.15
MOST_RANK_WAIT_S = 1.0
# Without news for this long, entries may have lapsed unseen.
OUTAGE_S = 2.5


class AvailableUpdate(Enum):
    """What another host has that this one lacks."""

    NONE = "none"
    CHANGES = "changes"
    CONFIGURATION = "configuration"


@dataclass(frozen=True, slots=True)
class CatalogStatus:
    """
    How far a host's knowledge goes.

    ``version`` is that of its configuration, ``revision`` that of the last
    change it knows of, ``age_s`` the time since that was known to be all.
    """

    version: int
    revision: int
    age_s: float


NO_CATALOG_STATUS = CatalogStatus(0, 0, float("inf"))


class Freshness:
    """State: when this host last knew all, and when it last read itself."""

    def __init__(self, now: float) -> None:
        self.known_at = float("-inf")
        self._read_at = float("-inf")
        self._news_at = float("-inf")
        self._eager_until = now + EAGER_PERIOD_S

    def age_s(self, now: float) -> float:
        """Return the time since what is held was known to be all there is."""
        return now - self.known_at

    def record_read(self, now: float) -> None:
        """Note that a reading begins."""
        self._read_at = now

    def record_current_at(self, at: float) -> None:
        """Note that all there was at a time is known."""
        self.known_at = max(self.known_at, at)

    def poll_eagerly(self, now: float) -> None:
        """Read often for a while: entries may be coming back."""
        self._eager_until = now + EAGER_PERIOD_S

    def apply_status(
        self, held: CatalogStatus, told: CatalogStatus, now: float
    ) -> AvailableUpdate:
        """Take what another host tells of its knowledge; return what it has more."""
        if told.version > held.version:
            return AvailableUpdate.CONFIGURATION
        if told.revision > held.revision:
            return AvailableUpdate.CHANGES
        self.record_current_at(now - told.age_s)
        return AvailableUpdate.NONE

    def wait_s(self, rank: int | None, now: float) -> float:
        """Return how long this host may wait before it reads; ``None``: no rank."""
        interval_s = EAGER_INTERVAL_S if now < self._eager_until else INTERVAL_S
        next_s = interval_s - (now - self._read_at)
        if rank is not None and rank < READERS_PER_REGION:
            return next_s
        behind_s = MOST_RANK_WAIT_S
        if rank is not None:
            behind_s = min((rank - READERS_PER_REGION) * RANK_STEP_S, MOST_RANK_WAIT_S)
        return max(STALE_S + behind_s - self.age_s(now), next_s)

    def may_fetch_update(self, now: float) -> bool:
        """Whether news may be looked after now; not again at once if so."""
        if now - self._news_at < EAGER_INTERVAL_S:
            return False
        self._news_at = now
        return True


def rank_reader(host: str, hosts: Iterable[str], region: str) -> int | None:
    """Return a host's place among those of its region that may read."""
    ranked = rank(region, list(hosts))
    return ranked.index(host) if host in ranked else None
