"""
The choice of a target for one request.

Each candidate gets an estimate of the time to the first token and to the end
and a score in seconds, in which the environment's weights set the processor
time of prefilling tokens again against the caller's wait. The lowest score
wins. Every choice carries the scores of the best candidates, for
``lycheepath explain``.
"""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING, NamedTuple

from ..reasons import Absent, Reason
from .health import PROBES_AT_ONCE
from .reports import ModelState
from .subset import sample_candidates

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

    from .facts import Facts
    from .request import RoutedRequest
    from .targets import TargetView

REPORT_TRUST_S = 5.0
EXPLAINED_CANDIDATES = 8
PAUSED = "paused after refused connections"
UNPROVEN = "on probation, which a retry does not probe"
PROBED = "on probation with a probe in flight"
LAST_RESORTS = (PAUSED, UNPROVEN, PROBED)
DEFAULT_SERVICE_S = 2.0
HALF_LOADED_SHARE = 0.5
FAILURE_COST_S = 4.0
TIE_S = 0.02
ALWAYS_OPEN_LOAD = 1.0
MIN_RETRY_AFTER_S = 0.5
LENGTH_MARGIN = 2.0


class ResidencyError(AssertionError):
    """A request bound to a region was about to leave it."""


class Score(NamedTuple):
    """
    One candidate as the choice saw it; all times in seconds.

    A named tuple, since one is built for each candidate of each request.

    ``score_s`` is what was compared, lowest first. ``wait_s`` is the part of
    the time to the first token that other requests cause, ``load`` the
    estimated number of requests there, ``fill`` its share of the slots.
    """

    target: str
    region: str
    score_s: float
    first_token_s: float
    finish_s: float
    wait_s: float
    cached_tokens: int
    load: float
    fill: float


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen target with its estimates and the reasons for it."""

    target: str
    region: str
    first_token_s: float
    finish_s: float
    cached_tokens: int
    is_remote: bool
    scores: tuple[Score, ...]
    rejected: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class _Scored:
    """
    The scores, best first, and why other targets have none.

    ``accepting`` are those that take more work, ``in_time`` those of them that
    should finish by the deadline.
    """

    scores: Sequence[Score]
    accepting: Sequence[Score]
    in_time: Sequence[Score]
    rejected: Mapping[str, str]


def choose_target(
    request: RoutedRequest,
    views: Sequence[TargetView],
    cached: Mapping[str, int],
    facts: Facts,
    now: float,
    random: Random,
    excluded: frozenset[str] = frozenset(),
) -> Choice | Absent:
    """
    Return the best target, or why there is none and when to come back.

    ``cached`` holds the tokens of the prompt that each target probably has
    in its cache. Draining and ejected targets, those outside the bound region
    and ``excluded`` ones, which the request has tried, are never chosen.
    """
    preferred = [view for view in views if view.id in facts.subset]
    sample = sample_candidates(preferred, cached, request.home_region, random)
    scored = _score_all(request, sample, cached, facts, now, excluded, False)
    if not scored.in_time and (scored.rejected or len(sample) < len(views)):
        scored = _score_all(request, views, cached, facts, now, excluded, True)
    if not scored.scores:
        return _explain_absence(request, views)
    if not scored.accepting:
        return _refuse_full(scored.scores, facts)
    if not scored.in_time:
        return _refuse_late(views)
    best = _break_tie(scored.in_time, random)
    assert_residency(request, best.region)
    return Choice(
        target=best.target,
        region=best.region,
        first_token_s=best.first_token_s,
        finish_s=best.finish_s,
        cached_tokens=best.cached_tokens,
        is_remote=best.region != request.home_region,
        scores=tuple(scored.scores[:EXPLAINED_CANDIDATES]),
        rejected=scored.rejected,
    )


def assert_residency(request: RoutedRequest, region: str) -> None:
    """Raise ``ResidencyError`` if the request may not enter the region."""
    if request.bound_region is not None and request.bound_region != region:
        raise ResidencyError(
            f"request {request.id} is bound to {request.bound_region}, not {region}"
        )


def make_scorer(
    request: RoutedRequest, facts: Facts, now: float
) -> Callable[[TargetView, int], Score]:
    """
    Return the function that scores a target with its cached tokens.

    What depends on the request alone is looked up once.
    """
    prompt_tokens = request.prompt_tokens
    max_cached = max(0, prompt_tokens - 1)
    home = request.home_region
    cost = facts.weights.cost
    tail = facts.weights.tail_latency
    pressure = tail if facts.policy.scale_cost_by_load else 0.0
    away_cost_s = facts.policy.remote_cost_s
    delay_s = facts.delay_s

    def score(view: TargetView, cached_tokens: int) -> Score:
        cached = min(cached_tokens, max_cached)
        region = view.region
        load = estimate_load(view, now)
        fill = load / view.slots
        slowness = estimate_slowness(view, now)
        prefill_s = (prompt_tokens - cached) / view.prefill_tokens_per_s
        wait_s = view.prefill_tokens / view.prefill_tokens_per_s * slowness
        if fill >= 1.0:
            wait_s += _slot_wait_s(view, load)
        first_token_s = wait_s + prefill_s * slowness + 2.0 * delay_s.get(region, 0.0)
        if view.model_states:
            first_token_s += _load_model_s(request.model, view, facts)
        decode_s = _expect_tokens(request, view, facts) / view.decode_tokens_per_s
        score_s = (
            tail * first_token_s
            + prefill_s * view.accelerators * (cost + pressure * fill)
            + view.failure_ratio * FAILURE_COST_S
        )
        if region != home:
            score_s += cost * away_cost_s
        return Score(
            view.id,
            region,
            score_s,
            first_token_s,
            first_token_s + decode_s * view.decode_slowness,
            wait_s,
            cached,
            load,
            fill,
        )

    return score


def estimate_load(view: TargetView, now: float) -> float:
    """
    Return the estimated number of requests at a target.

    Own requests are known. Those of others are discounted by the age of the
    report that told of them.
    """
    age = max(0.0, now - view.measured_at)
    others = view.others * REPORT_TRUST_S / (REPORT_TRUST_S + age)
    return view.in_flight + others


def estimate_slowness(view: TargetView, now: float) -> float:
    """
    Return how much slower than expected a target now is.

    A request that still waits counts as soon as it is overdue, not only when
    its first token comes.
    """
    if view.oldest_wait_at >= now:
        return view.slowness
    overdue = (now - view.oldest_wait_at) / view.oldest_wait_estimate_s
    return max(view.slowness, overdue)


def _find_candidates(
    request: RoutedRequest,
    views: Sequence[TargetView],
    now: float,
    excluded: frozenset[str],
    rejected: dict[str, str],
) -> tuple[list[TargetView], list[TargetView]]:
    """Return the candidates and the last resorts; note why others are neither."""
    candidates = []
    last_resorts = []
    for view in views:
        reason = _reject(request, view, now, excluded)
        if reason is None:
            candidates.append(view)
            continue
        if reason in LAST_RESORTS:
            last_resorts.append(view)
        if len(rejected) < EXPLAINED_CANDIDATES:
            rejected[view.id] = reason
    return candidates, last_resorts


def _reject(
    request: RoutedRequest, view: TargetView, now: float, excluded: frozenset[str]
) -> str | None:
    if request.model not in view.models:
        return "does not serve the model"
    if request.bound_region not in (None, view.region):
        return "outside the bound region"
    if view.draining:
        return "draining"
    if now < view.ejected_until:
        return "ejected"
    if view.id in excluded:
        return "tried already"
    if now < view.paused_until:
        return PAUSED
    if view.on_probation and excluded:
        return UNPROVEN
    if view.on_probation and view.in_flight >= PROBES_AT_ONCE:
        return PROBED
    return None


def _explain_absence(request: RoutedRequest, views: Sequence[TargetView]) -> Absent:
    serving = [view for view in views if request.model in view.models]
    if not serving:
        return Absent(Reason.NO_SUCH_MODEL, detail=f"no runner for {request.model}")
    if request.bound_region is not None:
        serving = [view for view in serving if view.region == request.bound_region]
        if not serving:
            return Absent(
                Reason.RESIDENCY, detail=f"no runner in {request.bound_region}"
            )
    return Absent(Reason.NO_TARGET, MIN_RETRY_AFTER_S, "all runners drain or are out")


def _score_all(
    request: RoutedRequest,
    views: Sequence[TargetView],
    cached: Mapping[str, int],
    facts: Facts,
    now: float,
    excluded: frozenset[str],
    with_last_resorts: bool,
) -> _Scored:
    """
    Return the scores of the targets that may serve the request.

    Last resorts are scored only where there is no other candidate at all.
    """
    rejected: dict[str, str] = {}
    candidates, last_resorts = _find_candidates(request, views, now, excluded, rejected)
    if with_last_resorts and not candidates:
        candidates = last_resorts
    score = make_scorer(request, facts, now)
    scores = [score(view, cached.get(view.id, 0)) for view in candidates]
    scores.sort(key=attrgetter("score_s"))
    base = _find_base(request, candidates, facts)
    accepting = _keep_open(scores, base, facts)
    in_time = [score for score in accepting if now + score.finish_s <= request.deadline]
    return _Scored(scores, accepting, in_time, rejected)


def _find_base(
    request: RoutedRequest, candidates: Sequence[TargetView], facts: Facts
) -> str:
    """Return the region where a request need not look for spare capacity."""
    if any(view.region == request.home_region for view in candidates):
        return request.home_region
    return facts.region


def _keep_open(scores: Sequence[Score], home: str, facts: Facts) -> list[Score]:
    policy = facts.policy
    return [
        score
        for score in scores
        if (score.wait_s <= policy.engine_wait_s or score.load <= ALWAYS_OPEN_LOAD)
        and (score.region == home or score.fill <= policy.spill_load)
    ]


def _refuse_full(scores: Sequence[Score], facts: Facts) -> Absent:
    shortest = min(score.wait_s for score in scores)
    return Absent(
        Reason.OVERLOADED,
        max(MIN_RETRY_AFTER_S, shortest - facts.policy.engine_wait_s),
        "all runners are full",
    )


def _refuse_late(views: Sequence[TargetView]) -> Absent:
    shortest = min(view.service_s or DEFAULT_SERVICE_S for view in views)
    return Absent(
        Reason.DEADLINE,
        max(MIN_RETRY_AFTER_S, shortest),
        "no runner can answer before the deadline",
    )


def _break_tie(scores: Sequence[Score], random: Random) -> Score:
    limit = scores[0].score_s + TIE_S
    near = [score for score in scores if score.score_s <= limit]
    return random.choice(near)


def _expect_tokens(request: RoutedRequest, view: TargetView, facts: Facts) -> float:
    if not facts.policy.learn_answer_length or view.answer_tokens == 0.0:
        return float(request.max_tokens)
    return min(request.max_tokens, LENGTH_MARGIN * view.answer_tokens)


def _load_model_s(model: str, view: TargetView, facts: Facts) -> float:
    state = view.model_states.get(model, ModelState.LOADED)
    if state is ModelState.LOADED:
        return 0.0
    load_s = facts.load_s.get(model, 0.0)
    return load_s * HALF_LOADED_SHARE if state is ModelState.LOADING else load_s


def _slot_wait_s(view: TargetView, load: float) -> float:
    return (load - view.slots + 1) / view.slots * (view.service_s or DEFAULT_SERVICE_S)
