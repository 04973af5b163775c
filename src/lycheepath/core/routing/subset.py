"""
Selection of the targets to score, so that a decision's cost is bounded.

Each host prefers a stable subset of the targets, computed by rendezvous hashing
from the document alone. Of these, a decision scores the targets that cache most
of the prompt and a random sample of the others. If none of them accepts the
request, all targets are scored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..environment.model import TargetKind
from ..hosts.rendezvous import rank
from ..membership.rendezvous import cell_of_host, cell_of_target

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from ..environment.model import Environment
    from .targets import TargetView

MAX_LOCAL_TARGETS = 30
MIN_LOCAL_TARGETS = 8
MAX_REMOTE_TARGETS = 10
MAX_SCORED_TARGETS = 12
MAX_WARM_TARGETS = 6
ANY_REGION_SAMPLES = 2


def compute_subset(environment: Environment, host: str, region: str) -> frozenset[str]:
    """
    Return the targets that a host uses while they accept requests.

    For each model, these are up to ``MAX_LOCAL_TARGETS`` targets of the host's
    cell, whose load the hosts of the cell report to each other, further targets
    of its region if the cell has fewer than ``MIN_LOCAL_TARGETS``, and up to
    ``MAX_REMOTE_TARGETS`` targets of remote regions.
    """
    regions = {zone.id: zone.region for zone in environment.zones}
    hosts = sum(regions[other.zone] == region for other in environment.hosts)
    local: dict[str, list[str]] = {}
    remote: dict[str, list[str]] = {}
    for target in environment.targets:
        if target.kind is TargetKind.RUNNER:
            side = local if regions[target.zone] == region else remote
            for model in target.models:
                side.setdefault(model, []).append(target.id)
    chosen: set[str] = set()
    for targets in local.values():
        chosen.update(_choose_local(targets, host, hosts))
    for targets in remote.values():
        chosen.update(rank(host, targets)[:MAX_REMOTE_TARGETS])
    return frozenset(chosen)


def _choose_local(targets: list[str], host: str, hosts: int) -> list[str]:
    ranked = rank(host, targets)
    cell = cell_of_host(host, hosts)
    in_cell = [target for target in ranked if cell_of_target(target, hosts) == cell]
    missing = max(0, MIN_LOCAL_TARGETS - len(in_cell))
    others = [target for target in ranked if target not in in_cell]
    return [*in_cell[:MAX_LOCAL_TARGETS], *others[:missing]]


def sample_candidates(
    views: Sequence[TargetView],
    cached: Mapping[str, int],
    home_region: str,
    random: Random,
) -> Sequence[TargetView]:
    """
    Return the candidates to score: those that cache most, and a sample of the others.

    Most of the sample is from the home region. The result may hold fewer than
    ``MAX_SCORED_TARGETS`` targets, since the sample is drawn with repetition.
    """
    if len(views) <= MAX_SCORED_TARGETS:
        return views
    warm = [view for view in views if view.id in cached]
    warm.sort(key=lambda view: cached[view.id], reverse=True)
    chosen = {view.id: view for view in warm[:MAX_WARM_TARGETS]}
    local = [view for view in views if view.region == home_region] or views
    sample_size = MAX_SCORED_TARGETS - len(chosen)
    for view in random.choices(local, k=sample_size - ANY_REGION_SAMPLES):
        chosen[view.id] = view
    for view in random.choices(views, k=ANY_REGION_SAMPLES):
        chosen[view.id] = view
    return tuple(chosen.values())
