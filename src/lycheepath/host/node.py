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
from ..adapters.targets.engine import EngineClient
from ..adapters.targets.service import ServiceClient
from ..core.clients import EMPTY_DIRECTORY, Directory
from ..core.limits.admission import Limiter
from ..core.retries.budget import HostBudget
from ..core.routing.router import Router
from .explanations import Explanations

if TYPE_CHECKING:
    from ..core.environment.model import Environment, Host, Target
    from .settings import Settings

INCARNATION_BITS = 63


def draw_incarnation() -> int:
    """Return a number for this start; a later start draws a higher one."""
    return time.time_ns() & ((1 << INCARNATION_BITS) - 1)


@dataclass(slots=True)
class Node:
    """
    One host process.

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
    explanations: Explanations = field(default_factory=Explanations)
    retry_budget: HostBudget = field(default_factory=HostBudget)
    router: Router = field(init=False)
    limiter: Limiter = field(init=False)

    def __post_init__(self) -> None:
        self.router = Router(self.settings.host, self.settings.region, self.random)
        self.limiter = Limiter(self.settings.host)

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return trio.current_time()

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
