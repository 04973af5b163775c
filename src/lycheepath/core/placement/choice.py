"""
Chooses the target of one request, or refuses the request with a reason.

``pick_targets_to_query`` returns the targets of this region whose coordinators are
to be queried. ``choose_target`` compares them, and one target of each remote
region, by their cost to all callers (see ``estimates``). The cheapest one is chosen
if its estimate meets the latency objective; otherwise the request is refused early
enough for the caller to retry in time. The first target's coordinator is queried
alone, which suffices while there is little load::

    targets = pick_targets_to_query(registry, request, context, now, random, previous)
    load_reports = await query_coordinators(targets[:1])
    queried = QueriedTargets(targets[:1], load_reports)
    placed = choose_target(
        registry, request, context, now, random, previous, queried
    )
    if not is_conclusive(placed, queried): ...
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..hosts.rendezvous import hash_name
from ..reasons import Absent, Reason
from .accuracy import OBSERVATION_TTL_S, PACED_TTL_S
from .candidates import find_shared_part, pick_candidates, put_idler_first
from .estimates import EstimateInputs, estimate, find_excess_s, is_steady, score
from .model import NO_PREVIOUS_ATTEMPTS, ComparedPlacement, Placement
from .overdue import is_overdue
from .refusals import MIN_RETRY_AFTER_S, explain_unavailable

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .model import (
        PlacementContext,
        PlacementRequest,
        PreviousAttempts,
        QueriedTargets,
    )
    from .registry import TargetRegistry, TargetState

# Random cost, in seconds, that breaks ties between equal targets, so that hosts don't
# all choose the first one.
TIE_BREAK_S = 0.002
# Added cost, in seconds, of a target that has answered the request with a failure: it
# is used again only if others would take longer by this.
FAILED_COST_S = 0.1
# Added cost, in seconds, of a target at which the request would be refused. Of the costs
# of the pauses that it causes at another target, only far larger ones exceed it.
INADMISSIBLE_COST_S = 100.0
# Share of its latency objective within which a request has to begin whose team has had
# its share of the room. The rest of the time that requests may wait is left to others.
SPARE_OBJECTIVE_SHARE = 0.5
# Longest time in seconds after which a request may be retried that no target can end in
# time: what is known of a slow target is forgotten in a few times as long.
MAX_END_RETRY_S = 2.0
# Share of a service's targets in the region that have to be out of reach before requests
# are relayed to peers.
MIN_RELAYED_SHARE = 0.5
# A placement is conclusive, without querying further coordinators, if the work queued
# before it takes no longer than this, in seconds, and less than
# ``CONCLUSIVE_UTILIZATION`` of the target's slots are in use: no other target would
# be much better.
CONCLUSIVE_WAIT_S = 0.02
CONCLUSIVE_UTILIZATION = 0.5


def pick_targets_to_query(
    registry: TargetRegistry,
    request: PlacementRequest,
    context: PlacementContext,
    now: float,
    random: Random,
    previous: PreviousAttempts = NO_PREVIOUS_ATTEMPTS,
) -> list[TargetState]:
    """Return the targets of this region whose coordinators are to be queried."""
    homes = request.route.home_regions
    if homes and context.region not in homes:
        return []
    context = _limit_relays(registry, request, context)
    local_targets = [
        target
        for target in registry.list_region_targets(request.service, context.region)
        if _is_eligible(target, request, context, previous, now)
    ]
    trusted = [
        t for t in local_targets if not _is_last_resort(registry, t, context, now)
    ]
    owners = _rank_owners(registry, request, context.region)
    picked = pick_candidates(trusted or local_targets, owners, random)
    if not owners and registry.paces.report(request.service, now) is not None:
        return put_idler_first(picked, now, random)
    return picked


def choose_target(
    registry: TargetRegistry,
    request: PlacementRequest,
    context: PlacementContext,
    now: float,
    random: Random,
    previous: PreviousAttempts = NO_PREVIOUS_ATTEMPTS,
    queried: QueriedTargets | None = None,
    compared: list[ComparedPlacement] | None = None,
) -> Placement | Absent:
    """
    Return the placement of a request, or why and until when it is refused.

    Without ``queried``, all targets of the region are compared by what this host
    knows itself. With ``compared``, nothing is learned from the choice, and the
    placements that were compared are added to it.
    """
    service = registry.list_service_targets(request.service)
    context = _limit_relays(registry, request, context)
    homes = request.route.home_regions
    local_targets = (
        registry.list_region_targets(request.service, context.region)
        if queried is None
        else ()
    )
    candidates = [
        target
        for target in (local_targets if queried is None else queried.targets)
        if not homes or target.region in homes
        if _is_eligible(target, request, context, previous, now)
    ]
    candidates += _pick_remote_targets(
        registry, request, context, now, random, previous
    )
    inputs = _gather_inputs(registry, request, context, now, candidates, queried)
    best, best_local = _find_best(
        registry, inputs, candidates, random, previous, compared
    )
    is_known = best_local is not None and _is_wait_known(best_local, queried)
    if best_local is not None and is_known and compared is None:
        registry.region_waits.observe(request.queue, best_local.queued_work_s, now)
    if best is None:
        return explain_unavailable(service, request, now, context.unreachable)
    ratio = _find_ratio(registry, request, best, now)
    return _admit(request, best, ratio)


def _is_wait_known(placed: Placement, queried: QueriedTargets | None) -> bool:
    """Whether a wait was reported, rather than assumed from the last ones."""
    return queried is None or placed.target.entry.id in queried.load_reports


def is_conclusive(placed: Placement | Absent, queried: QueriedTargets) -> bool:
    """Whether querying further coordinators would gain little for a request."""
    if isinstance(placed, Absent) or placed.is_remote:
        return False
    if placed.pace is not None and not is_steady(placed.pace):
        return False
    report = queried.load_reports.get(placed.target.entry.id)
    if report is None or placed.queued_work_s > CONCLUSIVE_WAIT_S:
        return False
    return report.in_flight < CONCLUSIVE_UTILIZATION * placed.target.entry.slots


def _find_best(
    registry: TargetRegistry,
    inputs: EstimateInputs,
    candidates: Iterable[TargetState],
    random: Random,
    previous: PreviousAttempts,
    compared: list[ComparedPlacement] | None = None,
) -> tuple[Placement | None, Placement | None]:
    """Return the best placement of all, and the best one in the local region."""
    best: Placement | None = None
    best_local: Placement | None = None
    best_cost = best_local_cost = float("inf")
    last_resort: Placement | None = None
    ratios: dict[str, float] = {}
    for target in candidates:
        placed = estimate(inputs, target)
        if _is_last_resort(registry, target, inputs.context, inputs.now):
            if compared is not None:
                compared.append(ComparedPlacement(placed, None, True))
            if last_resort is None or placed.first_event_s < last_resort.first_event_s:
                last_resort = placed
            continue
        cost = score(inputs, placed) + TIE_BREAK_S * random.random()
        if placed.pace is not None:
            cost += _find_lateness_cost(registry, inputs, placed, ratios)
        if target.entry.id in previous.failed:
            cost += FAILED_COST_S
        if compared is not None:
            compared.append(ComparedPlacement(placed, cost, False))
        if cost < best_cost:
            best, best_cost = placed, cost
        if not placed.is_remote and cost < best_local_cost:
            best_local, best_local_cost = placed, cost
    return best or last_resort, best_local


def _find_lateness_cost(
    registry: TargetRegistry,
    inputs: EstimateInputs,
    placed: Placement,
    ratios: dict[str, float],
) -> float:
    """
    Return the cost of a target at which the request would be late, else 0.

    ``ratios`` keeps the corrections of estimates by region for one choice.
    """
    region = placed.target.region
    if region not in ratios:
        ratios[region] = _find_ratio(registry, inputs.request, placed, inputs.now)
    if _is_in_time(inputs.request, placed, ratios[region]):
        return 0.0
    return INADMISSIBLE_COST_S


def _is_in_time(request: PlacementRequest, placed: Placement, ratio: float) -> bool:
    """Whether a target is expected to meet a request's latency objective and deadline."""
    if request.elapsed_s + ratio * placed.first_event_s > request.route.aim_s:
        return False
    return find_excess_s(request, placed) <= 0.0


