"""
Explains where a request would go now, and why, without sending it.

The decisions are those for requests of callers (see ``placement.choice``), made from
what this host knows itself: it asks no coordinator, and learns nothing::

    explanation = explain_placement(question, view, now, random)
    explanation.decisions[0].target, explanation.decisions[0].why
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..catalog.teams import find_cost
from ..placement.choice import choose_target
from ..placement.model import PlacementRequest
from ..placement.rate_limit import describe_rate
from ..placement.refusals import (
    COLD,
    DRAINING,
    EVACUATED,
    LEAVING,
    OTHER_VERSION,
    name_state,
)
from ..reasons import Absent
from ..serving.fingerprints import PART, list_features
from ..teams.authorization import DETAILS, Denial

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from ..catalog.model import Route
    from ..catalog.routes import RouteTable
    from ..catalog.teams import Team, TeamLimit
    from ..limits.leases import LimitLevel
    from ..placement.model import ComparedPlacement, Placement, PlacementContext
    from ..placement.registry import TargetRegistry, TargetState
    from ..serving.requests import Prompt

# Largest number of targets and names that are listed; the others are counted.
MAX_LISTED = 100
MAX_NAMED = 20
# States that exclude a target of another region; all others are those towards this host.
REMOTE_STATES = frozenset({LEAVING, EVACUATED, DRAINING, COLD, OTHER_VERSION})
PLACED, REFUSED = "placed", "refused"


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """
    A request as an operator describes it.

    ``team`` is None for a request without a key. ``time_s`` is the time that the caller
    allows, None for that of the route.
    """

    host: str
    path: str
    team: str | None = None
    prompt: Prompt | None = None
    time_s: float | None = None


@dataclass(frozen=True, slots=True)
class PlacementView:
    """
    What a host decides by.

    ``find_level`` returns what is left of a team's limit (None: not known here),
    ``find_block`` why requests with some features are refused, or None.
    ``proof_age_s`` is the time since the configuration was known to be the newest, None
    where requests don't depend on it; ``is_proven`` says that it is recent enough.
    """

    routes: RouteTable | None
    registry: TargetRegistry
    context: PlacementContext
    find_level: Callable[[str], LimitLevel | None]
    find_block: Callable[[Sequence[str]], str | None]
    proof_age_s: float | None = None
    is_proven: bool = True


@dataclass(frozen=True, slots=True)
class UnknownSubject:
    """The question names what this host doesn't know; the text says what to do."""

    text: str


@dataclass(frozen=True, slots=True)
class ComparedTarget:
    """A target that was compared, with its estimates in seconds."""

    target: str
    region: str
    zone: str
    first_event_s: float
    queued_work_s: float
    cost_s: float | None
    cached_tokens: int
    in_flight: int
    slots: int
    round_trip_s: float
    state: str


@dataclass(frozen=True, slots=True)
class ExcludedTarget:
    """A target that wasn't compared, and what excluded it."""

    target: str
    region: str
    reason: str


@dataclass(frozen=True, slots=True)
class ServiceDecision:
    """
    What becomes of requests that go to one service of the route.

    ``share`` is the service's part of them. ``outcome`` is ``placed`` or ``refused``,
    ``excluded_counts`` the number of excluded targets by reason.
    """

    service: str
    share: float
    outcome: str
    why: str
    target: str = ""
    region: str = ""
    retry_after_s: float | None = None
    compared: tuple[ComparedTarget, ...] = ()
    excluded: tuple[ExcludedTarget, ...] = ()
    excluded_counts: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class LimitExplanation:
    """
    A team's limit over all hosts, and what the request would cost.

    The last three are as known at this host (see ``LimitLevel``), None if unknown.
    """

    unit: str
    rate_per_s: float
    burst: float
    cost: float
    left: float | None
    denied_s: float | None
    region_share: float | None


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """
    Where a request would go.

    ``refused`` says why it would be refused before any target is chosen; there are no
    decisions then. ``proof_age_s`` is as in ``PlacementView``.
    """

    route: str
    team: str | None
    configuration: int
    priority: int
    home_regions: tuple[str, ...]
    limit: LimitExplanation | None
    refused: str | None
    decisions: tuple[ServiceDecision, ...] = ()
    notes: tuple[str, ...] = ()
    proof_age_s: float | None = None


