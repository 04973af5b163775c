"""What the tasks of one gateway process share; all run in one loop."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

import trio

from ..adapters.events import EventLog, record_event
from ..adapters.http1.pool import Pool
from ..adapters.metrics import Metrics
from ..core.catalog.catalog import Catalog
from ..core.hosts.rendezvous import rank
from ..core.placement.choice import choose_target, is_conclusive, pick_targets_to_query
from ..core.placement.cold import MAX_COLD_SENDERS
from ..core.placement.connections import compute_idle_limit
from ..core.placement.draining import admit_while_draining
from ..core.placement.model import (
    Placement,
    PlacementContext,
    PlacementRequest,
    QueriedTargets,
)
from ..core.placement.registry import TargetRegistry
from ..core.retries.window import RetryWindow
from ..core.serving.startup import find_hold_s
from ..core.serving.suspects import Suspects
from .discovery import StoreFollower
from .keeping import REPEAT_S, Keeping
from .peers import Peers
from .silence import SilenceWatch

if TYPE_CHECKING:
    from ..core.fleet.view import HostRow
    from ..core.placement.load_reports import TargetLoadReport
    from ..core.placement.registry import TargetState
    from ..core.reasons import Absent
    from .exchange import Exchange
    from .settings import GatewaySettings

# Callers ask again after this long, some after three times as long; a host that
# leaves waits for them (DRAIN_NOTICE_S).
DIRECTORY_TTL_S = 1.0
MOST_NAMED = 64
# Who is live and which targets are cold changes with beats and readings.
SURROUNDINGS_S = 0.1
# A region that had no open target for a service is asked again after this long:
# a cold target that three hosts share bears a request about as often.
CLOSED_S = 0.5
# After a start, until peers have told again what they have under way.
BLIND_S = REPEAT_S + 0.3
# A host that leaves tells no longer time than this, in seconds.
MOST_LEFT_S = 60.0
# A host that is gone is back after a restart within this time, in seconds.
RESTART_S = 6.0
# To another region and back, before it is measured.
FIRST_AWAY_S = 0.16
# When this host last looked around, and what it saw.
NEVER_LOOKED = (float("-inf"), PlacementContext("", {}, {}))


@dataclass(slots=True)
class GatewayNode:
    """State of one process; nothing of it outlives the process."""

    settings: GatewaySettings
    random: random.Random = field(default_factory=random.Random)
    events: EventLog = field(default_factory=EventLog)
    metrics: Metrics = field(default_factory=Metrics)
    pool: Pool = field(default_factory=Pool)
    catalog: Catalog = field(default_factory=Catalog)
    book: TargetRegistry = field(default_factory=TargetRegistry)
    configured: trio.Event = field(default_factory=trio.Event)
    learned: trio.Event = field(default_factory=trio.Event)
    started_at: float = field(default_factory=trio.current_time)
    retries: RetryWindow = field(init=False)
    peers: Peers = field(init=False)
    keeping: Keeping = field(init=False)
    store: StoreFollower = field(init=False)
    suspects: Suspects = field(default_factory=Suspects)
    silence: SilenceWatch = field(default_factory=SilenceWatch)
    _around: tuple[float, PlacementContext] = NEVER_LOOKED
    away_s: dict[str, float] = field(default_factory=dict)
    _closed: dict[tuple[str, str], float] = field(default_factory=dict)
    avoided: dict[str, float] = field(default_factory=dict)
    _numbers: count[int] = field(default_factory=lambda: count(1))
    leaving: bool = False
    left_at: float = float("inf")
    ends_at: float = float("inf")
    serving: int = 0
    requests: int = 0

    def __post_init__(self) -> None:
        bounds = self.settings.bounds
        self.retries = RetryWindow(
            bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
        )
        self.peers = Peers(self)
        self.keeping = Keeping(self)
        self.store = StoreFollower(self)
        self.book.unsynchronized_until = self.now() + BLIND_S

    @property
    def ready(self) -> bool:
        """Whether callers may come: a configuration is known, no end in sight."""
        return self.catalog.routes is not None and not self.leaving

    def left_s(self) -> float:
        """Return how long this host goes on, if it leaves; 0 if it doesn't."""
        left_s = self.ends_at - self.now() if self.leaving else 0.0
        return min(MOST_LEFT_S, max(0.0, left_s))

    def find_hold_s(self, left_s: float) -> float:
        """Return how long a request may be held until this host knows more."""
        return find_hold_s(self.now() - self.started_at, left_s)

    def note_learned(self) -> None:
        """Let requests that were held look at the targets anew."""
        self.forget_surroundings()
        self.learned.set()
        self.learned = trio.Event()

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return trio.current_time()

    def next_number(self) -> int:
        """Return a number that tells two requests of this process apart."""
        return next(self._numbers)

    async def place(
        self, exchange: Exchange, around: PlacementContext
    ) -> Placement | Absent:
        """Ask the keepers of some targets; choose one, or say why there is none."""
        wanted = self._describe(exchange)
        tried = exchange.tried
        targets = pick_targets_to_query(
            self.book, wanted, around, self.now(), self.random, tried
        )
        quotes: dict[str, TargetLoadReport] = {}
        for known in (targets[:1], targets):
            unknown = [t for t in known if t.entry.id not in quotes]
            quotes |= await self.keeping.ask(unknown, wanted.prompt)
            wanted = self._describe(exchange)
            asked = QueriedTargets(known, quotes)
            placed = choose_target(
                self.book, wanted, around, self.now(), self.random, tried, asked
            )
            if is_conclusive(placed, asked):
                break
        if self.leaving and isinstance(placed, Placement):
            leaving_s = self.now() - self.left_at
            return admit_while_draining(wanted, placed, self.left_s(), leaving_s)
        return placed

    def _describe(self, exchange: Exchange) -> PlacementRequest:
        now = self.now()
        return PlacementRequest(
            exchange.route,
            exchange.service,
            exchange.facts.prompt,
            now - exchange.received_at,
            exchange.deadline - now,
            exchange.committed or exchange.tries.sends > 0,
        )

    def count_hosts(self) -> int:
        """Return the number of hosts of the fleet, those gone lately included."""
        return self.peers.view.count_known_hosts()

    def count_idle(self, target: TargetState) -> int:
        """Return how many idle connections this host keeps to a target."""
        entry, service = target.entry, target.service
        most = service.max_connections if service else 0
        return compute_idle_limit(most, entry.slots, self.peers.count_near())

    def surroundings(self) -> PlacementContext:
        """Return where this host stands, for the choice of a target."""
        now = self.now()
        held_at, around = self._around
        if now - held_at < SURROUNDINGS_S:
            return around
        own = self.settings.region
        away = {}
        view = self.peers.view
        serving = {row.region for row in view.ready_hosts(now)} - {own}
        leaving = {row.region for row in view.draining_hosts(now)} - {own} - serving
        for region in serving | leaving:
            away[region] = self.away_s.get(region, FIRST_AWAY_S)
        self._closed = {key: at for key, at in self._closed.items() if now < at}
        closed = frozenset(self._closed)
        around = PlacementContext(
            own, away, self.share_cold_targets(), closed, frozenset(leaving)
        )
        self._around = now, around
        return around

    def hosts_for(self, name: str, region: str) -> list[str]:
        """
        Return the addresses at which a caller of a region may connect.

        Hosts of its region go before those of regions where the host name's
        routes are at home, and these before others. Requests that are at home where
        no host serves for a moment aren't sent elsewhere. This host is named where
        no other is known to serve.
        """
        rows = self.peers.view.ready_hosts(self.now())
        if self.ready:
            rows.append(self.peers.view.local_row)
        near = [row for row in rows if row.region == region]
        if not near and self.catalog.routes is not None:
            homes = self.catalog.routes.home_regions(name)
            near = [row for row in rows if row.region in homes]
            near = near or self._find_home_hosts(homes)
        port = self.settings.callers.port
        ips = [row.ip for row in near or rows] or [self.settings.ip]
        if len(ips) > MOST_NAMED:
            ips = self.random.sample(ips, MOST_NAMED)
        return [f"{ip}:{port}" for ip in ips]

    def _find_home_hosts(self, homes: frozenset[str]) -> list[HostRow]:
        """Return the hosts of some regions that leave, or are gone for a moment."""
        now = self.now()
        view = self.peers.view
        leaving = [row for region in homes for row in view.draining_hosts(now, region)]
        if self.leaving and view.local_row.region in homes:
            leaving.append(view.local_row)
        gone = [
            row
            for region in homes
            for row in view.known_hosts(region)
            if now - view.last_heartbeat_at(row.id) < RESTART_S
        ]
        return leaving or gone

    def directory_ttl_s(self) -> float:
        """Return how long a caller may keep the directory's answer."""
        return min(DIRECTORY_TTL_S, self.settings.bounds.directory_ttl_s)

    def forget_surroundings(self) -> None:
        """Look around anew at the next choice: a target may have turned cold."""
        self._around = NEVER_LOOKED

    def note_closed(self, service: str, region: str) -> None:
        """Note that no target of a region is open for a service."""
        known = self._closed.get((service, region), 0.0) > self.now()
        self._closed[service, region] = self.now() + CLOSED_S
        if not known:
            record_event(
                "region-closed", subject=region, detail=service, for_s=CLOSED_S
            )
        self.forget_surroundings()

    def share_cold_targets(self) -> dict[str, int]:
        """Return for each cold target that this host shares how many do."""
        now = self.now()
        cold = [t for t in self.book.targets.values() if t.cold.is_cold(now)]
        if not cold:
            return {}
        # Each of them has one request at hand, so that together they may send
        # as many at once.
        allowance = int(self.settings.bounds.cold_allowance)
        most = max(1, min(MAX_COLD_SENDERS, allowance))
        view = self.peers.view
        hosts = [row.id for row in view.live_hosts(now, self.settings.region)]
        hosts.append(self.settings.host)
        shares: dict[str, int] = {}
        for target in cold:
            senders = rank(target.entry.id, hosts)[:most]
            if self.settings.host in senders:
                shares[target.entry.id] = len(senders)
        return shares