def _find_ratio(
    registry: TargetRegistry, request: PlacementRequest, placed: Placement, now: float
) -> float:
    """Return the factor that corrects the estimate of a placement."""
    ttl_s = OBSERVATION_TTL_S if placed.pace is None else PACED_TTL_S
    region = placed.target.region
    return registry.estimate_errors.find_ratio(request.queue, region, now, ttl_s)


def _pick_remote_targets(
    registry: TargetRegistry,
    request: PlacementRequest,
    context: PlacementContext,
    now: float,
    random: Random,
    previous: PreviousAttempts,
) -> list[TargetState]:
    """
    Return one target of each remote region: the owner of the prompt, or any.

    It stands for its region in the comparison. The host there that the request is
    relayed to chooses among that region's targets.
    """
    picked = []
    homes = request.route.home_regions
    for region in context.remote_rtt_s:
        if region in previous.regions or (homes and region not in homes):
            continue
        if (request.service, region) in context.closed_services:
            continue
        eligible = [
            target
            for target in registry.list_region_targets(request.service, region)
            if _is_eligible(target, request, context, previous, now)
        ]
        targets = [
            t for t in eligible if not _is_last_resort(registry, t, context, now)
        ] or eligible
        if targets:
            owners = _rank_owners(registry, request, region)
            by_id = {target.entry.id: target for target in targets}
            owned = [by_id[name] for name in owners if name in by_id]
            picked.append(owned[0] if owned else random.choice(targets))
    return picked


def _rank_owners(
    registry: TargetRegistry, request: PlacementRequest, region: str
) -> tuple[str, ...]:
    part = find_shared_part(request.prompt)
    if not part:
        return ()
    service = request.service
    return registry.owner_ranking.rank(
        f"{service} {region}", part, registry.list_region_targets(service, region)
    )