def explain_placement(
    question: PlacementQuestion, view: PlacementView, now: float, random: Random
) -> PlacementExplanation | UnknownSubject:
    """Return where a request would go, or what of it isn't known here."""
    table = view.routes
    if table is None:
        return UnknownSubject(
            "This host has no configuration yet. Ask another one, or look for its"
            " log lines on the store."
        )
    route = table.match(question.host, question.path)
    if route is None:
        return _explain_no_route(question, table)
    team: Team | None = None
    if question.team is not None:
        if table.teams is None:
            return UnknownSubject(
                f"Version {table.configuration.version} of the configuration knows no"
                " teams. Leave the team out."
            )
        team = table.teams.find(question.team)
        if team is None:
            known = _name_some(each.name for each in table.teams)
            # The name isn't repeated: it may be a key that was taken for one.
            return UnknownSubject(f"No team has this name. Teams: {known}.")
    return _explain_route(question, view, table, route, team, now, random)


def _explain_route(
    question: PlacementQuestion,
    view: PlacementView,
    table: RouteTable,
    route: Route,
    team: Team | None,
    now: float,
    random: Random,
) -> PlacementExplanation:
    bound = route if team is None else table.bind(route, team)
    limit = None
    if team is not None and team.limit is not None:
        limit = _explain_limit(team.name, team.limit, question.prompt, view)
    refused = _find_refusal(question, view, table, bound, team, limit)
    decisions: tuple[ServiceDecision, ...] = ()
    if refused is None and not isinstance(bound, Absent):
        total = sum(share.weight for share in bound.services) or 1.0
        decisions = tuple(
            _decide(
                question, view, bound, share.service, share.weight / total, now, random
            )
            for share in bound.services
        )
    shown = route if isinstance(bound, Absent) else bound
    return PlacementExplanation(
        route.name or f"{route.host}{route.prefix}",
        question.team,
        table.configuration.version,
        shown.urgency,
        tuple(sorted(shown.home_regions)),
        limit,
        refused,
        decisions,
        _list_notes(view, team, decisions),
        None if view.proof_age_s is None else round(view.proof_age_s, 3),
    )


def _find_refusal(
    question: PlacementQuestion,
    view: PlacementView,
    table: RouteTable,
    bound: Route | Absent,
    team: Team | None,
    limit: LimitExplanation | None,
) -> str | None:
    """Return why the request is refused before a target is chosen, or None."""
    denial = _find_denial(view, table, bound, team)
    if denial is not None:
        return DETAILS[denial]
    if isinstance(bound, Absent):
        return bound.detail
    if team is not None and limit is not None and _is_denied(limit):
        return f"team {team.name} is at its limit for {limit.denied_s:.2f} s"
    parts = question.prompt.shared_parts if question.prompt else ()
    features = list_features(b"", b"", b"", parts)
    return view.find_block([each for each in features if each.startswith(f"{PART} ")])


def _find_denial(
    view: PlacementView, table: RouteTable, bound: Route | Absent, team: Team | None
) -> Denial | None:
    """Return why the request may not run for its key, see ``teams.authorization``."""
    if table.teams is None:
        return None
    if team is None and not isinstance(bound, Absent) and bound.open_to_all:
        return None
    if not view.is_proven:
        return Denial.VIEW_UNPROVEN
    return Denial.NO_KEY if team is None else None


def _is_denied(limit: LimitExplanation) -> bool:
    """Whether a denial lasts, and what is left of a lease doesn't cover the request."""
    return bool(limit.denied_s) and (limit.left or 0.0) < limit.cost


def _explain_limit(
    team: str, limit: TeamLimit, prompt: Prompt | None, view: PlacementView
) -> LimitExplanation:
    tokens = None if prompt is None else prompt.tokens + prompt.max_answer_tokens
    level = view.find_level(team)
    return LimitExplanation(
        "tokens" if limit.counts_tokens else "requests",
        limit.rate,
        limit.burst,
        find_cost(limit, tokens),
        None if level is None else level.left,
        None if level is None else level.denied_s,
        None if level is None else level.region_share,
    )


