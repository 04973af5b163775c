"""
Which hosts order which runner, computed from the document alone.

In each region a few hosts are candidates, about two for every
``RUNNERS_PER_PAIR`` runners, so that a candidate watches a bounded number of
runners. The candidates of a region are ranked for each runner by rendezvous
hashing. The first acts at once; each later one only after it has seen the
runner off its desired state for longer. So no view of who is alive is needed,
and a dead first candidate is replaced without a message.
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
    One host's part in ordering.

    ``ranks`` gives the host's rank for each runner that it may order, 0 being
    the first. ``store_bytes_per_s`` is its share of the weight store's rate.
    """

    ranks: dict[str, int]
    store_bytes_per_s: float


def plan_issuer(environment: Environment, host: str) -> IssuerPlan:
    """
    Return the part of ``host``.

    The shares of all hosts sum to the weight store's rate: each region has a
    part by its runners, which its candidates divide evenly.
    """
    regions = {zone.id: zone.region for zone in environment.zones}
    runners = [
        (target.id, regions[target.zone])
        for target in environment.targets
        if target.kind is TargetKind.RUNNER
    ]
    candidates = _list_candidates(environment, regions, runners)
    home = next((region for region, hosts in candidates.items() if host in hosts), None)
    if home is None:
        return IssuerPlan({}, 0.0)
    group = candidates[home]
    ordered = [runner for runner, region in runners if region == home]
    ranks = {runner: rank(runner, group).index(host) for runner in ordered}
    store = environment.weight_store
    rate = store.bytes_per_s if store else 0.0
    return IssuerPlan(ranks, rate * len(ordered) / len(runners) / len(group))


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
        limit = 2 * math.ceil(count / RUNNERS_PER_CANDIDATE_PAIR)
        found[region] = rank(f"{CANDIDATES_KEY} {region}", hosts)[:limit]
    return found
