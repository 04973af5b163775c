"""
The state of one host process, shared by its handlers and tasks.

Everything runs in one loop on one thread, so nothing here is locked. No part
of it outlives the process.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..adapters.audit import AuditRecord, AuditTrail
from ..adapters.metrics import Metrics
from ..adapters.peer_requests import PeerRequests
from ..adapters.targets.engine import EngineClient
from ..adapters.targets.service import ServiceClient
from ..core.actions.handover import HandoverShelf
from ..core.actions.ledger import ActionLedger, LedgerLimits
from ..core.actions.tickets import Owner
from ..core.actions.vouching import Vouching
from ..core.clients import EMPTY_DIRECTORY, Directory
from ..core.limits.admission import Limiter
from ..core.retries.budget import HostBudget
from ..core.routing.router import Router
from ..core.routing.services import ServiceBook
from .explanations import Explanations

if TYPE_CHECKING:
    from ..core.environment.model import Environment, Host, Target
    from ..core.hosts.selection import MemberState
    from .owners import OwnerClock
    from .settings import Settings

INCARNATION_BITS = 63
PAUSE_S = 1.0


def draw_incarnation() -> int:
    """Return a number for this start; a later start draws a higher one."""
    return time.time_ns() & ((1 << INCARNATION_BITS) - 1)


@dataclass(slots=True)
class Node:
    """
    One host process, made inside the running loop.

    ``environment`` is None until a configuration is in force. ``in_flight``
    counts callers' requests that this host has accepted and not yet ended.
    """

    settings: Settings
    incarnation: int = field(default_factory=draw_incarnation)
    metrics: Metrics = field(default_factory=Metrics)
    audit: AuditTrail = field(default_factory=AuditTrail)
    random: random.Random = field(default_factory=random.Random)
    engines: EngineClient = field(default_factory=EngineClient)
    services: ServiceClient = field(default_factory=ServiceClient)
    environment: Environment | None = None
    directory: Directory = EMPTY_DIRECTORY
    draining: bool = False
    in_flight: int = 0
    zone_regions: dict[str, str] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    owner_clocks: dict[str, OwnerClock] = field(default_factory=dict)
    listed_states: dict[str, MemberState] = field(default_factory=dict)
    explanations: Explanations = field(default_factory=Explanations)
    retry_budget: HostBudget = field(default_factory=HostBudget)
    ledger: ActionLedger = field(init=False)
    shelf: HandoverShelf = field(init=False)
    service_book: ServiceBook = field(default_factory=ServiceBook)
    owner: Owner = field(init=False)
    peers: PeerRequests = field(init=False)
    vouching: Vouching = field(init=False)
    _last_reading: float = field(default_factory=trio.current_time)
    router: Router = field(init=False)
    limiter: Limiter = field(init=False)

    def __post_init__(self) -> None:
        self.router = Router(self.settings.host, self.settings.region, self.random)
        self.limiter = Limiter(self.settings.host)
        settings = self.settings
        incarnation = str(self.incarnation)
        self.owner = Owner(settings.host, incarnation, settings.listen_callers)
        self.peers = PeerRequests(settings.host, settings.peer_keys)
        times = settings.actions
        self.ledger = ActionLedger(LedgerLimits(freshness_s=times.freshness_s))
        self.shelf = HandoverShelf(times.hold_s)
        self.vouching = Vouching(
            settings.host, incarnation, self.now(), times.freshness_s, times.hold_s
        )

    def now(self) -> float:
        """
        Return the loop's monotonic time in seconds.

        Every reading looks for a pause of the process, so that whoever acts
        on the time acts after the pause was noted.
        """
        current = trio.current_time()
        gap_s = current - self._last_reading
        self._last_reading = current
        if gap_s > PAUSE_S:
            self._note_pause(gap_s)
        return current

    def member_states(self) -> dict[str, MemberState]:
        """Return what is known of other hosts' processes, by host id."""
        return dict(self.listed_states)

    def _note_pause(self, gap_s: float) -> None:
        self.metrics.count("pauses_total")
        self.ledger.note_pause(gap_s)
        self.owner_clocks.clear()
        self.record("pause", "clock", "", f"{gap_s:.3f} s")

    @property
    def ready(self) -> bool:
        """Whether this host can serve: it has a configuration and isn't leaving."""
        return self.environment is not None and not self.draining

    def adopt_environment(self, environment: Environment) -> None:
        """Put a configuration in force."""
        current = self.environment
        if current is not None and environment.revision < current.revision:
            message = f"revision fell from {current.revision} to {environment.revision}"
            raise AssertionError(message)
        self.environment = environment
        self.zone_regions = {zone.id: zone.region for zone in environment.zones}
        self.targets = {target.id: target for target in environment.targets}
        self.router.apply(environment)
        self.vouching.apply_revision(environment, self.settings.region, self.now())
        self._apply_limits()

    def adopt_directory(self, directory: Directory) -> None:
        """Put a directory of clients in force."""
        self.directory = directory
        self._apply_limits()

    def _apply_limits(self) -> None:
        if self.environment is not None:
            self.limiter.apply(self.environment, self.directory.team_regions())

    def record(self, kind: str, source: str, before: str, after: str) -> None:
        """Add a record to the audit trail."""
        self.audit.add(
            AuditRecord(time.time(), self.settings.host, kind, source, before, after)
        )

    def region_of(self, placed: Host | Target) -> str:
        """Return the region of a host or target; empty if its zone is unknown."""
        return self.zone_regions.get(placed.zone, "")