def _decide(
    question: PlacementQuestion,
    view: PlacementView,
    route: Route,
    service: str,
    share: float,
    now: float,
    random: Random,
) -> ServiceDecision:
    time_s = min(route.timeout_s, question.time_s or route.timeout_s)
    request = PlacementRequest(route, service, question.prompt, 0.0, time_s)
    compared: list[ComparedPlacement] = []
    placed = choose_target(
        view.registry, request, view.context, now, random, compared=compared
    )
    compared.sort(key=lambda each: (each.last_resort, each.cost_s or 0.0))
    known = {each.placement.target.entry.id for each in compared}
    excluded = [
        ExcludedTarget(
            target.entry.id,
            target.region,
            _explain_exclusion(target, request, view, now),
        )
        for target in view.registry.list_service_targets(service)
        if target.entry.id not in known
    ]
    rows = tuple(_describe(each, now) for each in compared[:MAX_LISTED])
    counts = dict(Counter(each.reason for each in excluded))
    listed = tuple(excluded[:MAX_LISTED])
    if isinstance(placed, Absent):
        return ServiceDecision(
            service,
            share,
            REFUSED,
            placed.detail or placed.reason.value,
            retry_after_s=placed.retry_after_s,
            compared=rows,
            excluded=listed,
            excluded_counts=counts,
        )
    return ServiceDecision(
        service,
        share,
        PLACED,
        _explain_choice(placed, compared, route),
        placed.target.entry.id,
        placed.target.region,
        compared=rows,
        excluded=listed,
        excluded_counts=counts,
    )


def _explain_choice(
    placed: Placement, compared: Sequence[ComparedPlacement], route: Route
) -> str:
    rivals = [each for each in compared if not each.last_resort]
    if not rivals:
        return f"no other is left than {len(compared)} that are used as a last resort"
    why = f"lowest cost of {len(rivals)}"
    if placed.first_event_s > route.aim_s:
        why += (
            f"; its first event is expected after the objective of {route.aim_s:g} s, but"
            " no work is queued there"
        )
    if placed.is_remote:
        why += "; a host of its region sends it, and may choose another target there"
    return why


def _describe(each: ComparedPlacement, now: float) -> ComparedTarget:
    placed = each.placement
    target = placed.target
    state = target.describe_trust(now)
    if each.last_resort:
        state = f"last resort, {'silent' if state == 'trusted' else state}"
    return ComparedTarget(
        target.entry.id,
        target.region,
        target.entry.zone,
        round(placed.first_event_s, 4),
        round(placed.queued_work_s, 4),
        None if each.cost_s is None else round(each.cost_s, 4),
        placed.cached_tokens,
        target.count_in_flight(now),
        target.entry.slots,
        round(placed.remote_rtt_s, 4),
        state,
    )


def _explain_exclusion(
    target: TargetState, request: PlacementRequest, view: PlacementView, now: float
) -> str:
    context, region = view.context, target.region
    homes = request.route.home_regions
    if homes and region not in homes:
        return "outside of the home regions"
    state = name_state(target, request, now, context.unreachable)
    if region == context.region or state in REMOTE_STATES:
        return state
    if region not in context.remote_rtt_s:
        return "no host of its region can be reached"
    if (request.service, region) in context.closed_services:
        return "its region had no open target just now"
    return "another target stands for its region"


def _list_notes(
    view: PlacementView, team: Team | None, decisions: Iterable[ServiceDecision]
) -> tuple[str, ...]:
    notes = [
        "Loads are as this host knows them. For a request it asks the coordinators of a"
        " few targets, and takes the best of those."
    ]
    if team is not None:
        notes.append(
            "Fairness between teams isn't predicted: while the service is short of room,"
            " a team over its share of it is refused."
        )
    for decision in decisions:
        target = view.registry.targets.get(decision.target)
        rate = target.availability.rate_limit.rate if target else None
        if rate is not None:
            notes.append(
                f"{decision.target} takes {describe_rate(rate)}; its coordinator may"
                " grant no permit."
            )
    return tuple(notes)


def _explain_no_route(question: PlacementQuestion, table: RouteTable) -> UnknownSubject:
    routes = table.configuration.routes
    prefixes = [route.prefix for route in routes if route.host == question.host]
    if not prefixes:
        hosts = _name_some(dict.fromkeys(route.host for route in routes))
        return UnknownSubject(
            f"No route is for the host {question.host!r}. Hosts with routes: {hosts}."
        )
    return UnknownSubject(
        f"No route of {question.host} is for the path {question.path!r}. Its prefixes:"
        f" {_name_some(prefixes)}."
    )


def _name_some(names: Iterable[str]) -> str:
    named = sorted(names)
    text = ", ".join(named[:MAX_NAMED]) or "none"
    more = len(named) - MAX_NAMED
    return f"{text} and {more} more" if more > 0 else text
