"""
The data model of an environment document.

One document describes one environment: its regions, availability zones,
hosts, targets, models, services, residency rules, limits and weights.
Operators publish each version through the platform's configuration service
under a higher revision. Names of durations end in their unit; identifiers are
unique within their kind.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    """Whether an environment is a trial or in production."""

    TRIAL = "trial"
    PRODUCTION = "production"


class TargetKind(Enum):
    """Whether a target serves models (a runner) or a plain service."""

    RUNNER = "runner"
    SERVICE = "service"


class Role(Enum):
    """Which phase of a request a runner works on."""

    ANY = "any"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class Region:
    """A region: the unit of data residency; links between regions may fail."""

    id: str


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone of one region."""

    id: str
    region: str


@dataclass(frozen=True, slots=True)
class Link:
    """A wide-area link between two regions, shared by all traffic."""

    regions: tuple[str, str]
    one_way_ms: float
    bits_per_second: int = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Host:
    """
    An entry host, addressed by IP number and port.

    ``callers_address`` accepts HTTP from callers and peers;
    ``peers_address`` receives datagrams from peers.
    """

    id: str
    zone: str
    callers_address: str
    peers_address: str


@dataclass(frozen=True, slots=True)
class Model:
    """A model: weights of ``weights_bytes`` fetched from the weight store."""

    id: str
    context_tokens: int = 8192
    weights_bytes: int = 0
    version: str = "1"


@dataclass(frozen=True, slots=True)
class Target:
    """
    A back end: a runner that serves models, or an instance of a service.

    ``slots`` limits the requests that it runs at once.
    ``prefill_tokens_per_s`` and ``decode_tokens_per_s`` are its nominal
    rates; ``kv_tokens`` is the size of its prefix cache.
    ``checks_fencing`` says whether it refuses an order with an old fencing
    number. ``accelerators`` weights the cost of keeping it busy. ``role`` is
    the role that orders assign to a runner.
    """

    id: str
    zone: str
    address: str
    kind: TargetKind
    models: tuple[str, ...] = ()
    service: str = ""
    slots: int = 16
    prefill_tokens_per_s: float = 4000.0
    decode_tokens_per_s: float = 40.0
    kv_tokens: int = 100_000
    checks_fencing: bool = False
    accelerators: int = 1
    role: Role = Role.ANY


@dataclass(frozen=True, slots=True)
class Operation:
    """A call of a plain service, matched by method and path prefix."""

    method: str
    path_prefix: str
    repeatable: bool
    timeout_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class Service:
    """
    A plain service that targets provide.

    ``resend_window_s`` is how long a caller may retry, under the same
    idempotency key, a call that must run at most once.
    """

    id: str
    operations: tuple[Operation, ...]
    resend_window_s: float = 120.0


@dataclass(frozen=True, slots=True)
class ResidencyRule:
    """
    Binds requests to a region.

    A request is bound when it matches every non-empty selector. A rule with
    no selector binds nothing.
    """

    id: str
    region: str
    teams: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Limit:
    """
    The limit of one team over the entire environment.

    The team ``*`` holds the default. ``tokens_per_s`` counts prompt and
    generated tokens; ``burst_tokens`` is the size of the token bucket;
    ``priority`` ranges from 0, the highest, to 9.
    """

    team: str
    tokens_per_s: float
    burst_tokens: float
    requests_per_s: float = 100.0
    priority: int = 5


@dataclass(frozen=True, slots=True)
class Weights:
    """
    The relative weights of ``cost`` and ``tail_latency`` in routing.

    Both lie between 0 and 1 and sum to 1.
    """

    cost: float = 0.5
    tail_latency: float = 0.5


@dataclass(frozen=True, slots=True)
class Issuers:
    """
    The hosts that may run actions under callers' idempotency keys.

    ``hosts`` names the hosts that share the keys; empty means all hosts.
    ``previous`` names the set that the last change replaced, and ``ended``
    those of its hosts that an operator attests to have been stopped.
    """

    hosts: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WeightStore:
    """The store of model weights; ``bytes_per_s`` limits all readers together."""

    region: str
    bytes_per_s: int = 125_000_000


@dataclass(frozen=True, slots=True)
class Environment:
    """One valid environment document."""

    name: str
    revision: int
    stage: Stage
    regions: tuple[Region, ...]
    zones: tuple[Zone, ...]
    hosts: tuple[Host, ...]
    targets: tuple[Target, ...]
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()
    links: tuple[Link, ...] = ()
    residency: tuple[ResidencyRule, ...] = ()
    limits: tuple[Limit, ...] = ()
    weights: Weights = Weights()
    issuers: Issuers = Issuers()
    weight_store: WeightStore | None = None
    shuffle_hosts: int = 3
    drain_s: float = 30.0
