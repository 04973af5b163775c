"""
Shares the room of a service between teams while it is short of room.

Addresses a team that asks for several times the room of a service: without this, each
team loses the same part of its requests, however little it asks for. While requests are
refused for want of room, a team is held back once more of its requests were let through
than its allotment, by weighted max-min fairness over the last seconds::

    request = TeamRequest("books", team, cost, urgency)
    absent = fairness.admit(request, now)
    if absent is not None:
        return refuse(absent.retry_after_s)
    placed = place(request)
    if isinstance(placed, Absent):
        fairness.record_refused(request, placed.reason, now)
    else:
        fairness.record_placed(request, now)

The work per request is constant. Teams are sorted when the level is computed again, at
most once per ``LEVEL_INTERVAL_S``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..placement.returns import ReturnSchedule
from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..catalog.teams import Team

# Time constant of the decay of what was requested and placed, in seconds.
WINDOW_S = 2.0
# Time since the last refusal for want of room for which a service counts as short of it.
SHORTAGE_S = 2.0
# Time from the first requests after a start or a pause until teams are held back, in
# seconds. What was placed since then doesn't show the room before.
SETTLING_S = 1.0
# Longest use of a level, in seconds.
LEVEL_INTERVAL_S = 0.1
# Part of the requests let through that is lost for want of room while the level is right.
# Without losses it isn't known whether there is more room; a team below its allotment
# loses as much. With queues of 0.5 s (tests), the room is used to 0.99.
AIMED_LOSS = 0.03
# What a loss counts where requests can't wait at the targets: the room is used up there
# only with more losses, by chance.
UNQUEUED_LOSS = 0.2
# Change per second of the logarithm of the room, per unit of loss above or below that. 1
# overshoots: losses are known after the ``WINDOW_S`` over which they are averaged.
CORRECTION = 0.5
# Loss above which holding teams back hasn't helped: others use the room up, or requests
# need idle targets. The room grows then, by ``HOPELESS_GROWTH`` as above.
HOPELESS_LOSS = 0.5
HOPELESS_GROWTH = 0.5
# Least room as a part of what was placed lately: without it, few losses by chance make a
# small host's room shrink for seconds.
LEAST_ROOM = 0.9
# Least room in requests of the mean cost, so that a host which let nothing through tries.
LEAST_REQUESTS = 0.5
# Bounds of the time after which a caller that is held back may retry, in seconds.
MIN_RETRY_S = 0.3
MAX_RETRY_S = 3.0
# Largest numbers of teams of a service and of services; the one that was used least
# recently is dropped, and starts again without demand.
MAX_TEAMS = 4_096
MAX_SERVICES = 256
# Growth of the scale at which all sums are divided by it, to stay in the range of floats.
MAX_SCALE = 1e6
# Time after which nothing is left of a sum, in seconds; longer ones aren't told apart.
MAX_ELAPSED_S = 300.0 * WINDOW_S
# Demand, as part of the service's mean cost, below which a team is dropped then.
MIN_DEMAND = 1e-3

# Reasons of refusals for want of room. A request that can't end by its deadline isn't
# among them: it may be too long for idle targets.
SHORTAGE_REASONS = frozenset(
    {Reason.OVERLOADED, Reason.TARGETS_BUSY, Reason.RATE_LIMITED}
)


@dataclass(frozen=True, slots=True)
class TeamRequest:
    """
    A team's request of a service.

    ``cost`` is in tokens, or 1 for a plain request; None if it states none. Such a
    request counts as the mean of its service, 1 if none stated any: otherwise a team could
    evade its allotment by stating nothing. One that ``continues`` an earlier one is
    counted, but not held back.
    """

    service: str
    team: Team
    cost: float | None
    urgency: int
    continues: bool = False


@dataclass(slots=True)
class _TeamUse:
    """
    What a team requested, and what of that was let through to placing, by urgency.

    Sums are in units of the service's scale, see ``_ServiceUse``.
    """

    weight: float
    requested: float = 0.0
    passed: dict[int, float] = field(default_factory=dict)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)

    def find_passed(self, urgency: int) -> float:
        """Return the sum of the requests of an urgency and of more urgent ones."""
        return sum(cost for each, cost in self.passed.items() if each <= urgency)

    def count_passed(self, urgency: int, cost: float) -> None:
        """Count a request that is let through."""
        self.passed[urgency] = self.passed.get(urgency, 0.0) + cost

    def take_back(self, urgency: int, cost: float) -> None:
        """Uncount a request that got no place."""
        self.passed[urgency] = max(0.0, self.passed.get(urgency, 0.0) - cost)


@dataclass(slots=True)
class _ServiceUse:
    """
    What all teams requested of a service, and what of that was placed.

    Instead of all sums decaying, later costs are added with a scale that grows from 1 at
    ``scaled_since``; a sum divided by the scale has decayed to now. ``tried``
    and ``lost`` are what was let through during this shortage, and refused for want of
    room then. Requests have come without a pause since ``loaded_since``. ``room`` is the decayed sum that all teams together may reach, ``level`` the one that
    a team with a weight of 1 may reach.
    """

    scaled_since: float
    teams: dict[str, _TeamUse] = field(default_factory=dict)
    requested: float = 0.0
    requests: float = 0.0
    placed: float = 0.0
    tried: float = 0.0
    lost: float = 0.0
    loaded_since: float = -math.inf
    short_until: float = -math.inf
    unqueued_until: float = -math.inf
    room: float = 0.0
    corrected_at: float = -math.inf
    level: float = math.inf
    level_until: float = -math.inf

    @property
    def mean_cost(self) -> float:
        """The mean cost of a request, 1 before the first."""
        return self.requested / self.requests if self.requests > 0.0 else 1.0

    def find_cost(self, request: TeamRequest) -> float:
        """Return the cost of a request, the mean if it states none."""
        return self.mean_cost if request.cost is None else request.cost

    def find_scale(self, now: float) -> float:
        """Return the scale of costs that are added now."""
        elapsed_s = min(MAX_ELAPSED_S, max(0.0, now - self.scaled_since))
        scale = math.exp(elapsed_s / WINDOW_S)
        if scale <= MAX_SCALE:
            return scale
        self._rescale(scale)
        self.scaled_since = now
        return 1.0

    def find_team(self, team: Team) -> _TeamUse:
        """Return the use of a team, which is the most recently used one then."""
        weight = find_weight(team)
        use = self.teams.pop(team.name, None) or _TeamUse(weight)
        use.weight = weight
        if len(self.teams) >= MAX_TEAMS:
            del self.teams[next(iter(self.teams))]
        self.teams[team.name] = use
        return use

    def find_level(self, scale: float, now: float) -> float:
        """Return the level of all teams, computed again if it is too old."""
        if now < self.level_until:
            return self.level
        self._correct_room(scale, now)
        demands = ((u.requested / scale, u.weight) for u in self.teams.values())
        self.level = compute_level(demands, self.room)
        self.level_until = now + LEVEL_INTERVAL_S
        return self.level

    def begin_shortage(self, scale: float, now: float) -> None:
        """Begin with the room that was used; forget what was lost before."""
        self.room = self.placed / scale
        self.tried = self.lost = 0.0
        self.corrected_at = self.level_until = now

    def is_holding_back(self, now: float) -> bool:
        """Whether teams are held to their allotments."""
        return self.loaded_since + SETTLING_S <= now < self.short_until

    def count_requested(
        self, use: _TeamUse, cost: float, scale: float, now: float
    ) -> None:
        """Count a request, whatever becomes of it."""
        if self.requests < scale:
            self.loaded_since = now
        use.requested += cost * scale
        self.requested += cost * scale
        self.requests += scale

    def take_place_back(self, cost: float, placed_at: float, now: float) -> None:
        """Uncount a place in which a request has not run; ``cost`` is scaled to now."""
        decay = math.exp(min(0.0, placed_at - now) / WINDOW_S)
        self.placed = max(0.0, self.placed - cost * decay)

    def _correct_room(self, scale: float, now: float) -> None:
        loss = min(1.0, self.lost / self.tried) if self.tried > 0.0 else 0.0
        elapsed_s = now - self.corrected_at
        change = HOPELESS_GROWTH if loss > HOPELESS_LOSS else AIMED_LOSS - loss
        self.room *= math.exp(CORRECTION * change * elapsed_s)
        least = max(LEAST_ROOM * self.placed / scale, LEAST_REQUESTS * self.mean_cost)
        self.room = max(self.room, least)
        self.corrected_at = now

    def _rescale(self, scale: float) -> None:
        """Divide all sums by the scale, and drop the teams that are left with nothing."""
        self.requested /= scale
        self.requests /= scale
        self.placed /= scale
        self.tried /= scale
        self.lost /= scale
        least = MIN_DEMAND * self.mean_cost
        for name, use in list(self.teams.items()):
            use.requested /= scale
            use.passed = {each: cost / scale for each, cost in use.passed.items()}
            if use.requested < least:
                del self.teams[name]


class TeamFairness:
    """State of one host: what teams lately requested of each service, and got."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceUse] = {}

    def has_spare_room(self, service: str, now: float) -> bool:
        """
        Whether requests that are held back may be placed where there is room to spare.

        Only where requests wait at targets can room be left to others.
        """
        return now >= self._find_service(service, now).unqueued_until

    def admit(self, request: TeamRequest, now: float) -> Absent | None:
        """
        Return None if a request may be placed, else when its caller may retry.

        A request is compared with its team's requests that are at least as urgent, so
        that a team's less urgent requests don't hold back its others.
        """
        state = self._find_service(request.service, now)
        scale = state.find_scale(now)
        use = state.find_team(request.team)
        cost = state.find_cost(request)
        state.count_requested(use, cost, scale, now)
        if state.is_holding_back(now) and not request.continues:
            passed = use.find_passed(request.urgency) / scale
            allotment = state.find_level(scale, now) * use.weight
            if passed >= allotment:
                return _hold_back(request.team, use, passed, allotment, cost, now)
        state.tried += cost * scale
        use.count_passed(request.urgency, cost * scale)
        return None

    def record_placed(self, request: TeamRequest, now: float) -> None:
        """Record that a request got a place."""
        state = self._find_service(request.service, now)
        state.placed += state.find_cost(request) * state.find_scale(now)

    def record_refused(
        self,
        request: TeamRequest,
        reason: Reason,
        now: float,
        placed_at: float | None = None,
    ) -> None:
        """
        Record why a request has not run, although it may have got a place before.

        What wasn't refused for want of room hasn't used any, and doesn't count.
        """
        state = self._find_service(request.service, now)
        scale = state.find_scale(now)
        use = state.find_team(request.team)
        cost = state.find_cost(request) * scale
        if placed_at is not None:
            state.take_place_back(cost, placed_at, now)
        if reason not in SHORTAGE_REASONS:
            use.requested = max(0.0, use.requested - cost)
            use.take_back(request.urgency, cost)
            state.tried = max(0.0, state.tried - cost)
            return
        if state.is_holding_back(now):
            is_queued = reason is Reason.OVERLOADED
            state.lost += cost if is_queued else UNQUEUED_LOSS * cost
        else:
            # What was refused before teams are held back isn't held against them.
            use.take_back(request.urgency, cost)
            state.tried = max(0.0, state.tried - cost)
        if now >= state.short_until:
            state.begin_shortage(scale, now)
        state.short_until = now + SHORTAGE_S
        if reason is not Reason.OVERLOADED:
            state.unqueued_until = state.short_until

    def record_spare_place_lost(
        self, request: TeamRequest, now: float, placed_at: float
    ) -> None:
        """
        Record that a request which was held back has lost its place in spare room.

        It wasn't let through, so it is no part of what was let through and lost.
        """
        state = self._find_service(request.service, now)
        cost = state.find_cost(request) * state.find_scale(now)
        state.take_place_back(cost, placed_at, now)

    def _find_service(self, service: str, now: float) -> _ServiceUse:
        state = self._services.pop(service, None) or _ServiceUse(now)
        if len(self._services) >= MAX_SERVICES:
            del self._services[next(iter(self._services))]
        self._services[service] = state
        return state


