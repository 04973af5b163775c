"""
Chooses the target of one request, or says why it is refused.

``pick_targets_to_query`` names the targets of this region whose keepers are to be asked;
``choose_target`` compares them, and one target of each other region, by what they
cost all callers (see ``estimates``). The cheapest wins if its estimate is within
the caller's aim; beyond, the request is refused while it still can come back in
time. The first target is asked alone: where little is under way, it will do::

    targets = pick_targets_to_query(book, wanted, around, now, random, tried)
    quotes = await ask_keepers(targets[:1])
    asked = Asked(targets[:1], quotes)
    placed = choose_target(book, wanted, around, now, random, tried, asked)
    if not is_conclusive(placed, asked): ...
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..hosts.rendezvous import hash_name
from ..reasons import Absent, Reason
from .candidates import find_shared_part, pick_candidates
from .estimates import LEAST_URGENCY, Look, estimate, score
from .model import NO_PREVIOUS_ATTEMPTS, Placement
from .opening import MIN_RETRY_AFTER_S, explain_closed

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

# A target is taken for silent when nothing came for this long, and for this
# many times what its work should take.
LEAST_OVERDUE_S = 0.25
OVERDUE_FACTOR = 3.0
# Equal targets are drawn among, so that hosts don't all take the first one.
TIE_S = 0.002
# A target that answered with a failure is asked again only if others take
# longer by this.
FAILED_COST_S = 0.1
# A placement is settled without asking further keepers where what waits ahead
# takes no longer than this, in seconds, and at most this part of the places is
# taken: no other target would be better by much.
CONCLUSIVE_WAIT_S = 0.02
SETTLED_FILL = 0.5


def pick_targets_to_query(
    book: TargetRegistry,
    wanted: PlacementRequest,
    around: PlacementContext,
    now: float,
    random: Random,
    tried: PreviousAttempts = NO_PREVIOUS_ATTEMPTS,
) -> list[TargetState]:
    """Return the targets of this region whose keepers are to be asked."""
    homes = wanted.route.home_regions
    if homes and around.region not in homes:
        return []
    near = [
        target
        for target in book.in_region(wanted.service, around.region)
        if _can_reach(target, around, tried, now)
    ]
    trusted = [t for t in near if not _is_doubtful(book, t, now)]
    owners = _rank_owners(book, wanted, around.region)
    return pick_candidates(trusted or near, owners, random)


def choose_target(
    book: TargetRegistry,
    wanted: PlacementRequest,
    around: PlacementContext,
    now: float,
    random: Random,
    tried: PreviousAttempts = NO_PREVIOUS_ATTEMPTS,
    asked: QueriedTargets | None = None,
) -> Placement | Absent:
    """
    Return where the request goes, or why it is refused and until when.

    Without ``asked`` all targets of the region are looked at, by what this host
    knows itself.
    """
    service = book.of_service(wanted.service)
    homes = wanted.route.home_regions
    near = book.in_region(wanted.service, around.region) if asked is None else ()
    candidates = [
        target
        for target in (near if asked is None else asked.targets)
        if not homes or target.region in homes
        if _can_reach(target, around, tried, now)
    ]
    candidates += _pick_away(book, wanted, around, now, random, tried)
    look = _look_up(book, wanted, around, now, candidates, asked)
    best, nearest = _find_best(book, look, candidates, random, tried)
    if nearest is not None:
        book.region_waits.observe(wanted.queue, nearest.ahead_s, now)
    if best is None:
        return explain_closed(service, wanted, now)
    ratio = book.errors.find_ratio(wanted.queue, best.target.region, now)
    return _admit(wanted, best, ratio)


def is_conclusive(placed: Placement | Absent, asked: QueriedTargets) -> bool:
    """Whether asking further keepers would gain little for a request."""
    if isinstance(placed, Absent) or placed.is_remote:
        return False
    quote = asked.quotes.get(placed.target.entry.id)
    if quote is None or placed.ahead_s > CONCLUSIVE_WAIT_S:
        return False
    return quote.in_flight < SETTLED_FILL * placed.target.entry.slots


def _find_best(
    book: TargetRegistry,
    look: Look,
    candidates: Iterable[TargetState],
    random: Random,
    tried: PreviousAttempts,
) -> tuple[Placement | None, Placement | None]:
    """Return the best placement of all, and the best one of this region."""
    best: Placement | None = None
    nearest: Placement | None = None
    best_cost = nearest_cost = float("inf")
    resort: Placement | None = None
    for target in candidates:
        placed = estimate(look, target)
        if _is_doubtful(book, target, look.now):
            if resort is None or placed.first_event_s < resort.first_event_s:
                resort = placed
            continue
        cost = score(look, placed) + TIE_S * random.random()
        if target.entry.id in tried.failed:
            cost += FAILED_COST_S
        if cost < best_cost:
            best, best_cost = placed, cost
        if not placed.is_remote and cost < nearest_cost:
            nearest, nearest_cost = placed, cost
    return best or resort, nearest


def _pick_away(
    book: TargetRegistry,
    wanted: PlacementRequest,
    around: PlacementContext,
    now: float,
    random: Random,
    tried: PreviousAttempts,
) -> list[TargetState]:
    """
    Return one target of each other region: the owner of the prompt, or any.

    A host of that region makes the choice among its targets.
    """
    picked = []
    homes = wanted.route.home_regions
    for region in around.remote_rtt_s:
        if region in tried.regions or (homes and region not in homes):
            continue
        if (wanted.service, region) in around.closed:
            continue
        open_ = [
            target
            for target in book.in_region(wanted.service, region)
            if _can_reach(target, around, tried, now)
        ]
        targets = [t for t in open_ if not _is_doubtful(book, t, now)] or open_
        if targets:
            owners = _rank_owners(book, wanted, region)
            by_id = {target.entry.id: target for target in targets}
            owned = [by_id[name] for name in owners if name in by_id]
            picked.append(owned[0] if owned else random.choice(targets))
    return picked


def _rank_owners(
    book: TargetRegistry, wanted: PlacementRequest, region: str
) -> tuple[str, ...]:
    part = find_shared_part(wanted.prompt)
    if not part:
        return ()
    service = wanted.service
    return book.owners.rank(
        f"{service} {region}", part, book.in_region(service, region)
    )


def _look_up(
    book: TargetRegistry,
    wanted: PlacementRequest,
    around: PlacementContext,
    now: float,
    candidates: Iterable[TargetState],
    asked: QueriedTargets | None,
) -> Look:
    speed = book.speed(wanted.service)
    cached: dict[str, int] = {}
    richest: dict[str, TargetState] = {}
    part = find_shared_part(wanted.prompt)
    prompt = wanted.prompt
    if prompt is not None:
        for target in candidates:
            quote = asked.quotes.get(target.entry.id) if asked else None
            if quote:
                speed.observe_fill(quote.in_flight, target.entry.slots, now)
            held = (
                quote.cached_tokens
                if quote
                else target.cache.count_cached(prompt.parts)
            )
            cached[target.entry.id] = held
            most = richest.get(target.region)
            if part and (most is None or held > cached[most.entry.id]):
                richest[target.region] = target
    return Look(
        wanted,
        around,
        now,
        speed,
        book.region_waits,
        cached,
        richest,
        book.find_first_urgency(wanted.service, wanted.route.urgency),
        hash_name(part) if part else None,
        asked.quotes if asked else None,
    )


def _can_reach(
    target: TargetState, around: PlacementContext, tried: PreviousAttempts, now: float
) -> bool:
    """Whether a target takes requests, and this host may send it one."""
    if not target.open or target.entry.id in tried.targets:
        return False
    if target.region == around.region:
        return target.availability.is_open(now) and _may_send(target, around, now)
    # A target is busy for the host that it told so alone.
    return not (target.availability.is_shut(now) or target.cold.is_cold(now))


def _admit(
    wanted: PlacementRequest, best: Placement, ratio: float
) -> Placement | Absent:
    """
    Admit a request that can be answered within its aim; refuse it at once else.

    ``ratio`` is how much longer than expected answers take at times. One that was
    sent before is worth its time as long as there is any. One that
    has nothing before it gains nothing by coming again, and only its answer
    tells whether the estimate is right.
    """
    aim_s = wanted.route.aim_s
    if best.ahead_s <= 0.0 and wanted.elapsed_s < aim_s:
        return best
    over_s = wanted.elapsed_s + ratio * best.first_event_s - aim_s
    if over_s <= 0.0 or (wanted.committed and best.first_event_s < wanted.left_s):
        return best
    detail = f"first event expected after {best.first_event_s:.3f} s x {ratio:.2f}"
    return Absent(Reason.OVERLOADED, max(MIN_RETRY_AFTER_S, over_s), detail)


def _may_send(target: TargetState, around: PlacementContext, now: float) -> bool:
    senders = around.cold_senders.get(target.entry.id)
    if senders is None:
        return not target.cold.is_cold(now)
    return target.cold.may_send(senders, now)


def _is_doubtful(book: TargetRegistry, target: TargetState, now: float) -> bool:
    """Whether a target is used only where no other is to be had."""
    health = target.health
    if health.is_ejected(now) or now < health.paused_until:
        return True
    if (health.on_probation or health.refusals > 0) and target.flights:
        return True
    return _is_overdue(book, target, now)


def _is_overdue(book: TargetRegistry, target: TargetState, now: float) -> bool:
    """Whether a target is silent for longer than its work explains."""
    flight = target.oldest_waiting()
    if flight is None:
        return False
    waited = now - flight.sent_at
    if waited < LEAST_OVERDUE_S or now - target.last_contact_at < LEAST_OVERDUE_S:
        return False
    speed = book.speed(target.entry.service)
    pace = max(1.0, target.pace.find(now))
    if target.service is None or target.service.engine is None:
        return waited > OVERDUE_FACTOR * speed.service_s * pace
    tokens = max(flight.ahead + flight.tokens, target.count_ahead(LEAST_URGENCY, now))
    work_s = speed.estimate_read_s(tokens)
    if not flight.placed_at_once:
        work_s += speed.stay_s
    return waited > OVERDUE_FACTOR * work_s * pace
