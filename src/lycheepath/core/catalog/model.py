"""
The configuration in force and the targets that serve it, as plain values.

They say what is configured and announced; how busy or healthy a target is
lies elsewhere. Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class RouteKind(Enum):
    """
    What may be repeated.

    A ``SAFE`` request may run any number of times, an ``UNSAFE`` one once at
    most. A ``STREAM`` runs once unless its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that takes a part of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """
    Where requests of one host name and path prefix go.

    ``timeout_s`` is the longest that a request is kept, ``aim_s`` the time to
    an answer (streams: to the first event) that callers want, ``gap_aim_s``
    the longest pause between events. ``urgency`` is 0 for the most urgent.
    ``max_attempts`` bounds the targets that one request may be sent to. An
    empty ``home_regions`` binds to no region.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineFacts:
    """
    What a service's model engines hold: requests at once and cached tokens.

    An event of a stream holds ``event_tokens``. A cached token can be fetched
    from another engine in ``fetch_token_s`` (0: not at all).
    """

    slots: int
    kv_tokens: int
    event_tokens: int = 1
    fetch_token_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """
    A service and the bounds of each of its targets.

    ``max_connections`` counts all callers' connections to one target. A cold
    target bears ``cold_per_s`` requests a second (0: no bound).
    """

    name: str
    max_connections: int
    cold_per_s: float
    engine: EngineFacts | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration, in full."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """
    What a target announces of itself.

    ``born_ms`` tells two starts under one id apart (0: not told).
    ``sequence`` grows with each announcement of a start. ``leaves_in_s`` is
    the time until a target that is taken away at short notice is gone.
    ``restarted_at`` is a host's own note: the store's revision at which it saw
    the target start anew under its id (0: never).
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
    restarted_at: int = field(default=0, compare=False)
