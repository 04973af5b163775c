"""
Which hosts send orders to which runner, computed from the document alone.

In each region a few hosts are candidates, about two for every
``RUNNERS_PER_CANDIDATE_PAIR`` runners, so that each candidate polls a bounded
number of runners. The candidates of a region are ranked for each runner by
rendezvous hashing. The first sends orders at once; each later one waits until
the runner has differed from its desired state for a delay that grows with the
rank. Candidates therefore need neither membership state nor messages to take
over from a failed one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..environment.model import TargetKind
from ..hosts.rendezvous import rank

if TYPE_CHECKING:
    from ..environment.model import Environment

RUNNERS_PER_CANDIDATE_PAIR = 32
CANDIDATES_KEY = "orders"


@dataclass(frozen=True, slots=True)
class IssuerPlan:
    """
    The orders that one host may send.

    ``ranks`` gives the host's rank for each runner that it is a candidate
    for, 0 being the first. ``store_bytes_per_s`` is its share of the weight
    store's rate.
    """

    ranks: dict[str, int]
    store_bytes_per_s: float


def plan_issuer(environment: Environment, host: str) -> IssuerPlan:
    """
    Return the plan of ``host``.

    The shares of all hosts sum to the weight store's rate: each region has a
    share in proportion to its runners, divided evenly among its candidates.
    """
    regions = {zone.id: zone.region for zone in environment.zones}
    runners = [
        (target.id, regions[target.zone])
        for target in environment.targets
        if target.kind is TargetKind.RUNNER
    ]
    candidates = _list_candidates(environment, regions, runners)
    host_region = next(
        (region for region, hosts in candidates.items() if host in hosts), None
    )
    if host_region is None:
        return IssuerPlan({}, 0.0)
    region_candidates = candidates[host_region]
    ordered = [runner for runner, region in runners if region == host_region]
    ranks = {runner: rank(runner, region_candidates).index(host) for runner in ordered}
    store = environment.weight_store
    rate = store.bytes_per_s if store else 0.0
    return IssuerPlan(
        ranks, rate * len(ordered) / len(runners) / len(region_candidates)
    )


def _list_candidates(
    environment: Environment,
    regions: dict[str, str],
    runners: list[tuple[str, str]],
) -> dict[str, tuple[str, ...]]:
    """Return the candidates of each region that has runners and hosts."""
    found: dict[str, tuple[str, ...]] = {}
    for region in sorted({region for _, region in runners}):
        hosts = [host.id for host in environment.hosts if regions[host.zone] == region]
        count = sum(1 for _, runner_region in runners if runner_region == region)
        candidate_count = 2 * math.ceil(count / RUNNERS_PER_CANDIDATE_PAIR)
        found[region] = rank(f"{CANDIDATES_KEY} {region}", hosts)[:candidate_count]
    return found
