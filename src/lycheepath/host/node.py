"""
The state of one host process, shared by its handlers and tasks.

All of it runs in one event loop on one thread, so no locks are needed. No state
is kept beyond the life of the process.
"""

from __future__ import annotations

import random
import time
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import trio

from ..adapters.audit import AuditRecord, AuditTrail
from ..adapters.metrics import Metrics
from ..adapters.peer_requests import PeerRequests
from ..adapters.request_scopes import RequestScopes
from ..adapters.targets.engine import EngineClient
from ..adapters.targets.service import ServiceClient
from ..adapters.timers import TrioTimers
from ..adapters.transports import reach_all
from ..core.actions.attestation import Attestation
from ..core.actions.handover import HandoverStore
from ..core.actions.ledger import ActionLedger, LedgerLimits
from ..core.actions.tickets import Owner
from ..core.clients import EMPTY_DIRECTORY, Directory
from ..core.configuration.store import ConfigurationStore
from ..core.configuration.values import (
    ListedState,
    build_readers,
    environment_value_name,
)
from ..core.gossip.updates import hash_name
from ..core.hosts.selection import MemberState
from ..core.limits.admission import Limiter
from ..core.membership.polling import PollingPlan, plan_polling
from ..core.membership.rendezvous import computed_readers
from ..core.orders.planning import OrderIssuer
from ..core.quarantine.arbiter import Arbiter
from ..core.quarantine.containment import Containment
from ..core.retries.budget import HostBudget
from ..core.routing.router import Router
from ..core.routing.services import ServiceRegistry
from .explanations import Explanations
from .member_views import list_published_hosts, read_member_state, read_summary_states
from .queueing import TargetQueue

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..adapters.peers.socket import PeerRunner
    from ..adapters.transports import MayReach
    from ..core.configuration.values import HostList
    from ..core.environment.model import Environment, Host, Target
    from ..core.gossip.updates import GossipUpdate
    from ..core.gossip.values import ValueDigest
    from ..core.membership.model import PublishedHost
    from ..core.membership.node import Membership
    from ..core.orders.desired import ObservedState
    from ..ports.targets import Engines, Services
    from ..ports.timers import Pause
    from .owners import OwnerClock
    from .settings import Settings

INCARNATION_BITS = 63
STAMP_BITS = 16
EMPTY_POLLING_PLAN = PollingPlan((), (), ())


def draw_incarnation() -> int:
    """Return the incarnation number of this start; later starts get higher ones."""
    return time.time_ns() & ((1 << INCARNATION_BITS) - 1)


