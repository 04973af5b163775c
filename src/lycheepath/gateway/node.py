"""What the tasks of one gateway process share; all run in one loop."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..adapters.events import EventLog
from ..adapters.http1.pool import Pool
from ..adapters.metrics import Metrics
from ..core.catalog.catalog import Catalog
from ..core.placement.book import TargetBook
from ..core.placement.choice import Surroundings
from ..core.retries.window import RetryWindow

if TYPE_CHECKING:
    from .settings import GatewaySettings

# Callers ask again after this long; a host that leaves is known by then.
DIRECTORY_TTL_S = 1.5


@dataclass(slots=True)
class GatewayNode:
    """State of one process; nothing of it outlives the process."""

    settings: GatewaySettings
    random: random.Random = field(default_factory=random.Random)
    events: EventLog = field(default_factory=EventLog)
    metrics: Metrics = field(default_factory=Metrics)
    pool: Pool = field(default_factory=Pool)
    catalog: Catalog = field(default_factory=Catalog)
    book: TargetBook = field(default_factory=TargetBook)
    retries: RetryWindow = field(init=False)
    leaving: bool = False
    serving: int = 0

    def __post_init__(self) -> None:
        bounds = self.settings.bounds
        self.retries = RetryWindow(
            bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
        )

    @property
    def ready(self) -> bool:
        """Whether callers may come: a configuration is known, no end in sight."""
        return self.catalog.routes is not None and not self.leaving

    def now(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return trio.current_time()

    def count_hosts(self) -> int:
        """Return the number of hosts of the fleet, at least."""
        return 9

    def surroundings(self) -> Surroundings:
        """Return where this host stands, for the choice of a target."""
        return Surroundings(self.settings.region, {}, {})

    def hosts_for(self, region: str, zone: str) -> list[str]:
        """Return the addresses at which a caller of a zone may connect."""
        return [str(self.settings.callers)]

    def directory_ttl_s(self) -> float:
        """Return how long a caller may keep the directory's answer."""
        return min(DIRECTORY_TTL_S, self.settings.bounds.directory_ttl_s)
