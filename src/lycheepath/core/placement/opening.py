"""
Why no target takes a request now, and when one will.

Cold targets are open again when they are warm; until then the few requests that
they bear are used up by those that come first. Busy ones have named their time.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .model import PlacementRequest
    from .registry import TargetState

MIN_RETRY_AFTER_S = 0.3
# To come again where nothing tells when a target opens; a reading of the store.
NO_TARGET_S = 1.0


def explain_closed(
    service: Sequence[TargetState], wanted: PlacementRequest, now: float
) -> Absent:
    """Return why none of a service's targets takes a request, and until when."""
    if not service:
        return Absent(
            Reason.NO_TARGET, _bound_wait_s(None), "the service has no targets"
        )
    homes = wanted.route.home_regions
    counts: Counter[str] = Counter()
    soonest_s: float | None = None
    for target in service:
        if homes and target.region not in homes:
            continue
        counts[_name_state(target, now)] += 1
        if target.open and not target.availability.is_shut(now):
            opens_s = max(target.availability.busy_s(now), target.cold.left_s(now))
            if opens_s > 0.0 and (soonest_s is None or opens_s < soonest_s):
                soonest_s = opens_s
    states = ", ".join(f"{n} {state}" for state, n in sorted(counts.items()))
    detail = f"no target is open: {states}" if states else "no target is at home"
    # A target that is busy for this host may take requests of others.
    reason = Reason.TARGETS_BUSY if counts["busy"] else Reason.NO_TARGET
    return Absent(reason, _bound_wait_s(soonest_s), detail)


def _name_state(target: TargetState, now: float) -> str:
    if target.availability.is_shut(now):
        return "leaving"
    if not target.open:
        return "evacuated" if target.evacuated else "draining"
    if target.availability.busy_s(now) > 0.0:
        return "busy"
    if target.cold.is_cold(now):
        return "cold"
    return "tried or out of reach"


def _bound_wait_s(opens_s: float | None) -> float:
    return max(MIN_RETRY_AFTER_S, NO_TARGET_S if opens_s is None else opens_s)