@dataclass(slots=True)
class Node:
    """
    One host process; construct it inside the running event loop.

    ``environment`` is None until a configuration is in force. ``in_flight``
    counts callers' requests that this host has accepted and not yet completed.
    """

    settings: Settings
    incarnation: int = field(default_factory=draw_incarnation)
    metrics: Metrics = field(default_factory=Metrics)
    audit: AuditTrail = field(default_factory=AuditTrail)
    random: random.Random = field(default_factory=random.Random)
    may_reach: MayReach = reach_all
    engines: Engines = field(init=False)
    services: Services = field(init=False)
    environment: Environment | None = None
    directory: Directory = EMPTY_DIRECTORY
    draining: bool = False
    in_flight: int = 0
    scopes: RequestScopes = field(default_factory=RequestScopes)
    zone_regions: dict[str, str] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    owner_clocks: dict[str, OwnerClock] = field(default_factory=dict)
    listed_host_states: dict[str, MemberState] = field(default_factory=dict)
    listed_draining_targets: frozenset[str] = frozenset()
    draining_targets: set[str] = field(default_factory=set)
    polling_plan: PollingPlan = EMPTY_POLLING_PLAN
    polling_plan_key: tuple[int, tuple[str, ...]] = (-1, ())
    target_by_hash: dict[int, str] = field(default_factory=dict)
    zone_hosts: tuple[PublishedHost, ...] = ()
    region_hosts: tuple[str, ...] = ()
    value_digests: dict[str, ValueDigest] = field(default_factory=dict)
    watched_revisions: dict[str, int] = field(default_factory=dict)
    fetches_in_progress: set[str] = field(default_factory=set)
    configuration_checked: bool = False
    nursery: trio.Nursery | None = None
    unreachable_regions: set[str] = field(default_factory=set)
    region_checked_at: dict[str, float] = field(default_factory=dict)
    usage_queried_at: dict[str, float] = field(default_factory=dict)
    superseded: trio.Event = field(default_factory=trio.Event)
    membership: Membership | None = None
    runner: PeerRunner | None = None
    configuration: ConfigurationStore = field(init=False)
    value_names: tuple[str, ...] = ()
    timers: TrioTimers = field(init=False)
    _stamp: int = 0
    explanations: Explanations = field(default_factory=Explanations)
    retry_budget: HostBudget = field(default_factory=HostBudget)
    containment: Containment = field(default_factory=Containment)
    arbiter: Arbiter = field(default_factory=Arbiter)
    host_addresses: dict[str, str] = field(default_factory=dict)
    queue: TargetQueue = field(init=False)
    observed_runners: dict[str, ObservedState] = field(default_factory=dict)
    orders: OrderIssuer = field(init=False)
    ledger: ActionLedger = field(init=False)
    handover_store: HandoverStore = field(init=False)
    service_registry: ServiceRegistry = field(default_factory=ServiceRegistry)
    owner: Owner = field(init=False)
    peers: PeerRequests = field(init=False)
    attestation: Attestation = field(init=False)
    router: Router = field(init=False)
    limiter: Limiter = field(init=False)

    def __post_init__(self) -> None:
        self.timers = TrioTimers(self.random)
        self.timers.on_pause(self._handle_pause)
        self.queue = TargetQueue(self.timers)
        self.register_metrics()
        self.router = Router(self.settings.host, self.settings.region, self.random)
        self.limiter = Limiter(self.settings.host)
        self.orders = OrderIssuer(self.settings.host, trio.current_time())
        settings = self.settings
        incarnation = str(self.incarnation)
        self.configuration = ConfigurationStore(
            build_readers(settings.platform.environment)
        )
        self.value_names = (
            environment_value_name(settings.platform.environment),
            "directory",
            "hosts",
        )
        self.owner = Owner(settings.host, incarnation, settings.listen_callers)
        self.peers = PeerRequests(settings.host, settings.peer_keys, self.may_reach)
        self.engines = EngineClient(self.may_reach)
        self.services = ServiceClient(self.may_reach)
        times = settings.actions
        self.ledger = ActionLedger(LedgerLimits(freshness_s=times.freshness_s))
        self.handover_store = HandoverStore(times.hold_s)
        self.attestation = Attestation(
            settings.host, incarnation, self.now(), times.freshness_s, times.hold_s
        )

    def now(self) -> float:
        """
        Return the loop's monotonic time in seconds.

        Each reading checks for a pause of the process, so that code that acts
        on the time runs after the pause was handled.
        """
        self.timers.check_pause()
        return trio.current_time()

    def member_states(self) -> dict[str, MemberState]:
        """
        Return the states of the hosts' processes by host id.

        States that peers report override the platform's list, which lags.
        """
        states = dict(self.listed_host_states)
        if self.membership is not None:
            for held in self.membership.regions():
                states.update(read_summary_states(held.summary))
            for member in self.membership.members():
                states[member.id] = read_member_state(member)
        if self.unreachable_regions and self.environment is not None:
            for host in self.environment.hosts:
                if self.region_of(host) in self.unreachable_regions:
                    states[host.id] = MemberState.DEAD
        if self.draining:
            states[self.settings.host] = MemberState.DRAINING
        return states

    def live_local_hosts(self) -> tuple[str, ...]:
        """Return the ids of the local region's hosts that are not dead or draining."""
        states = self.member_states()
        unavailable = (MemberState.DEAD, MemberState.DRAINING)
        return tuple(h for h in self.region_hosts if states.get(h) not in unavailable)

    def set_region_unreachable(self, region: str, unreachable: bool) -> None:
        """Record whether a remote region is unreachable."""
        if unreachable == (region in self.unreachable_regions):
            return
        if unreachable:
            self.unreachable_regions.add(region)
        else:
            self.unreachable_regions.discard(region)
        states = ("reachable", "lost") if unreachable else ("lost", "reachable")
        self.record_change(f"region {region}", "request", *states)
        self.limiter.update_members(self.member_states())

    def plan_polls(self) -> PollingPlan:
        """Return this host's share of the polling; recomputed only on changes."""
        environment = self.environment
        if environment is None:
            return EMPTY_POLLING_PLAN
        live = self.live_local_hosts()
        key = (environment.revision, live)
        if key != self.polling_plan_key:
            local_region = self.settings.region
            local_targets = [
                t.id for t in environment.targets if self.region_of(t) == local_region
            ]
            remote_targets = [
                t.id for t in environment.targets if self.region_of(t) != local_region
            ]
            hosts = self.region_hosts
            self.polling_plan = plan_polling(
                self.settings.host, hosts, live, local_targets, remote_targets
            )
            self.polling_plan_key = key
        return self.polling_plan

    def is_platform_reader(self) -> bool:
        """Return whether this host watches the platform for its zone."""
        live = frozenset(self.live_local_hosts())
        hosts = [host for host in self.zone_hosts if host.id in live]
        readers = computed_readers(hosts, self.settings.zone)
        return not readers or self.settings.host in readers

    def announce_value(self, value: ValueDigest) -> None:
        """Announce to peers which revision of a value this host has in force."""
        self.value_digests[value.name] = value
        if self.membership is not None and self.runner is not None:
            self.runner.act(self.membership.set_value(value, self.now()))

    def publish_update(
        self, update: GossipUpdate, recipients: tuple[str, ...] = ()
    ) -> None:
        """Send an update to ``recipients``, or by gossip if its kind is gossiped."""
        if self.membership is not None:
            self.membership.publish_update(update, self.now(), recipients)

    def spawn(self, function: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
        """Start a background task, cancelled when the process ends."""
        if self.nursery is not None:
            self.nursery.start_soon(function, *arguments)

    def next_stamp(self) -> int:
        """Return a sequence number that distinguishes two published updates."""
        self._stamp = (self._stamp + 1) % (1 << STAMP_BITS)
        return self._stamp

    def set_target_draining(self, target: str, draining: bool, source: str) -> None:
        """Record whether a target is draining; ``source`` names who reported it."""
        if draining == (target in self.draining_targets):
            return
        if draining:
            self.draining_targets.add(target)
        else:
            self.draining_targets.discard(target)
        self._apply_draining(target)
        states = ("serving", "leaving") if draining else ("leaving", "serving")
        self.record_change(f"target {target}", source, *states)

    def apply_host_list(self, listed: HostList) -> None:
        """Apply the platform's list of hosts and targets, which lags."""
        self.listed_host_states = {
            host.id: MemberState.DRAINING
            if host.state is ListedState.LEAVING
            else MemberState.LIVE
            for host in listed.hosts
        }
        previous = self.listed_draining_targets
        self.listed_draining_targets = frozenset(
            target.id
            for target in listed.targets
            if target.state is ListedState.LEAVING
        )
        for target in previous | self.listed_draining_targets:
            self._apply_draining(target)

    def remove_owner_clock(self, host: str) -> None:
        """Remove the clock reading of a host that may have a new process."""
        self.owner_clocks.pop(host, None)

    def is_target_draining(self, target: str) -> bool:
        """Return whether the target, a peer or the platform's list says it drains."""
        return target in self.draining_targets or target in self.listed_draining_targets

    def _apply_draining(self, target: str) -> None:
        draining = self.is_target_draining(target)
        self.router.registry.set_draining(target, draining)
        if draining:
            self.service_registry.draining.add(target)
        else:
            self.service_registry.draining.discard(target)

    def _handle_pause(self, pause: Pause) -> None:
        self.metrics.count("pauses_total")
        self.ledger.extend_for_pause(pause.seconds)
        self.owner_clocks.clear()
        self.record_change("pause", "clock", "", f"{pause.seconds:.3f} s")

    def register_metrics(self) -> None:
        """Register the counters and gauges of all parts with the metrics."""
        metrics = self.metrics
        metrics.watch_counters("loop", lambda: self.timers.counters)
        metrics.watch_counters("actions", lambda: asdict(self.ledger.counts))
        metrics.watch_counters("membership", self._read_membership_counters)
        metrics.watch_gauge("in_flight", lambda: self.in_flight)
        metrics.watch_gauge("queued", lambda: len(self.queue))
        metrics.watch_gauge("claims", lambda: len(self.ledger))
        metrics.watch_gauge("ready", lambda: self.ready)
        metrics.watch_gauge(
            "configuration_revision",
            lambda: -1 if self.environment is None else self.environment.revision,
        )

    def _read_membership_counters(self) -> dict[str, int]:
        if self.membership is None or self.runner is None:
            return {}
        return {**self.membership.counters(), **self.runner.counters}

    @property
    def ready(self) -> bool:
        """Whether this host can serve: it is configured, checked and not draining."""
        return self.configured and self.configuration_checked and not self.draining

    @property
    def configured(self) -> bool:
        """Whether an environment and a directory of clients are in force."""
        return self.environment is not None and bool(
            self.configuration.get("directory")
        )

    def apply_environment(self, environment: Environment) -> None:
        """Apply an environment document that has come into force."""
        current = self.environment
        if current is not None and environment.revision < current.revision:
            message = f"revision fell from {current.revision} to {environment.revision}"
            raise AssertionError(message)
        self.environment = environment
        self.zone_regions = {zone.id: zone.region for zone in environment.zones}
        self.targets = {target.id: target for target in environment.targets}
        self.target_by_hash = {hash_name(target): target for target in self.targets}
        self.host_addresses = {h.id: h.callers_address for h in environment.hosts}
        published = list_published_hosts(self, environment)
        self.zone_hosts = tuple(h for h in published if h.zone == self.settings.zone)
        self.region_hosts = tuple(
            host.id for host in published if host.region == self.settings.region
        )
        if self.membership is not None:
            self.membership.set_published_hosts(published)
        self.router.apply(environment)
        self.orders.apply(environment, self.now())
        self.attestation.apply_revision(environment, self.settings.region, self.now())
        self._apply_limits()

    def apply_directory(self, directory: Directory) -> None:
        """Apply a directory of clients that has come into force."""
        self.directory = directory
        self._apply_limits()

    def _apply_limits(self) -> None:
        if self.environment is not None:
            self.limiter.apply_environment(
                self.environment, self.directory.team_regions()
            )

    def record_change(self, kind: str, source: str, before: str, after: str) -> None:
        """Add a record to the audit trail."""
        self.audit.add(
            AuditRecord(time.time(), self.settings.host, kind, source, before, after)
        )

    def region_of(self, placed: Host | Target) -> str:
        """Return the region of a host or target; empty if its zone is unknown."""
        return self.zone_regions.get(placed.zone, "")
