"""
When a target would answer a request, and what that costs all callers.

An estimate is the time to the first event: what is to be read before it, the wait
for one of the target's places, what of the prompt itself isn't cached, and the way
to another region. A score adds what others pay for it, in seconds.

Engines read urgent prompts first. Where their places run out, a request that is
sent as less urgent loses its place to a more urgent one midway, and is read again;
when many do, none is in time. So engines that run out of places first are sent all
requests alike, and urgency counts before: where no place is free, only the most
urgent requests of a service wait for one; the others are taken to wait as long as
an answer takes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..hosts.rendezvous import combine_hashes, hash_name
from .model import Placement
from .registry import sum_ahead
from .speed import estimate_slot_wait_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..serving.requests import Prompt
    from .load_reports import TargetLoadReport
    from .model import PlacementContext, PlacementRequest
    from .region_waits import RegionWaits
    from .registry import TargetState
    from .speed import SpeedModel

# What a request to another region costs beyond its way there and back, as
# time: its bytes are priced, and it depends on more.
AWAY_COST_S = 0.03
# Hosts that leave turn many requests away, and tell no waits of theirs.
LEAVING_COST_S = 0.3
# Part of the way there and back that doesn't count while the aim isn't at risk.
AWAY_DISCOUNT = 0.8
# Weight of an engine's own time against one caller's waiting: two more callers
# wait for it on a busy day.
ENGINE_WEIGHT = 2.0
# Estimates beyond this part of the aim often turn out late.
SAFE_SHARE = 0.6
LATE_WEIGHT = 3.0
# Of the time that the rest of an answer takes; it doesn't count for the aim,
# but slots and memory are taken as long.
REST_WEIGHT = 0.05
# Guesses of an answer's length are often short.
REST_SHARE = 0.7
# A target whose places are all taken reads and writes more slowly for all that
# it runs; as seconds, for a full one.
FULL_COST_S = 0.03
# Preference of one owner for each shared part, the same on all hosts, before
# anybody knows who has it.
OWNER_BONUS_S = 0.1
# Before a transfer between engines begins; both deployments' figure.
FETCH_SETUP_S = 0.01
# Fewer tokens are read sooner than fetched.
MIN_FETCHED_TOKENS = 1500
LEAST_URGENCY = 9


@dataclass(frozen=True, slots=True)
class Look:
    """
    What one choice looks up once, not for each candidate.

    ``cached`` are the tokens of the prompt that each target has; ``richest``
    is the target of each region that has most. ``first_urgency`` is that of the
    service's most urgent requests. ``owned`` is the hash of the
    shared part that has an owner, if there is one. ``quotes`` are None where no
    keeper was asked, and the host goes by what it knows itself.
    """

    wanted: PlacementRequest
    around: PlacementContext
    now: float
    speed: SpeedModel
    waits: RegionWaits
    cached: Mapping[str, int]
    richest: Mapping[str, TargetState]
    first_urgency: int
    owned: int | None
    quotes: Mapping[str, TargetLoadReport] | None


@dataclass(frozen=True, slots=True)
class _Load:
    """What is under way at a target, as far as this host can know."""

    in_flight: int
    unread: Mapping[int, int]
    wait_s: float
    event_s: float


def estimate(look: Look, target: TargetState) -> Placement:
    """Return the placement of the request at a target, with its estimates."""
    away_s = look.around.remote_rtt_s.get(target.region, 0.0)
    wanted = look.wanted
    prompt = wanted.prompt
    load = _find_load(look, target)
    slots = max(1, target.entry.slots)
    pace = target.pace.find(look.now)
    if prompt is None:
        each_s = look.speed.service_s
        queue_s = estimate_slot_wait_s(load.in_flight, slots, each_s) + load.wait_s
        first_s = (look.speed.begin_s + queue_s) * pace + away_s
        return Placement(
            target,
            first_s,
            0,
            away_s,
            ahead_s=queue_s * pace,
            slot_wait_s=queue_s,
            pace=pace,
            queue=wanted.queue,
        )
    cached = look.cached.get(target.entry.id, 0)
    source, fetched = _find_source(look, target, cached)
    read = prompt.tokens - cached - fetched
    urgency = min(wanted.route.urgency, LEAST_URGENCY)
    first = urgency <= look.first_urgency
    if look.speed.lacks_slots(look.now):
        urgency = look.first_urgency
    ahead = sum_ahead(load.unread, urgency)
    place_s = estimate_slot_wait_s(load.in_flight, slots, look.speed.stay_s)
    if place_s > 0.0 and not first:
        place_s = max(place_s, look.speed.stay_s)
    place_s += load.wait_s
    read_s = look.speed.estimate_read_s(ahead + read)
    first_s = (read_s + load.event_s + place_s) * pace
    if source is not None:
        first_s += FETCH_SETUP_S + fetched * _fetch_token_s(target)
    return Placement(
        target,
        first_s + away_s,
        cached + fetched,
        away_s,
        source.entry.address if source else "",
        (ahead * look.speed.token_s + place_s) * pace,
        ahead,
        place_s,
        load.event_s,
        urgency,
        min(1.0, load.in_flight / slots),
        pace,
        wanted.queue,
    )


def score(look: Look, placed: Placement) -> float:
    """
    Return what a placement costs all callers, as seconds.

    Time of an engine is dear, since whoever comes later waits for it; time on
    the way costs little while the caller's aim isn't at risk.
    """
    wanted = look.wanted
    aim_s = wanted.route.aim_s
    expected_s = wanted.elapsed_s + placed.first_event_s
    late_s = max(0.0, expected_s - SAFE_SHARE * aim_s)
    cost_s = placed.first_event_s + LATE_WEIGHT * late_s
    if placed.is_remote:
        cost_s += AWAY_COST_S - AWAY_DISCOUNT * placed.remote_rtt_s
        if placed.target.region in look.around.leaving:
            cost_s += LEAVING_COST_S
    if wanted.prompt is not None:
        read = wanted.prompt.tokens - placed.cached_tokens
        cost_s += ENGINE_WEIGHT * read * look.speed.token_s
        rest_s = _estimate_rest_s(wanted.prompt, placed)
        cost_s += REST_WEIGHT * rest_s
        over_s = placed.first_event_s + rest_s - REST_SHARE * wanted.left_s
        cost_s += LATE_WEIGHT * max(0.0, over_s)
        cost_s += FULL_COST_S * placed.fill
    return cost_s - _owner_bonus(look, placed.target)


def _find_load(look: Look, target: TargetState) -> _Load:
    quote = look.quotes.get(target.entry.id) if look.quotes is not None else None
    if quote is not None:
        return _Load(quote.in_flight, quote.unread_tokens, 0.0, quote.event_interval_s)
    now = look.now
    wait_s = 0.0
    if target.region != look.around.region:
        wait_s = look.waits.find_s(target.region, look.wanted.queue, now)
    elif look.quotes is not None:
        wait_s = look.waits.find_own_s(look.wanted.queue, now)
    in_flight = target.count_in_flight(now)
    unread = target.count_unread(now)
    return _Load(in_flight, unread, wait_s, target.event_s)


def _find_source(
    look: Look, target: TargetState, cached: int
) -> tuple[TargetState | None, int]:
    """Return a target of the region that has more of a prompt, and how much more."""
    source = look.richest.get(target.region)
    if source is None or source is target or _fetch_token_s(target) == 0.0:
        return None, 0
    more = look.cached[source.entry.id] - cached
    return (source, more) if more >= MIN_FETCHED_TOKENS else (None, 0)


def _fetch_token_s(target: TargetState) -> float:
    service = target.service
    if service is None or service.engine is None:
        return 0.0
    return service.engine.fetch_token_s


def _estimate_rest_s(prompt: Prompt, placed: Placement) -> float:
    """Return the time from the first event of an answer to its last."""
    service = placed.target.service
    if service is None or service.engine is None:
        return 0.0
    tokens = prompt.expected_answer_tokens or prompt.max_answer_tokens
    return tokens / service.engine.event_tokens * placed.event_interval_s


def _owner_bonus(look: Look, target: TargetState) -> float:
    """Spread unknown prompts by their shared part, the same on all hosts."""
    if look.owned is None:
        return 0.0
    point = combine_hashes(look.owned, hash_name(target.entry.id)) >> 48
    return OWNER_BONUS_S * point / 0xFFFF
