"""
The choice of an instance of a plain service.

Instances in the local region come first; an instance in a remote region is used
only if no local one is usable and no residency rule forbids it. Within these,
the less loaded of two random instances is chosen, so that hosts that don't know
each other's load don't all choose the same one.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..environment.model import TargetKind
from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from ..environment.model import Environment, Target

EJECTION_S = 2.0
RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class ServiceRegistry:
    """This host's in-flight calls and refused connections of service instances."""

    in_flight: Counter[str] = field(default_factory=Counter)
    draining: set[str] = field(default_factory=set)
    ejected_until: dict[str, float] = field(default_factory=dict)

    def record_start(self, target: str) -> None:
        """Record a call that is about to be sent."""
        self.in_flight[target] += 1

    def record_end(self, target: str) -> None:
        """Record the end of a call."""
        self.in_flight[target] -= 1
        if self.in_flight[target] < 0:
            message = f"more calls ended than started at {target}"
            raise AssertionError(message)

    def record_refusal(self, target: str, now: float) -> None:
        """Eject an instance that refused a connection, for ``EJECTION_S``."""
        self.ejected_until[target] = now + EJECTION_S


def choose_instance(
    environment: Environment,
    zone_regions: Mapping[str, str],
    service: str,
    region: str,
    bound_region: str | None,
    registry: ServiceRegistry,
    excluded: frozenset[str],
    now: float,
    random: Random,
) -> Target | Absent:
    """Return the instance to call, or why there is none."""
    instances = [
        target
        for target in environment.targets
        if target.kind is TargetKind.SERVICE and target.service == service
    ]
    if not instances:
        return Absent(Reason.NO_SUCH_SERVICE, detail=f"no target serves {service}")
    allowed = [
        target
        for target in instances
        if bound_region is None or zone_regions.get(target.zone) == bound_region
    ]
    if not allowed:
        return Absent(
            Reason.RESIDENCY, detail=f"no target of {service} in {bound_region}"
        )
    usable = [
        target
        for target in allowed
        if target.id not in excluded and target.id not in registry.draining
    ]
    healthy = [t for t in usable if registry.ejected_until.get(t.id, 0.0) <= now]
    usable = healthy or usable
    local = [t for t in usable if zone_regions.get(t.zone) == region]
    candidates = local or usable
    if not candidates:
        return Absent(Reason.NO_TARGET, RETRY_AFTER_S, f"no instance of {service}")
    return _choose_less_loaded(candidates, registry, random)


def _choose_less_loaded(
    candidates: list[Target], registry: ServiceRegistry, random: Random
) -> Target:
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda target: registry.in_flight[target.id])