def find_weight(team: Team) -> float:
    """Return the weight of a team: its rate limit, 1 if it has none."""
    limit = team.limit
    return limit.rate if limit is not None and limit.rate > 0.0 else 1.0


def compute_level(demands: Iterable[tuple[float, float]], room: float) -> float:
    """
    Return the level at which teams use the room up; infinite if all demand fits.

    ``demands`` are pairs of a team's demand and weight. A team gets its demand, or the
    level times its weight if that is less.
    """
    ordered = sorted(demands, key=_relate_to_weight)
    weight = math.fsum(each[1] for each in ordered)
    for demand, own_weight in ordered:
        if demand * weight > room * own_weight:
            return max(0.0, room) / weight
        room -= demand
        weight -= own_weight
    return math.inf


def _relate_to_weight(demand: tuple[float, float]) -> float:
    return demand[0] / demand[1]


def _hold_back(
    team: Team,
    use: _TeamUse,
    passed: float,
    allotment: float,
    cost: float,
    now: float,
) -> Absent:
    """Refuse a request; callers return at the rate at which the team is let through."""
    earliest_s = WINDOW_S * math.log(passed / allotment)
    interval_s = min(MAX_RETRY_S, cost * WINDOW_S / allotment)
    earliest_s = min(MAX_RETRY_S, max(MIN_RETRY_S, earliest_s))
    wait_s = use.returns.schedule(earliest_s, interval_s, now)
    detail = f"team {team.name} is over its share of a service that is short of room"
    return Absent(Reason.TEAM_SHARE, wait_s, detail)
