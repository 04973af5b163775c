"""State shared by the tasks of one gateway process, which all run in one loop."""

from __future__ import annotations

import random
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from itertools import count
from typing import TYPE_CHECKING

import trio

from ..adapters.events import EventLog, record_event
from ..adapters.http1.pool import Pool
from ..adapters.loop_delay import LoopDelay
from ..adapters.metrics import Metrics
from ..adapters.request_scopes import RequestScopes
from ..core.catalog.catalog import Catalog
from ..core.limits.buffers import BufferBudget
from ..core.placement.choice import choose_target, is_conclusive, pick_targets_to_query
from ..core.placement.connections import compute_idle_limit
from ..core.placement.draining import (
    admit_while_draining,
    estimate_end_s,
    find_longest_wait_s,
    needs_whole_answer,
)
from ..core.placement.model import (
    Placement,
    PlacementContext,
    PlacementRequest,
    QueriedTargets,
)
from ..core.placement.refusals import MIN_RETRY_AFTER_S
from ..core.placement.registry import TargetRegistry
from ..core.reasons import Absent, Reason
from ..core.retries.window import RetryWindow
from ..core.serving.startup import find_hold_s
from ..core.teams.fairness import TeamFairness
from ..core.teams.use import TeamUse
from .cold_checks import ColdChecks
from .containment import Containment
from .coordination import REPORT_INTERVAL_S, TargetCoordination
from .discovery import StoreFollower
from .grants import Grants
from .inactivity import InactivityMonitor
from .links import TargetLinks
from .peers import Peers
from .permits import RatePermits
from .stream_versions import StreamVersions
from .team_limits import TeamLimits
from .view_proofs import ViewProofs

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..adapters.http1.downstream import CallerConnection
    from ..core.fleet.view import HostRow
    from ..core.placement.load_reports import TargetLoadReport
    from ..core.placement.registry import TargetState
    from .exchange import Exchange
    from .settings import GatewaySettings

# Largest number of targets at their limits that one request asks for a permit.
MAX_PERMIT_QUERIES = 8
# Why a request is refused after so many queries.
AT_LIMITS = f"{MAX_PERMIT_QUERIES} targets are at their limits"
NO_ROOM = f"{MAX_PERMIT_QUERIES} targets are brittle and full, or at their limits"
# Time for which callers may cache an answer of the directory. Some use it for three
# times as long; a host that shuts down goes on serving for DRAIN_NOTICE_S because of that.
DIRECTORY_TTL_S = 1.0
# Largest number of hosts in one answer of the directory.
MAX_RESOLVED_HOSTS = 64
# Time for which the placement context is reused. It depends on the live hosts and the
# cold targets, which change with heartbeats and store reads.
CONTEXT_TTL_S = 0.1
# Time for which no request is relayed to a region that had no open target for the
# service. A cold target that is shared by three hosts can take a request about as
# often as this.
REGION_CLOSED_S = 0.5
# Time after the start until all peers have reported their in-flight requests again.
SYNCHRONIZATION_S = REPORT_INTERVAL_S + 0.3
# Longest remaining time that a host announces while it shuts down.
MAX_REMAINING_S = 60.0
# Time within which an unreachable host may be back after a restart.
HOST_RESTART_S = 6.0
# Assumed round-trip time to another region until one has been measured.
DEFAULT_REGION_RTT_S = 0.16
# The same to another host of the region.
DEFAULT_PEER_RTT_S = 0.005
# Share of the process's memory for the bodies of requests and answers that it holds; it
# keeps up to three copies of one while that is read and sent.
BUFFER_SHARE = 0.15
# The time at which the placement context was built, and the context; there is none yet.
NO_CONTEXT = (float("-inf"), PlacementContext("", {}, {}))


