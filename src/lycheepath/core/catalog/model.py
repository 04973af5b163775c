"""
The configuration and the announced targets as plain values.

The load and health of targets are tracked elsewhere. Times are in seconds. Hosts send
these records to each other with their field names (``adapters/catalog_copies``), so
renaming a field changes the format of those messages.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .teams import Team


class RouteKind(Enum):
    """
    How often a request of a route may run.

    A ``SAFE`` request may run any number of times, an ``UNSAFE`` one at most once. A
    ``STREAM`` runs once unless its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """
    The services and rules for requests of one host name and path prefix.

    ``timeout_s`` limits how long a request may take. ``aim_s`` is the latency
    objective: the time until the answer, or until the first event of a stream.
    ``gap_aim_s`` is the objective for the longest gap between events. ``urgency`` is
    the priority; 0 is the highest. ``max_attempts`` limits the targets at which a
    request may run. Requests are bound to ``home_regions`` unless it is empty. A route
    that is ``open_to_all`` takes requests without a key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    timeout_s: float
    aim_s: float
    gap_aim_s: float
    urgency: int
    max_attempts: int
    resumable: bool
    home_regions: frozenset[str]
    open_to_all: bool = False

    @property
    def service_names(self) -> frozenset[str]:
        """The services that get requests of the route."""
        return frozenset(share.service for share in self.services)

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may run again."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineFacts:
    """
    The capacity of a service's model engines.

    ``slots`` is the number of concurrent requests, ``kv_tokens`` that of cached
    tokens. An event of a stream has ``event_tokens``. Fetching a cached token from
    another engine takes ``fetch_token_s`` (0: not supported).
    """

    slots: int
    kv_tokens: int
    event_tokens: int = 1
    fetch_token_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """
    A service and the limits of each of its targets.

    ``max_connections`` limits the connections of all hosts together to one target. A
    cold target can take ``cold_per_s`` requests per second (0: no limit), and is cold
    for ``cold_start_s`` after its start. ``health_path`` is that of its health checks
    (empty: it has none).
    """

    name: str
    max_connections: int
    cold_per_s: float
    engine: EngineFacts | None
    cold_start_s: float = 0.0
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests and on idle time."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """
    One complete version of the operator's configuration.

    ``teams`` is None if it doesn't know teams; requests carry no keys then.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    teams: tuple[Team, ...] | None = None


class Instance(NamedTuple):
    """One run of a target: its id, and its start time in Unix ms (0: unknown)."""

    target: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """
    The announcement of a target.

    ``born_ms`` is the start time, which distinguishes instances with the same id (0:
    not announced). ``sequence`` increases with each announcement of an instance.
    ``version`` is that of its software, empty if the host that passed the entry on doesn't
    know it. ``leaves_in_s`` is the time until a target that is reclaimed at short notice is
    gone. ``restarted_at`` isn't announced: it is the store's revision at which a host
    saw the target restart under its id (0: never).
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
    sequence: int
    born_ms: int
    leaves_in_s: float | None = None
    version: str = ""
    restarted_at: int = field(default=0, compare=False)

    @property
    def instance(self) -> Instance:
        """The run of the target that announced this entry."""
        return Instance(self.id, self.born_ms)
