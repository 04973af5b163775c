"""
Explains why no target accepts a request, and when one will.

A cold target is available again when it is warm; until then, earlier requests use
up the few that it can take. A target that refuses requests has named its time.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .rate_limit import describe_rate

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .model import PlacementRequest
    from .registry import TargetState

# Minimum time in seconds after which a refused caller may retry.
MIN_RETRY_AFTER_S = 0.3
# Time in seconds after which a caller may retry if it isn't known when a target will be
# available: by then the store has been read again.
NO_TARGET_RETRY_S = 1.0
# Largest number of targets whose limits are named in a refusal.
MAX_NAMED_LIMITS = 3
# States of a target that accepts no requests of any host.
LEAVING, EVACUATED, DRAINING, COLD = "leaving", "evacuated", "draining", "cold"
# The state of a target that has no permit left for a request.
AT_LIMIT = "at the limit"
# The state of a brittle target without room for a request.
FULL = "full"
# The state of a target that this host can't reach, and of one that was tried or whose
# region can't be reached.
OUT_OF_REACH = "out of reach"
TRIED = "tried or out of reach"
# The state of a target that can't go on with the stream.
OTHER_VERSION = "of another version"


def explain_unavailable(
    service: Sequence[TargetState],
    request: PlacementRequest,
    now: float,
    unreachable: frozenset[str] = frozenset(),
) -> Absent:
    """
    Return why none of a service's targets accepts a request, and until when.

    ``unreachable`` are the targets that this host can't reach.
    """
    if not service:
        return Absent(
            Reason.NO_TARGET, _bound_wait_s(None), "the service has no targets"
        )
    if not any(request.may_go_to(target.entry.version) for target in service):
        detail = f"no target is of version {request.version}, which began the stream"
        return Absent(Reason.NO_TARGET, _bound_wait_s(None), detail)
    homes = request.route.home_regions
    counts: Counter[str] = Counter()
    soonest_s: float | None = None
    limits = []
    for target in service:
        if homes and target.region not in homes:
            continue
        state = name_state(target, request, now, unreachable)
        counts[state] += 1
        if state == AT_LIMIT:
            rate = describe_rate(target.availability.rate_limit.rate)
            limits.append(f"{target.entry.id} takes {rate}")
        if state != OTHER_VERSION and may_open(target, now):
            available_in_s = max(
                target.availability.busy_s(now),
                target.availability.rate_limit.left_s(now),
                target.availability.room.left_s(now),
                target.cold.left_s(now),
            )
            if available_in_s > 0.0 and (
                soonest_s is None or available_in_s < soonest_s
            ):
                soonest_s = available_in_s
    states = ", ".join(f"{n} {state}" for state, n in sorted(counts.items()))
    detail = f"no target is open: {states}" if states else "no target is at home"
    if limits:
        detail += f" ({', '.join(limits[:MAX_NAMED_LIMITS])})"
    reason = Reason.RATE_LIMITED if limits else Reason.NO_TARGET
    if counts["busy"] or counts[FULL]:
        # Such a target may accept requests of other hosts, and soon those of this one.
        reason = Reason.TARGETS_BUSY
    return Absent(reason, _bound_wait_s(soonest_s), detail)


def may_open(target: TargetState, now: float) -> bool:
    """Whether neither its entry, the operator nor its answers have closed a target."""
    return target.accepts_requests and not target.availability.is_withdrawn(now)


def name_state(
    target: TargetState,
    request: PlacementRequest,
    now: float,
    unreachable: frozenset[str],
) -> str:
    """Return the state of a target that accepts no request from this host."""
    if not request.may_go_to(target.entry.version):
        return OTHER_VERSION
    if target.availability.is_withdrawn(now):
        return LEAVING
    if not target.accepts_requests:
        return EVACUATED if target.evacuated else DRAINING
    if target.availability.busy_s(now) > 0.0:
        return "busy"
    if target.cold.is_cold(now):
        return COLD
    if target.availability.rate_limit.left_s(now) > 0.0:
        return AT_LIMIT
    if target.availability.room.left_s(now) > 0.0:
        return FULL
    return OUT_OF_REACH if target.entry.id in unreachable else TRIED


def _bound_wait_s(available_in_s: float | None) -> float:
    return max(
        MIN_RETRY_AFTER_S,
        NO_TARGET_RETRY_S if available_in_s is None else available_in_s,
    )