def _gather_inputs(
    registry: TargetRegistry,
    request: PlacementRequest,
    context: PlacementContext,
    now: float,
    candidates: Iterable[TargetState],
    queried: QueriedTargets | None,
) -> EstimateInputs:
    speed = registry.speed(request.service)
    cached: dict[str, int] = {}
    best_cached: dict[tuple[str, str], TargetState] = {}
    part = find_shared_part(request.prompt)
    prompt = request.prompt
    if prompt is not None:
        for target in candidates:
            report = queried.load_reports.get(target.entry.id) if queried else None
            if report:
                speed.observe_occupancy(report.in_flight, target.entry.slots, now)
            cached_tokens = (
                report.cached_tokens
                if report
                else target.cache.count_cached(prompt.parts)
            )
            cached[target.entry.id] = cached_tokens
            place = target.region, target.entry.version
            best = best_cached.get(place)
            if part and (best is None or cached_tokens > cached[best.entry.id]):
                best_cached[place] = target
    return EstimateInputs(
        request,
        context,
        now,
        speed,
        registry.region_waits,
        cached,
        best_cached,
        registry.find_highest_priority(request.service, request.route.urgency),
        hash_name(part) if part else None,
        queried.load_reports if queried else None,
        registry.paces.report(request.service, now),
    )


def _is_eligible(
    target: TargetState,
    request: PlacementRequest,
    context: PlacementContext,
    previous: PreviousAttempts,
    now: float,
) -> bool:
    """Whether a target accepts requests and this host, or another, may send it one."""
    if not target.accepts_requests or not request.may_go_to(target.entry.version):
        return False
    if target.region == context.region and target.entry.id in context.unreachable:
        # The peer knows better what the target refused, and whether it is cold.
        withdrawn = target.availability.is_withdrawn(now)
        return context.peer_rtt_s is not None and not withdrawn
    if target.entry.id in previous.targets:
        return False
    if target.region == context.region:
        return target.availability.is_available(now) and _may_send(target, context, now)
    # A target's refusals apply only to the host that received them, so they don't
    # exclude a remote target, which gets the request from a host of its region.
    return not (target.availability.is_withdrawn(now) or target.cold.is_cold(now))


def _admit(
    request: PlacementRequest, best: Placement, ratio: float
) -> Placement | Absent:
    """
    Admit a request that can meet its latency objective; refuse any other at once.

    ``ratio`` corrects the estimate for recent errors. A request that was sent before
    is admitted as long as it can be answered in its remaining time. A request with
    no work queued before it is admitted within its objective regardless of the
    estimate: a retry would gain nothing, and only its answer shows whether the
    estimate is right.
    """
    objective_s = request.route.aim_s
    if request.spare_only and not request.already_sent:
        objective_s *= SPARE_OBJECTIVE_SHARE
    excess_s = find_excess_s(request, best)
    if excess_s > 0.0 and not request.already_sent:
        detail = f"end expected {excess_s:.3f} s after the deadline"
        retry_s = min(max(MIN_RETRY_AFTER_S, excess_s), MAX_END_RETRY_S)
        return Absent(Reason.DEADLINE, retry_s, detail)
    if best.queued_work_s <= 0.0 and request.elapsed_s < objective_s:
        return best
    over_s = request.elapsed_s + ratio * best.first_event_s - objective_s
    if over_s <= 0.0 or (
        request.already_sent and best.first_event_s < request.time_left_s
    ):
        return best
    detail = f"first event expected after {best.first_event_s:.3f} s x {ratio:.2f}"
    return Absent(Reason.OVERLOADED, max(MIN_RETRY_AFTER_S, over_s), detail)


def _may_send(target: TargetState, context: PlacementContext, now: float) -> bool:
    senders = context.cold_sender_counts.get(target.entry.id)
    if senders is None:
        return not target.cold.is_cold(now)
    return target.cold.may_send(senders, now)


def _limit_relays(
    registry: TargetRegistry, request: PlacementRequest, context: PlacementContext
) -> PlacementContext:
    """
    Return the context without peers unless they are needed for this service.

    A few targets that can't be reached have probably ended; their load looks low then,
    and peers would place the requests at the others anyway.
    """
    if not context.unreachable or context.peer_rtt_s is None:
        return context
    targets = registry.list_region_targets(request.service, context.region)
    unreachable = sum(t.entry.id in context.unreachable for t in targets)
    closed = (request.service, context.region) in context.closed_services
    if closed or unreachable < MIN_RELAYED_SHARE * len(targets):
        return replace(context, peer_rtt_s=None)
    return context


def _is_last_resort(
    registry: TargetRegistry,
    target: TargetState,
    context: PlacementContext,
    now: float,
) -> bool:
    """Whether a target is used only if no other is available."""
    if target.entry.id in context.unreachable:
        # What this host has observed of it is due to the link.
        return False
    health = target.health
    if health.is_ejected(now) or health.is_paused(now):
        return True
    if (health.on_probation or health.refusals > 0) and target.requests:
        return True
    return is_overdue(registry, target, now)