@dataclass(slots=True)
class GatewayNode:
    """
    State of one process; none of it is persisted.

    ``configured`` is set once a configuration is known; ``catalog_changed`` is set and
    replaced at each change of the catalog. ``region_rtt_s`` holds the measured
    round-trip times by region, ``avoided_until`` the hosts that could not be reached.
    """

    settings: GatewaySettings
    random: random.Random = field(default_factory=random.Random)
    events: EventLog = field(default_factory=EventLog)
    metrics: Metrics = field(default_factory=Metrics)
    loop_delay: LoopDelay = field(default_factory=LoopDelay)
    pool: Pool = field(default_factory=Pool)
    buffers: BufferBudget = field(init=False)
    catalog: Catalog = field(default_factory=Catalog)
    registry: TargetRegistry = field(default_factory=TargetRegistry)
    configured: trio.Event = field(default_factory=trio.Event)
    catalog_changed: trio.Event = field(default_factory=trio.Event)
    started_at: float = field(default_factory=trio.current_time)
    retries: RetryWindow = field(init=False)
    peers: Peers = field(init=False)
    coordination: TargetCoordination = field(init=False)
    permits: RatePermits = field(init=False)
    team_limits: TeamLimits = field(init=False)
    grants: Grants = field(init=False)
    fairness: TeamFairness = field(default_factory=TeamFairness)
    team_use: TeamUse = field(default_factory=TeamUse)
    containment: Containment = field(init=False)
    versions: StreamVersions = field(init=False)
    links: TargetLinks = field(init=False)
    cold_checks: ColdChecks = field(init=False)
    view_proofs: ViewProofs = field(init=False)
    store: StoreFollower = field(init=False)
    inactivity: InactivityMonitor = field(default_factory=InactivityMonitor)
    _context: tuple[float, PlacementContext] = NO_CONTEXT
    region_rtt_s: dict[str, float] = field(default_factory=dict)
    _closed_until: dict[tuple[str, str], float] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)
    _request_numbers: count[int] = field(default_factory=lambda: count(1))
    listeners: list[trio.SocketListener] = field(default_factory=list)
    open_connections: set[CallerConnection] = field(default_factory=set)
    shutting_down: bool = False
    # The earliest time at which the first signal to end may have come.
    end_signal_at: float = float("inf")
    shutdown_started_at: float = float("inf")
    # When requests without an answer are failed, and when answers are cut off.
    shutdown_deadline: float = float("inf")
    cutoff_deadline: float = float("inf")
    scopes: RequestScopes = field(default_factory=RequestScopes)
    active_requests: int = 0
    total_requests: int = 0

    def __post_init__(self) -> None:
        bounds = self.settings.bounds
        self.buffers = BufferBudget(int(BUFFER_SHARE * self.settings.memory_bytes))
        self.retries = RetryWindow(
            bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
        )
        self.peers = Peers(self)
        self.coordination = TargetCoordination(self)
        self.permits = RatePermits(self)
        self.team_limits = TeamLimits(
            self.settings,
            self.now,
            self.next_number,
            self.catalog.find_team,
            self.peers.send_to_any,
            self.metrics,
        )
        self.grants = Grants(self)
        self.containment = Containment(self)
        self.versions = StreamVersions(self)
        self.links = TargetLinks(self)
        self.cold_checks = ColdChecks(self)
        self.store = StoreFollower(self)
        self.view_proofs = ViewProofs(self.catalog, self.peers, self.random, bounds)
        self.registry.unsynchronized_until = self.now() + SYNCHRONIZATION_S

    @property
    def ready(self) -> bool:
        """Whether this host accepts callers: configured and not shutting down."""
        return self.catalog.routes is not None and not self.shutting_down

    @property
    def serving(self) -> bool:
        """Whether callers and hosts should choose this host: ready, and not cut off."""
        return self.ready and self.links.is_serving(self.now())

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request that is served in the block."""
        self.total_requests += 1
        self.active_requests += 1
        try:
            yield
        finally:
            self.active_requests -= 1

    def find_delivery_s(self) -> float:
        """Return how long answers can still be sent, in seconds; no end is infinite."""
        return max(0.0, self.cutoff_deadline - self.now())

    def remaining_s(self) -> float:
        """Return how long this host keeps running; 0 unless it is shutting down."""
        remaining_s = self.shutdown_deadline - self.now() if self.shutting_down else 0.0
        return min(MAX_REMAINING_S, max(0.0, remaining_s))

    def find_draining_s(self) -> float | None:
        """
        Return for how long this host has been shutting down, None if it isn't.

        Counts from the earliest time at which the signal may have come.
        """
        if not self.shutting_down:
            return None
        return round(self.now() - self.shutdown_started_at, 3)

    def find_hold_s(self, remaining_s: float) -> float:
        """Return how long a request may wait for the catalog, in seconds."""
        return find_hold_s(self.now() - self.started_at, remaining_s)

    def wake_held_requests(self) -> None:
        """Have the requests that wait for the catalog check the targets again."""
        self.invalidate_context()
        self.catalog_changed.set()
        self.catalog_changed = trio.Event()

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return trio.current_time()

    def next_number(self) -> int:
        """Return a number that is unique among the requests of this process."""
        return next(self._request_numbers)

    async def place(
        self, exchange: Exchange, context: PlacementContext
    ) -> Placement | Absent:
        """
        Choose a target, and take room there if it is brittle, and a permit if it limits
        its request rate.

        Returns the reason if no target can be chosen.
        """
        for _ in range(MAX_PERMIT_QUERIES):
            placed = await self._choose(exchange, context)
            if isinstance(placed, Absent):
                absent = placed
                tried = exchange.previous_attempts.targets
                if placed.reason is Reason.TARGETS_BUSY and self.grants.has_unasked(
                    exchange.service, tried
                ):
                    continue
                break
            if placed.is_remote:
                return placed
            target = placed.target
            wait_s = await self.grants.acquire(target)
            if wait_s > 0.0:
                absent = Absent(Reason.TARGETS_BUSY, MIN_RETRY_AFTER_S, NO_ROOM)
                record_event(
                    "room-denied",
                    request=exchange.request_head.id,
                    target=target.entry.id,
                    in_flight=target.count_in_flight(self.now()),
                    wait_s=round(wait_s, 3),
                )
                continue
            wait_s = await self.permits.acquire(target)
            if wait_s <= 0.0:
                return placed
            record_event(
                "limit-reached",
                request=exchange.request_head.id,
                target=target.entry.id,
                rate_limit=target.availability.rate_limit.rate,
                wait_s=round(wait_s, 3),
            )
            retry_s = max(MIN_RETRY_AFTER_S, wait_s)
            absent = Absent(Reason.RATE_LIMITED, retry_s, AT_LIMITS)
        return absent

    async def _choose(
        self, exchange: Exchange, context: PlacementContext
    ) -> Placement | Absent:
        """Query the coordinators of some targets and choose a target."""
        request = self._build_placement_request(exchange)
        previous = exchange.previous_attempts
        targets = pick_targets_to_query(
            self.registry, request, context, self.now(), self.random, previous
        )
        reports: dict[str, TargetLoadReport] = {}
        for targets_to_query in (targets[:1], targets):
            unqueried = [t for t in targets_to_query if t.entry.id not in reports]
            reports |= await self.coordination.query(unqueried, request.prompt)
            self.grants.apply_loads(unqueried, reports)
            request = self._build_placement_request(exchange)
            queried = QueriedTargets(targets_to_query, reports)
            placed = choose_target(
                self.registry,
                request,
                context,
                self.now(),
                self.random,
                previous,
                queried,
            )
            if is_conclusive(placed, queried):
                break
        if self.shutting_down and isinstance(placed, Placement):
            return self._admit_while_draining(exchange, request, placed)
        return placed

    def _admit_while_draining(
        self, exchange: Exchange, request: PlacementRequest, placed: Placement
    ) -> Placement | Absent:
        now = self.now()
        left_s = self.remaining_s()
        draining_s = now - self.shutdown_started_at
        waited_s = find_longest_wait_s(placed.target, now)
        # The host that relays a request has chosen this one for want of others.
        others_serve = not exchange.relayed and bool(self._list_peers())
        admitted = admit_while_draining(
            request, placed, left_s, draining_s, waited_s, others_serve
        )
        if isinstance(admitted, Placement):
            is_first = not exchange.attempts.started
            must_be_whole = needs_whole_answer(
                request,
                left_s,
                draining_s,
                exchange.relayed,
                self._others_may_resume(exchange),
            )
            if is_first and must_be_whole:
                exchange.withhold_answer(self.buffers)
            record_event(
                "admitted-while-draining",
                request=exchange.request_head.id,
                target=placed.target.entry.id,
                ends_s=round(estimate_end_s(request.prompt, placed), 3),
                longest_wait_s=round(waited_s, 3),
                left_s=round(left_s, 3),
                draining_s=round(draining_s, 3),
                withheld=exchange.withheld is not None,
            )
        return admitted

    def _others_may_resume(self, exchange: Exchange) -> bool:
        """Whether another host is ready in a region that may serve a request."""
        homes = exchange.route.home_regions
        return any(
            (not homes or row.region in homes)
            and self.registry.list_region_targets(exchange.service, row.region)
            for row in self.peers.view.ready_hosts(self.now())
        )

    def _build_placement_request(self, exchange: Exchange) -> PlacementRequest:
        now = self.now()
        return PlacementRequest(
            exchange.route,
            exchange.service,
            exchange.request_head.prompt,
            exchange.find_placing_wait_s(now),
            exchange.deadline - now,
            exchange.committed or exchange.attempts.started > 0,
            self.versions.find_bound_version(exchange),
            exchange.held_back is not None,
            exchange.cutter.last_id is not None,
        )

    def count_hosts(self) -> int:
        """Return the number of hosts of the fleet, recently lost ones included."""
        return self.peers.view.count_known_hosts()

    def count_idle(self, target: TargetState) -> int:
        """Return how many idle connections this host may keep to a target."""
        entry, service = target.entry, target.service
        limit = service.max_connections if service else 0
        return compute_idle_limit(limit, entry.slots, self.peers.count_local_hosts())

    def build_context(self) -> PlacementContext:
        """Return the context for choosing a target: reachable regions, cold targets."""
        now = self.now()
        built_at, context = self._context
        if now - built_at < CONTEXT_TTL_S:
            return context
        local_region = self.settings.region
        rtt_s = {}
        view = self.peers.view
        serving_regions = {row.region for row in view.ready_hosts(now)} - {local_region}
        draining_regions = (
            {row.region for row in view.draining_hosts(now)}
            - {local_region}
            - serving_regions
        )
        for region in serving_regions | draining_regions:
            rtt_s[region] = self.region_rtt_s.get(region, DEFAULT_REGION_RTT_S)
        self._closed_until = {
            key: at for key, at in self._closed_until.items() if now < at
        }
        closed = frozenset(self._closed_until)
        unreachable = self.links.reachability.list_unreachable()
        peer_rtt_s = None
        if unreachable and not self._list_peers():
            # Nobody else reaches those that may only be silent.
            unreachable -= self.links.reachability.list_silent(now)
        elif unreachable:
            peer_rtt_s = self.region_rtt_s.get(local_region, DEFAULT_PEER_RTT_S)
        context = PlacementContext(
            local_region,
            rtt_s,
            self.cold_checks.count_senders(),
            closed,
            frozenset(draining_regions),
            unreachable,
            peer_rtt_s,
        )
        self._context = now, context
        return context

    def build_request_context(self, exchange: Exchange) -> PlacementContext:
        """Return the context for a request, without peers if it was sent to all."""
        context = self.build_context()
        if context.peer_rtt_s is None or not exchange.tried_hosts:
            return context
        if any(row.id not in exchange.tried_hosts for row in self._list_peers()):
            return context
        return replace(context, peer_rtt_s=None)

    def _list_peers(self) -> list[HostRow]:
        """Return the hosts of the region that requests can be relayed to."""
        now = self.now()
        rows = self.peers.view.ready_hosts(now, self.settings.region)
        return [row for row in rows if self.avoided_until.get(row.id, 0.0) <= now]

    def resolve_hosts(self, name: str, region: str) -> list[str]:
        """
        Return the addresses to which a caller of a region may connect.

        Hosts of the caller's region are preferred, then hosts of the home regions of
        the host name's routes, then all others. If the home regions have no serving
        host for a moment, their draining or restarting hosts are returned, since
        requests may not be served in other regions. If no serving host is known, the
        answer is this host.
        """
        rows = self.peers.view.ready_hosts(self.now())
        if self.serving:
            rows.append(self.peers.view.local_row)
        preferred = [row for row in rows if row.region == region]
        if not preferred and self.catalog.routes is not None:
            homes = self.catalog.routes.home_regions(name)
            preferred = [row for row in rows if row.region in homes]
            preferred = preferred or self._find_home_hosts(homes)
        port = self.settings.callers.port
        ips = [row.ip for row in preferred or rows] or [self.settings.ip]
        if len(ips) > MAX_RESOLVED_HOSTS:
            ips = self.random.sample(ips, MAX_RESOLVED_HOSTS)
        return [f"{ip}:{port}" for ip in ips]

    def _find_home_hosts(self, homes: frozenset[str]) -> list[HostRow]:
        """Return the draining hosts of some regions, or else those just lost."""
        now = self.now()
        view = self.peers.view
        draining = [row for region in homes for row in view.draining_hosts(now, region)]
        if self.shutting_down and view.local_row.region in homes:
            draining.append(view.local_row)
        restarting = [
            row
            for region in homes
            for row in view.known_hosts(region)
            if now - view.last_heartbeat_at(row.id) < HOST_RESTART_S
        ]
        return draining or restarting

    def directory_ttl_s(self) -> float:
        """Return how long a caller may cache the directory's answer, in seconds."""
        return min(DIRECTORY_TTL_S, self.settings.bounds.directory_ttl_s)

    def invalidate_context(self) -> None:
        """Rebuild the context at the next placement: a target may have become cold."""
        self._context = NO_CONTEXT

    def record_region_closed(self, service: str, region: str) -> None:
        """Record that no target of a region is open for a service."""
        already_closed = self._closed_until.get((service, region), 0.0) > self.now()
        self._closed_until[service, region] = self.now() + REGION_CLOSED_S
        if not already_closed:
            record_event(
                "region-closed", subject=region, detail=service, for_s=REGION_CLOSED_S
            )
        self.invalidate_context()
