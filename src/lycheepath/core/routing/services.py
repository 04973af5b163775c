"""
The choice of an instance of a plain service.

Instances in the host's own region come first; an instance elsewhere is used
only when none at home is usable and no residency rule forbids it. Among those
of one region the less loaded of two random instances wins, so that hosts
that don't know each other's load don't all pick the same.
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
    """What this host knows of service instances: its own calls and refusals."""

    in_flight: Counter[str] = field(default_factory=Counter)
    draining: set[str] = field(default_factory=set)
    ejected_until: dict[str, float] = field(default_factory=dict)

    def record_start(self, target: str) -> None:
        """Count a call that is about to be sent."""
        self.in_flight[target] += 1

    def record_end(self, target: str) -> None:
        """Count the end of a call."""
        self.in_flight[target] -= 1
        if self.in_flight[target] < 0:
            message = f"more calls ended than started at {target}"
            raise AssertionError(message)

    def record_refusal(self, target: str, now: float) -> None:
        """Keep away for a while from an instance that refused a connection."""
        self.ejected_until[target] = now + EJECTION_S


def choose_instance(
    environment: Environment,
    zone_regions: Mapping[str, str],
    service: str,
    region: str,
    bound: str | None,
    book: ServiceRegistry,
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
        if bound is None or zone_regions.get(target.zone) == bound
    ]
    if not allowed:
        return Absent(Reason.RESIDENCY, detail=f"no target of {service} in {bound}")
    usable = [
        target
        for target in allowed
        if target.id not in excluded and target.id not in book.draining
    ]
    healthy = [t for t in usable if book.ejected_until.get(t.id, 0.0) <= now]
    usable = healthy or usable
    home = [t for t in usable if zone_regions.get(t.zone) == region]
    candidates = home or usable
    if not candidates:
        return Absent(Reason.NO_TARGET, RETRY_AFTER_S, f"no instance of {service}")
    return _pick_of_two(candidates, book, random)


def _pick_of_two(
    candidates: list[Target], book: ServiceRegistry, random: Random
) -> Target:
    pair = random.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda target: book.in_flight[target.id])
