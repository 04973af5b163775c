"""
Keeps the proof that this host's configuration is recent, by asking other hosts.

Only needed where the deployment bounds the time until a revoked key is refused, and the
configuration knows teams; hosts answer queries in any case. What a host learns from the
store is recorded by the store's follower.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.view_messages import ViewQuery, ViewReply, encode_view_message
from ..core.catalog.freshness import READERS_PER_REGION
from ..core.catalog.proof import STORE_DELAY_S, ViewProof
from ..core.hosts.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..adapters.view_messages import ViewMessage
    from ..core.catalog.catalog import Catalog
    from ..core.fleet.view import HostRow
    from .peers import Peers
    from .settings import DeploymentBounds

# Interval between two queries, in seconds. Several may be lost before the oldest proof
# that is accepted ends.
QUERY_INTERVAL_S = 0.5
# The same while the proof is older than ``READ_AGE_S``.
URGENT_INTERVAL_S = 0.2
# Age of the proof in seconds from which other hosts are asked; a reader's is at most
# half a second older.
QUERY_AGE_S = 1.0
# Age of the proof in seconds from which this host reads the store itself, as other hosts
# don't answer or have no proof either; the oldest proof of ten hosts without a fault was
# 1.55 s old.
READ_AGE_S = 1.75
# Hosts wait for up to this many seconds longer, each its own time, so that the first one
# that reads the store proves the others.
READ_SPREAD_S = 0.5
# One query in this many goes to another region.
REGIONS_EVERY = 3
# Interval at which it is checked whether a query is due, in seconds.
CHECK_INTERVAL_S = 0.1
# Number of the last queries whose replies are accepted.
KEPT_QUERIES = 16
# Number of bits of a query's number.
NUMBER_BITS = 53
# Largest age that is reported, in seconds; also that of a host without a proof.
MAX_AGE_S = 60.0


class ViewProofs:
    """
    State: the proof, the queries on their way, and whether the view is proven.

    The settings bound the time until a revoked key is refused, or not. ``now`` is the
    loop's clock.
    """

    def __init__(
        self,
        catalog: Catalog,
        peers: Peers,
        random: Random,
        bounds: DeploymentBounds,
        now: Callable[[], float] = trio.current_time,
    ) -> None:
        revocation_s = bounds.revocation_s
        self.proof = ViewProof()
        self._catalog = catalog
        self._peers = peers
        self._random = random
        self._now = now
        self._max_age_s = (
            math.inf if revocation_s is None else max(0.0, revocation_s - STORE_DELAY_S)
        )
        self.is_strict = revocation_s is not None
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._asked_at = float("-inf")
        self._queries = 0
        self._read_age_s = READ_AGE_S + READ_SPREAD_S * random.random()
        # The host whose reply has renewed the proof, until it is asked again.
        self._helpful = ""
        self._was_proven = True

    @property
    def is_needed(self) -> bool:
        """Whether requests are only served while the configuration is proven."""
        return self.is_strict and self._catalog.has_teams

    @property
    def is_overdue(self) -> bool:
        """Whether this host has to read the store itself to be proven again."""
        return self.is_needed and self.proof.age_s(self._now()) > self._read_age_s

    @property
    def needs_snapshot(self) -> bool:
        """Whether only a reading of the whole store can prove the configuration."""
        return (
            self.is_strict
            and self.proof.age_s(self._now()) >= QUERY_AGE_S
            and self.proof.lacks_configuration(self._catalog.version)
        )

    def find_known_version(self) -> int | None:
        """Return the highest version that this host knows of, None if it is unsure."""
        return self.proof.find_known_version(self._catalog.version)

    def find_age_s(self) -> float:
        """Return the age of the proof in seconds, bounded for reports."""
        return min(MAX_AGE_S, self.proof.age_s(self._now()))

    def is_proven(self, now: float) -> bool:
        """Whether the configuration is proven recent enough to serve requests by it."""
        if not self.is_needed:
            return True
        return self.proof.age_s(now) <= self._max_age_s

    async def run(self) -> None:
        """Ask other hosts while the proof isn't recent, until cancelled."""
        while True:
            now = self._now()
            self.record_change(now)
            if (
                self.is_needed
                and self.proof.age_s(now) >= QUERY_AGE_S
                and now - self._asked_at >= self._find_interval_s(now)
            ):
                await self._query()
            await trio.sleep(CHECK_INTERVAL_S)

    def _find_interval_s(self, now: float) -> float:
        is_old = self.proof.age_s(now) > READ_AGE_S
        return URGENT_INTERVAL_S if is_old else QUERY_INTERVAL_S

    def record_reading(self, started_at: float, has_configuration: bool) -> None:
        """Record a successful reading of the store that began at a time."""
        self.proof.record_reading(started_at, self._catalog.version, has_configuration)

    def record_copy(self, known_version: int | None) -> None:
        """Record the version that the sender of a copy knows of, None if unknown."""
        if known_version is None:
            self.proof.record_gap(self._now())
        else:
            self.proof.require(known_version)

    def settle(self) -> None:
        """Apply the replies that this host has caught up with."""
        self.proof.settle(self._catalog.version)

    def record_change(self, now: float) -> None:
        """Log if the configuration has become proven or unproven."""
        proven = self.is_proven(now)
        if proven is self._was_proven:
            return
        self._was_proven = proven
        record_event(
            "view-proven" if proven else "view-unproven",
            age_s=round(self.find_age_s(), 3),
            required_version=self.proof.required_version,
            version=self._catalog.version,
            incomplete=self.proof.incomplete_since is not None,
        )

    async def handle_message(self, message: ViewMessage) -> None:
        """Answer a query, or apply a reply."""
        if isinstance(message, ViewReply):
            self._apply(message)
            return
        asker = self._peers.view.find_host(message.host)
        if asker is not None:
            await self._answer(message.number, asker)

    def _apply(self, reply: ViewReply) -> None:
        sent_at = self._sent_at.get(reply.number)
        if sent_at is None:
            return
        before = self.proof.proven_at
        self.proof.record_reply(sent_at - reply.age_s, reply.version)
        self.settle()
        if self.proof.proven_at > before:
            self._helpful = reply.host
        self.record_change(self._now())

    async def _answer(self, number: int, asker: HostRow) -> None:
        age_s = self.proof.age_s(self._now())
        if age_s > MAX_AGE_S:
            return
        host = self._peers.view.local_row.id
        reply = ViewReply(number, host, self._catalog.version, age_s)
        await self._peers.send_to_row(asker, encode_view_message(reply))

    async def _query(self) -> None:
        asked = self._pick_host()
        if asked is None:
            return
        # Numbers are drawn at random: a reply to a query of this host's previous process
        # may arrive late, and must not be taken for one to a later query.
        number = self._random.getrandbits(NUMBER_BITS)
        query = ViewQuery(number, self._peers.view.local_row.id)
        self._queries += 1
        self._asked_at = self._sent_at[number] = self._now()
        while len(self._sent_at) > KEPT_QUERIES:
            self._sent_at.popitem(last=False)
        await self._peers.send_to_row(asked, encode_view_message(query))

    def _pick_host(self) -> HostRow | None:
        """
        Return a host to ask.

        It is the last one that helped, one of those that read the store, or any other in
        case these are cut off. One query in ``REGIONS_EVERY`` goes to another region.
        """
        now = self._now()
        local_region = self._peers.view.local_row.region
        helpful, self._helpful = self._helpful, ""
        regions: dict[str, list[HostRow]] = {}
        for row in self._peers.view.live_hosts(now):
            regions.setdefault(row.region, []).append(row)
        local = regions.pop(local_region, [])
        is_turn = self._queries % REGIONS_EVERY == REGIONS_EVERY - 1
        if regions and (is_turn or not local):
            region = self._random.choice(sorted(regions))
            return self._pick_of_region(regions[region])
        rows = [row for each in (local, *regions.values()) for row in each]
        known = [row for row in rows if row.id == helpful]
        return known[0] if known else self._pick_of_region(local)

    def _pick_of_region(self, rows: list[HostRow]) -> HostRow | None:
        if not rows:
            return None
        rows = [row for row in rows if row.ready] or rows
        by_id = {row.id: row for row in rows}
        ranked = rank(rows[0].region, by_id)
        readers = [by_id[host] for host in ranked[:READERS_PER_REGION]]
        return self._random.choice([*readers, self._random.choice(rows)])
