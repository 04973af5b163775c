"""The settings of one gateway process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..core.addresses import Address


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """
    The bounds that a deployment sets, in seconds where not said otherwise.

    The defaults are those of the two first deployments. ``retry_ratio`` is the
    number of retries allowed per request of a window, ``retry_allowance`` the number
    of retries allowed to the whole fleet beyond it. A cold target can take
    ``cold_allowance`` requests at once beyond its rate. ``grace_s`` is the time from
    SIGTERM to SIGKILL. ``revocation_s`` is the time after which no host runs a request
    with a revoked key, whatever it can reach; None if this isn't required. A window may
    exceed a team's limit by the part ``limit_over`` of it, and by ``limit_slack`` tokens.
    """

    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_allowance: float = 58.0
    cold_allowance: float = 3.0
    directory_ttl_s: float = 5.0
    revocation_s: float | None = None
    limit_over: float = 0.25
    limit_slack: float = 110_000.0


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    The addresses on which one process listens, and those it knows at its start.

    ``peer_port`` receives datagrams and ``relay_port`` relayed requests of other
    hosts; all hosts use the same ports. A process that exceeds ``memory_bytes`` is ended.
    """

    host: str
    ip: str
    zone: str
    region: str
    zone_regions: Mapping[str, str]
    callers: Address
    ready: Address
    control: Address
    directory: Address
    metrics: Address
    peer_port: int
    relay_port: int
    seeds: tuple[Address, ...]
    store: Address
    bounds: DeploymentBounds
    memory_bytes: int = 300 << 20
