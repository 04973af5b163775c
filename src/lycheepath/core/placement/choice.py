"""
Chooses the target of one request, or says why it is refused.

Each candidate gets an estimate of the time to its first event: what is to be
read there before, what of the prompt itself isn't cached, and the way to
another region. The lowest estimate wins if it is within the caller's aim;
beyond, the request is refused while it still can come back in time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..hosts.rendezvous import hash_name, mix
from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from ..catalog.model import Route
    from ..serving.requests import Prompt
    from .book import TargetBook, TargetState

# What a request to another region costs beyond its way there and back, as
# time: its bytes are priced, and it depends on more.
AWAY_COST_S = 0.05
# Preference of one owner for each shared part while no host knows better.
OWNER_BONUS_S = 0.005
# A target is taken for silent when nothing came for this long, and for this
# many times what its work should take.
LEAST_OVERDUE_S = 0.25
OVERDUE_FACTOR = 3.0
MOST_URGENCY = 9
# Equal targets are drawn among, so that hosts don't all take the first one.
TIE_S = 0.002
# A target that answered with a failure is asked again only if others take
# longer by this.
FAILED_COST_S = 0.1
# Estimates are off by about this factor at the tail.
LATE_FACTOR = 1.0
MIN_RETRY_AFTER_S = 0.3


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request as the choice sees it; ``elapsed_s`` since it came."""

    route: Route
    service: str
    prompt: Prompt | None
    elapsed_s: float
    left_s: float


@dataclass(frozen=True, slots=True)
class Surroundings:
    """
    Where this host stands.

    ``away_s`` is the time to and from each other region that can be reached.
    ``cold_senders`` are the hosts that share a cold target here, ``None`` for
    targets that this host leaves to others.
    """

    region: str
    away_s: Mapping[str, float]
    cold_senders: Mapping[str, int | None]


@dataclass(frozen=True, slots=True)
class Tried:
    """
    Where a request was sent before.

    ``targets`` and ``regions`` did not answer and are left out; ``failed`` are
    targets that answered with a failure, which the next answer need not be.
    """

    targets: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()


NOT_TRIED = Tried()


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen target with the estimate that decided."""

    target: TargetState
    first_s: float
    cached_tokens: int
    away: bool


def choose_target(
    book: TargetBook,
    wanted: Wanted,
    around: Surroundings,
    now: float,
    random: Random,
    tried: Tried = NOT_TRIED,
) -> Placement | Absent:
    """Return where the request goes, or why it is refused and until when."""
    best: Placement | None = None
    best_score = float("inf")
    resort: Placement | None = None
    homes = wanted.route.home_regions
    service = book.of_service(wanted.service)
    for target in service:
        if homes and target.region not in homes:
            continue
        if not _can_reach(target, around, tried, now):
            continue
        placed = _estimate(book, wanted, target, around, now)
        if _is_doubtful(target, now) or _is_overdue(book, target, now):
            if resort is None or placed.first_s < resort.first_s:
                resort = placed
            continue
        score = placed.first_s + (AWAY_COST_S if placed.away else 0.0)
        if target.entry.id in tried.failed:
            score += FAILED_COST_S
        score -= _owner_bonus(wanted, target) + TIE_S * random.random()
        if score < best_score:
            best, best_score = placed, score
    best = best or resort
    if best is None:
        detail = "no target is open" if service else "the service has no targets"
        return Absent(Reason.NO_TARGET, 1.0, detail)
    return _admit(wanted, best)


def _can_reach(
    target: TargetState, around: Surroundings, tried: Tried, now: float
) -> bool:
    """Whether a target takes requests, and this host may send it one."""
    if not target.open or target.entry.id in tried.targets:
        return False
    if target.region == around.region:
        return _may_send(target, around, now)
    return target.region in around.away_s and target.region not in tried.regions


def _admit(wanted: Wanted, best: Placement) -> Placement | Absent:
    route = wanted.route
    expected = wanted.elapsed_s + best.first_s
    if expected <= route.aim_s * LATE_FACTOR:
        return best
    over = expected - route.aim_s * LATE_FACTOR
    detail = f"first event expected after {best.first_s:.3f} s"
    return Absent(Reason.OVERLOADED, max(MIN_RETRY_AFTER_S, over), detail)


def _estimate(
    book: TargetBook,
    wanted: Wanted,
    target: TargetState,
    around: Surroundings,
    now: float,
) -> Placement:
    away_s = around.away_s.get(target.region, 0.0)
    away = target.region != around.region
    speed = book.speed(wanted.service)
    prompt = wanted.prompt
    if prompt is None:
        slots = max(1, target.entry.slots)
        over = max(0, target.count_in_flight(now) + 1 - slots)
        first_s = speed.service_s * (1.0 + over / slots)
        return Placement(target, first_s + away_s, 0, away)
    cached = target.cache.count_cached(prompt.parts)
    ahead = target.count_ahead(wanted.route.urgency, now)
    first_s = speed.estimate_first_s(ahead + prompt.tokens - cached)
    return Placement(target, first_s + away_s, cached, away)


def _owner_bonus(wanted: Wanted, target: TargetState) -> float:
    """Spread unknown prompts by their shared part, the same on all hosts."""
    prompt = wanted.prompt
    if prompt is None or not prompt.parts:
        return 0.0
    shared = prompt.parts[-2] if len(prompt.parts) > 1 else prompt.parts[0]
    point = mix(hash_name(shared.id), hash_name(target.entry.id)) & 0xFFFF
    return OWNER_BONUS_S * point / 0xFFFF


def _may_send(target: TargetState, around: Surroundings, now: float) -> bool:
    senders = around.cold_senders.get(target.entry.id, 1)
    if senders is None:
        return not target.cold.is_cold(now)
    return target.cold.may_send(senders, now)


def _is_overdue(book: TargetBook, target: TargetState, now: float) -> bool:
    """Whether a target is silent for longer than its work explains."""
    waited = target.oldest_wait_s(now)
    if waited < LEAST_OVERDUE_S or now - target.contact_at < LEAST_OVERDUE_S:
        return False
    speed = book.speed(target.entry.service)
    if target.service is None or target.service.engine is None:
        return waited > OVERDUE_FACTOR * speed.service_s
    work = speed.estimate_first_s(target.count_ahead(MOST_URGENCY, now))
    return waited > OVERDUE_FACTOR * work


def _is_doubtful(target: TargetState, now: float) -> bool:
    health = target.health
    if health.is_ejected(now) or now < health.paused_until:
        return True
    return (health.on_probation or health.refusals > 0) and bool(target.flights)
