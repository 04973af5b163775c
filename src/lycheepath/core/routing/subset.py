"""
Which targets a decision looks at, so that its cost does not grow with the fleet.

Each host uses a stable subset of the targets, computed by rendezvous hashing
from the document alone. Of these, one decision scores the warmest for its
prompt and a random sample of the rest. Both widen under pressure: when none of
those that were looked at takes the request, all are.
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
    Return the targets that a host uses while there is no pressure.

    For each model they are up to ``HOME_TARGETS`` of the host's cell, whose
    loads its hosts tell each other, some more of its region where the cell has
    fewer than ``LEAST_HOME_TARGETS``, and up to ``AWAY_TARGETS`` elsewhere.
    """
    regions = {zone.id: zone.region for zone in environment.zones}
    hosts = sum(regions[other.zone] == region for other in environment.hosts)
    home: dict[str, list[str]] = {}
    away: dict[str, list[str]] = {}
    for target in environment.targets:
        if target.kind is TargetKind.RUNNER:
            side = home if regions[target.zone] == region else away
            for model in target.models:
                side.setdefault(model, []).append(target.id)
    chosen: set[str] = set()
    for targets in home.values():
        chosen.update(_choose_local(targets, host, hosts))
    for targets in away.values():
        chosen.update(rank(host, targets)[:MAX_REMOTE_TARGETS])
    return frozenset(chosen)


def _choose_local(targets: list[str], host: str, hosts: int) -> list[str]:
    ranked = rank(host, targets)
    cell = cell_of_host(host, hosts)
    near = [target for target in ranked if cell_of_target(target, hosts) == cell]
    missing = max(0, MIN_LOCAL_TARGETS - len(near))
    others = [target for target in ranked if target not in near]
    return [*near[:MAX_LOCAL_TARGETS], *others[:missing]]


def sample_candidates(
    views: Sequence[TargetView],
    cached: Mapping[str, int],
    home: str,
    random: Random,
) -> Sequence[TargetView]:
    """
    Return the candidates to score: the warmest, and a sample of the others.

    Most of the sample is of the home region. A few targets fewer than
    ``SCORED_TARGETS`` may come out, since the sample is drawn with repetition.
    """
    if len(views) <= MAX_SCORED_TARGETS:
        return views
    warm = [view for view in views if view.id in cached]
    warm.sort(key=lambda view: cached[view.id], reverse=True)
    chosen = {view.id: view for view in warm[:MAX_WARM_TARGETS]}
    local = [view for view in views if view.region == home] or views
    wanted = MAX_SCORED_TARGETS - len(chosen)
    for view in random.choices(local, k=wanted - ANY_REGION_SAMPLES):
        chosen[view.id] = view
    for view in random.choices(views, k=ANY_REGION_SAMPLES):
        chosen[view.id] = view
    return tuple(chosen.values())
