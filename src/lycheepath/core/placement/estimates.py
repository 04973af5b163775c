"""
Estimates when a target would answer a request, and the cost to all callers.

An estimate is the time to the first event: the reading of the tokens queued before
the request, the wait for one of the target's slots, the reading of the uncached part
of its own prompt, and the round trip to a remote region. A score adds the cost to
other callers, in seconds.

Engines read prompts of higher priority first. When their slots run out, a request
that was sent with a lower priority is preempted by one with a higher priority, and
its prompt is read again; if that happens often, no request meets its objective. So
while a service's engines run out of slots, all requests are sent with the same
priority, and the priority is applied in placement instead: if no slot is free, only
the requests with the service's highest priority wait for one, and the others are
estimated to wait at least as long as an answer takes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..hosts.rendezvous import combine_hashes, hash_name
from .model import ExpectedPace, Placement
from .pace import (
    blend,
    estimate_pause_s,
    is_solid,
)
from .registry import sum_tokens_ahead
from .speed import estimate_slot_wait_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..serving.requests import Prompt
    from .load_reports import TargetLoadReport
    from .model import PlacementContext, PlacementRequest
    from .pace import Pace, PaceReport
    from .region_waits import RegionWaits
    from .registry import TargetState
    from .speed import SpeedModel

# Cost of a placement in a remote region in addition to its round trip, in seconds:
# traffic between regions is billed, and more components can fail.
REMOTE_COST_S = 0.03
# Added cost of a region whose hosts are all draining, in seconds: they refuse many
# requests and report no waits.
DRAINING_REGION_COST_S = 0.3
# Share of the round trip to a remote region that isn't counted as cost while the
# latency objective isn't at risk.
REMOTE_DISCOUNT = 0.8
# Weight of an engine's time relative to one caller's waiting time: under heavy load,
# two more callers wait for it.
ENGINE_WEIGHT = 2.0
# Share of the latency objective beyond which an estimate is penalized, since such
# requests often turn out late.
SAFE_OBJECTIVE_SHARE = 0.6
# Weight of each second beyond a safe share of the time that the caller allows.
LATE_WEIGHT = 3.0
# Weight of the time from the first event to the last: it doesn't count towards the
# latency objective, but occupies a slot and memory.
REST_WEIGHT = 0.05
# Share of the remaining time that an answer is planned to use, since estimates of its
# length are often too short.
REMAINING_TIME_SHARE = 0.7
# Share of the objective for the longest pause beyond which an expected pause is
# penalized: programs beside an engine can slow it for a part of the pause.
SAFE_PAUSE_SHARE = 0.7
# Weight of each second by which this answer's longest pause exceeds the safe share, and
# of each second by which its prompt makes the pauses of one other stream exceed it.
PAUSE_WEIGHT = 10.0
STREAM_WEIGHT = 1.0
# Upper bound of the cost to other streams, in seconds, so that the capacity of all
# targets is used before requests are late or refused.
MAX_STREAMS_COST_S = 1.0
# Share of the expected time to the end of an answer that is certain to pass: a request is
# refused if this share is longer than the time to its deadline.
CERTAIN_END_SHARE = 0.8
# Cost in seconds of a target with as many requests as it handles well, and again for
# twice as many. It is no wait, so that no request is refused because of it.
CROWDED_COST_S = 0.3
# Factor by which a target may take longer than its service without other targets being
# compared with it.
STEADY_FACTOR = 1.3
# Cost of a fully utilized target, in seconds, scaled by utilization: it reads and
# generates more slowly for all of its requests.
FULL_COST_S = 0.03
# Maximum bonus of a target for a shared part, in seconds. The bonus is drawn from a
# hash, the same on all hosts, so that they prefer the same target before it is known
# which one has the part cached.
OWNER_BONUS_S = 0.1
# Set-up time of a transfer between engines, in seconds, as in both deployments.
FETCH_SETUP_S = 0.01
# Minimum number of tokens worth fetching from another engine; reading fewer again is
# faster.
MIN_FETCHED_TOKENS = 1500
# Largest priority number that targets know; 0 is the highest priority.
LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class EstimateInputs:
    """
    Inputs that are looked up once for all candidates of a choice.

    ``cached`` are the prompt's tokens that each target has cached, ``best_cached`` is
    the target with the most of them in each region. ``highest_priority`` is that of
    the service's routes. ``owned_part_hash`` is the hash of the shared part that has
    an owner, or None. ``load_reports`` is None if no coordinator was queried; the
    loads known to this host are used then. ``pace`` is that of the service's targets,
    or None if the paces of its targets aren't used.
    """

    request: PlacementRequest
    context: PlacementContext
    now: float
    speed: SpeedModel
    region_waits: RegionWaits
    cached: Mapping[str, int]
    best_cached: Mapping[tuple[str, str], TargetState]
    highest_priority: int
    owned_part_hash: int | None
    load_reports: Mapping[str, TargetLoadReport] | None
    pace: PaceReport | None = None


@dataclass(frozen=True, slots=True)
class _Load:
    """The load of a target as far as it is known to this host."""

    in_flight: int
    unread_tokens: Mapping[int, int]
    wait_s: float
    event_interval_s: float
    slowdown: float
    pace: Pace | None = None
    token_s: float | None = None


def estimate(inputs: EstimateInputs, target: TargetState) -> Placement:
    """Return the placement of the request at a target, with its estimates."""
    remote_rtt_s = inputs.context.find_rtt_s(target)
    request = inputs.request
    prompt = request.prompt
    load = _find_load(inputs, target)
    slots = max(1, target.entry.slots)
    slowdown = load.slowdown
    if prompt is None:
        occupancy_s = inputs.speed.service_s
        queue_s = estimate_slot_wait_s(load.in_flight, slots, occupancy_s) + load.wait_s
        first_event_s = (inputs.speed.begin_s + queue_s) * slowdown + remote_rtt_s
        return Placement(
            target,
            first_event_s,
            0,
            remote_rtt_s,
            queued_work_s=queue_s * slowdown,
            slot_wait_s=queue_s,
            slowdown=slowdown,
            queue=request.queue,
            pace=None if inputs.pace is None else ExpectedPace(slowdown),
        )
    cached = inputs.cached.get(target.entry.id, 0)
    source, fetched_tokens = _find_source(inputs, target, cached)
    unread_tokens = prompt.tokens - cached - fetched_tokens
    priority = min(request.route.urgency, LOWEST_PRIORITY)
    is_first = priority <= inputs.highest_priority
    if inputs.speed.lacks_slots(inputs.now):
        priority = inputs.highest_priority
    tokens_ahead = sum_tokens_ahead(load.unread_tokens, priority)
    slot_wait_s = estimate_slot_wait_s(load.in_flight, slots, inputs.speed.occupancy_s)
    if slot_wait_s > 0.0 and not is_first:
        slot_wait_s = max(slot_wait_s, inputs.speed.occupancy_s)
    slot_wait_s += load.wait_s
    if load.token_s is None:
        read_s = inputs.speed.estimate_read_s(tokens_ahead + unread_tokens)
        first_event_s = (read_s + load.event_interval_s + slot_wait_s) * slowdown
        queued_work_s = (tokens_ahead * inputs.speed.token_s + slot_wait_s) * slowdown
    else:
        # The times are the target's own, so the slowdown applies to the wait alone.
        queued_work_s = tokens_ahead * load.token_s + slot_wait_s * slowdown
        read_s = unread_tokens * load.token_s
        first_event_s = queued_work_s + read_s + load.event_interval_s
    if source is not None:
        first_event_s += FETCH_SETUP_S + fetched_tokens * _fetch_token_s(target)
    return Placement(
        target,
        first_event_s + remote_rtt_s,
        cached + fetched_tokens,
        remote_rtt_s,
        source.entry.address if source else "",
        queued_work_s,
        tokens_ahead,
        slot_wait_s,
        load.event_interval_s,
        priority,
        min(1.0, load.in_flight / slots),
        slowdown,
        request.queue,
        _expect_pace(inputs, target, load, unread_tokens),
    )


def score(inputs: EstimateInputs, placed: Placement) -> float:
    """
    Return the cost of a placement to all callers, in seconds.

    Engine time has a high weight, since later requests wait for it; network time
    costs little while the latency objective isn't at risk.
    """
    request = inputs.request
    objective_s = request.route.aim_s
    expected_s = request.elapsed_s + placed.first_event_s
    late_s = max(0.0, expected_s - SAFE_OBJECTIVE_SHARE * objective_s)
    cost_s = placed.first_event_s + LATE_WEIGHT * late_s
    if placed.is_remote:
        cost_s += REMOTE_COST_S - REMOTE_DISCOUNT * placed.remote_rtt_s
        if placed.target.region in inputs.context.draining_regions:
            cost_s += DRAINING_REGION_COST_S
    if request.prompt is not None:
        unread_tokens = request.prompt.tokens - placed.cached_tokens
        token_s = placed.pace.token_s if placed.pace else inputs.speed.token_s
        cost_s += ENGINE_WEIGHT * unread_tokens * token_s
        generation_s = _estimate_generation_s(request.prompt, placed)
        cost_s += REST_WEIGHT * generation_s
        over_s = (
            placed.first_event_s
            + generation_s
            - REMAINING_TIME_SHARE * request.time_left_s
        )
        cost_s += LATE_WEIGHT * max(0.0, over_s)
        cost_s += FULL_COST_S * placed.utilization
        if placed.pace is not None:
            cost_s += _score_pace(request, placed.pace)
    return cost_s - _owner_bonus(inputs, placed.target)


def find_excess_s(request: PlacementRequest, placed: Placement) -> float:
    """
    Return by how much an answer would certainly end after its deadline, in seconds.

    It is 0 if that isn't certain: if its length isn't known, or if too little was
    observed of the target.
    """
    prompt, pace = request.prompt, placed.pace
    if prompt is None or pace is None or not pace.is_solid:
        return 0.0
    if prompt.expected_answer_tokens is None or request.resumed:
        return 0.0
    end_s = placed.first_event_s + _estimate_generation_s(prompt, placed)
    return max(0.0, CERTAIN_END_SHARE * end_s - request.time_left_s)


def is_steady(pace: ExpectedPace) -> bool:
    """Whether a target is about as fast as others, and no stream there is held up."""
    return pace.factor <= STEADY_FACTOR and pace.added_pause_s <= 0.0


def _find_load(inputs: EstimateInputs, target: TargetState) -> _Load:
    report = (
        inputs.load_reports.get(target.entry.id)
        if inputs.load_reports is not None
        else None
    )
    now = inputs.now
    event_interval_s = (
        target.event_interval_s if report is None else (report.event_interval_s)
    )
    pace, token_s = None, None
    if inputs.pace is None:
        slowdown = target.slowdown.find(now)
    else:
        seen = report.pace if report is not None else None
        pace = blend(seen or target.report_pace(now), inputs.pace)
        slowdown = pace.work_factor
        event_interval_s = pace.interval_s
        token_s = inputs.speed.token_s
        if inputs.request.prompt is not None and inputs.pace.reads:
            token_s = pace.work
        else:
            token_s *= slowdown
    if report is not None:
        return _Load(
            report.in_flight,
            report.unread_tokens,
            0.0,
            event_interval_s,
            slowdown,
            pace,
            token_s,
        )
    wait_s = 0.0
    if target.region != inputs.context.region:
        wait_s = inputs.region_waits.find_remote_s(
            target.region, inputs.request.queue, now
        )
    elif inputs.load_reports is not None:
        wait_s = inputs.region_waits.find_local_s(inputs.request.queue, now)
    in_flight = target.count_in_flight(now)
    unread_tokens = target.count_unread_tokens(now)
    return _Load(in_flight, unread_tokens, wait_s, event_interval_s, slowdown, pace)


def _expect_pace(
    inputs: EstimateInputs, target: TargetState, load: _Load, unread_tokens: int
) -> ExpectedPace | None:
    """
    Return what is expected of a target for the length of an answer.

    Its own pause depends on what is still to be read there, as its own prompt has been
    read when it begins; the pauses of other streams depend on its prompt too.
    """
    pace, token_s = load.pace, load.token_s
    if pace is None or token_s is None:
        return None
    service = target.service
    event_tokens = service.engine.event_tokens if service and service.engine else 1
    safe_s = SAFE_PAUSE_SHARE * inputs.request.route.gap_aim_s
    waiting = sum(load.unread_tokens.values())
    pause_s = estimate_pause_s(pace, waiting, event_tokens, token_s)
    longer_s = estimate_pause_s(pace, waiting + unread_tokens, event_tokens, token_s)
    return ExpectedPace(
        max(pace.event_factor, pace.work_factor),
        max(pause_s, pace.pause_s),
        max(0.0, longer_s - max(pause_s, safe_s)),
        load.in_flight,
        is_solid(pace),
        token_s,
        target.pace.limit.apply_refusal(pace.limit, inputs.now),
    )


def _score_pace(request: PlacementRequest, pace: ExpectedPace) -> float:
    """Return the cost of the pauses of this answer and of the streams there."""
    late_s = pace.pause_s - SAFE_PAUSE_SHARE * request.route.gap_aim_s
    cost_s = PAUSE_WEIGHT * max(0.0, late_s)
    over = pace.streams + 1 - pace.limit
    if pace.limit and over > 0:
        cost_s += CROWDED_COST_S * (1.0 + over / pace.limit)
    return cost_s + min(
        MAX_STREAMS_COST_S, STREAM_WEIGHT * pace.streams * pace.added_pause_s
    )


def _find_source(
    inputs: EstimateInputs, target: TargetState, cached: int
) -> tuple[TargetState | None, int]:
    """
    Return a target of the region with more cached tokens, and how many more.

    It has the same software version, as what two versions write doesn't fit together.
    """
    source = inputs.best_cached.get((target.region, target.entry.version))
    if source is None or source is target or _fetch_token_s(target) == 0.0:
        return None, 0
    extra_tokens = inputs.cached[source.entry.id] - cached
    return (source, extra_tokens) if extra_tokens >= MIN_FETCHED_TOKENS else (None, 0)


def _fetch_token_s(target: TargetState) -> float:
    service = target.service
    if service is None or service.engine is None:
        return 0.0
    return service.engine.fetch_token_s


def _estimate_generation_s(prompt: Prompt, placed: Placement) -> float:
    """Return the estimated time from an answer's first event to its last."""
    service = placed.target.service
    if service is None or service.engine is None:
        return 0.0
    tokens = prompt.expected_answer_tokens or prompt.max_answer_tokens
    return tokens / service.engine.event_tokens * placed.event_interval_s


def _owner_bonus(inputs: EstimateInputs, target: TargetState) -> float:
    """Return a target's bonus for the shared part, which is the same on all hosts."""
    if inputs.owned_part_hash is None:
        return 0.0
    point = combine_hashes(inputs.owned_part_hash, hash_name(target.entry.id)) >> 48
    return OWNER_BONUS_S * point / 0xFFFF
