"""
The choice of a target for one request.

For each candidate, the time to the first token and to the last one are
estimated, and a score in seconds is computed. The environment's weights balance
the processor time for prefilling tokens that are not cached against the
caller's waiting time. The lowest score wins. Every choice holds the scores of
the best candidates, for ``lycheepath explain``.
"""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import TYPE_CHECKING, NamedTuple

from ..reasons import Absent, Reason
from .health import MAX_CONCURRENT_PROBES
from .reports import ModelState
from .subset import sample_candidates

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

    from .context import RoutingContext
    from .request import RoutedRequest
    from .targets import TargetView

REPORT_HALF_WEIGHT_AGE_S = 5.0
MAX_EXPLAINED_CANDIDATES = 8
PAUSED = "paused after refused connections"
ON_PROBATION = "on probation, which a retry does not probe"
PROBE_IN_FLIGHT = "on probation with a probe in flight"
LAST_RESORTS = (PAUSED, ON_PROBATION, PROBE_IN_FLIGHT)
DEFAULT_SERVICE_TIME_S = 2.0
REMAINING_LOAD_SHARE = 0.5
FAILURE_COST_S = 4.0
TIE_MARGIN_S = 0.02
ALWAYS_ACCEPTING_LOAD = 1.0
MIN_RETRY_AFTER_S = 0.5
ANSWER_LENGTH_MARGIN = 2.0


class ResidencyError(AssertionError):
    """A request bound to a region was about to be sent to another region."""


class Score(NamedTuple):
    """
    The estimates and the score of one candidate; all times in seconds.

    A named tuple, because one is built for each candidate of each request.

    Candidates are compared by ``score_s``, lowest first. ``wait_s`` is the part
    of the time to the first token that other requests cause, ``load`` the
    estimated number of requests at the target, ``fill`` the ratio of ``load``
    to its slots.
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
    """
    The chosen target with its estimates and the scores that it was chosen by.

    ``rejected`` maps targets to the reason why they were not scored.
    """

    target: str
    region: str
    first_token_s: float
    finish_s: float
    cached_tokens: int
    is_remote: bool
    scores: tuple[Score, ...]
    rejected: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class _ScoredTargets:
    """
    The scores, best first, and why other targets were not scored.

    ``accepting`` holds the scores of targets that accept more requests,
    ``in_time`` those of them that are expected to finish by the deadline.
    """

    scores: Sequence[Score]
    accepting: Sequence[Score]
    in_time: Sequence[Score]
    rejected: Mapping[str, str]


def choose_target(
    request: RoutedRequest,
    views: Sequence[TargetView],
    cached: Mapping[str, int],
    context: RoutingContext,
    now: float,
    random: Random,
    excluded: frozenset[str] = frozenset(),
) -> Choice | Absent:
    """
    Return the best target, or why there is none and when to retry.

    ``cached`` holds the number of the prompt's tokens that each target probably
    has in its cache. Never chosen are draining and ejected targets, targets
    outside the bound region, and ``excluded`` ones, to which the request was
    sent in previous attempts.
    """
    preferred = [view for view in views if view.id in context.preferred_targets]
    sample = sample_candidates(preferred, cached, request.home_region, random)
    scored = _score_all(request, sample, cached, context, now, excluded, False)
    if not scored.in_time and (scored.rejected or len(sample) < len(views)):
        scored = _score_all(request, views, cached, context, now, excluded, True)
    if not scored.scores:
        return _explain_absence(request, views)
    if not scored.accepting:
        return _explain_overload(scored.scores, context)
    if not scored.in_time:
        return _explain_deadline(views)
    best = _break_tie(scored.in_time, random)
    assert_residency(request, best.region)
    return Choice(
        target=best.target,
        region=best.region,
        first_token_s=best.first_token_s,
        finish_s=best.finish_s,
        cached_tokens=best.cached_tokens,
        is_remote=best.region != request.home_region,
        scores=tuple(scored.scores[:MAX_EXPLAINED_CANDIDATES]),
        rejected=scored.rejected,
    )


def assert_residency(request: RoutedRequest, region: str) -> None:
    """Raise ``ResidencyError`` if the request may not enter the region."""
    if request.bound_region is not None and request.bound_region != region:
        raise ResidencyError(
            f"request {request.id} is bound to {request.bound_region}, not {region}"
        )


def make_scorer(
    request: RoutedRequest, context: RoutingContext, now: float
) -> Callable[[TargetView, int], Score]:
    """
    Return the function that scores a target with its cached tokens.

    Values that depend on the request alone are computed once.
    """
    prompt_tokens = request.prompt_tokens
    max_cached = max(0, prompt_tokens - 1)
    home_region = request.home_region
    cost_weight = context.weights.cost
    latency_weight = context.weights.tail_latency
    load_weight = latency_weight if context.policy.scale_cost_by_load else 0.0
    remote_cost_s = context.policy.remote_cost_s
    one_way_delay_s = context.one_way_delay_s

    def score(view: TargetView, cached_tokens: int) -> Score:
        cached = min(cached_tokens, max_cached)
        region = view.region
        load = estimate_load(view, now)
        fill = load / view.slots
        slowness = estimate_slowness(view, now)
        prefill_s = (prompt_tokens - cached) / view.prefill_tokens_per_s
        wait_s = view.prefill_tokens / view.prefill_tokens_per_s * slowness
        if fill >= 1.0:
            wait_s += _estimate_slot_wait_s(view, load)
        first_token_s = (
            wait_s + prefill_s * slowness + 2.0 * one_way_delay_s.get(region, 0.0)
        )
        if view.model_states:
            first_token_s += _estimate_model_load_s(request.model, view, context)
        decode_s = (
            _estimate_answer_tokens(request, view, context) / view.decode_tokens_per_s
        )
        score_s = (
            latency_weight * first_token_s
            + prefill_s * view.accelerators * (cost_weight + load_weight * fill)
            + view.failure_ratio * FAILURE_COST_S
        )
        if region != home_region:
            score_s += cost_weight * remote_cost_s
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

    The number of this host's requests is exact. The number of other hosts'
    requests is discounted by the age of the load report that it comes from: by
    half at ``REPORT_HALF_WEIGHT_AGE_S``.
    """
    age = max(0.0, now - view.measured_at)
    others = (
        view.others_in_flight
        * REPORT_HALF_WEIGHT_AGE_S
        / (REPORT_HALF_WEIGHT_AGE_S + age)
    )
    return view.in_flight + others


def estimate_slowness(view: TargetView, now: float) -> float:
    """
    Return how much slower than expected a target currently is.

    A request that still waits for its first token counts as soon as it is
    overdue, not only when that token arrives.
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
    """
    Return the candidates and the last resorts.

    The reason why another target is neither is added to ``rejected``.
    """
    candidates = []
    last_resorts = []
    for view in views:
        reason = _find_rejection(request, view, now, excluded)
        if reason is None:
            candidates.append(view)
            continue
        if reason in LAST_RESORTS:
            last_resorts.append(view)
        if len(rejected) < MAX_EXPLAINED_CANDIDATES:
            rejected[view.id] = reason
    return candidates, last_resorts


def _find_rejection(
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
        return ON_PROBATION
    if view.on_probation and view.in_flight >= MAX_CONCURRENT_PROBES:
        return PROBE_IN_FLIGHT
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
    context: RoutingContext,
    now: float,
    excluded: frozenset[str],
    with_last_resorts: bool,
) -> _ScoredTargets:
    """
    Return the scores of the targets that may serve the request.

    Last resorts are scored only if there is no other candidate.
    """
    rejected: dict[str, str] = {}
    candidates, last_resorts = _find_candidates(request, views, now, excluded, rejected)
    if with_last_resorts and not candidates:
        candidates = last_resorts
    score = make_scorer(request, context, now)
    scores = [score(view, cached.get(view.id, 0)) for view in candidates]
    scores.sort(key=attrgetter("score_s"))
    base_region = _find_base_region(request, candidates, context)
    accepting = _select_accepting(scores, base_region, context)
    in_time = [score for score in accepting if now + score.finish_s <= request.deadline]
    return _ScoredTargets(scores, accepting, in_time, rejected)


def _find_base_region(
    request: RoutedRequest, candidates: Sequence[TargetView], context: RoutingContext
) -> str:
    """
    Return the region whose targets are used at any load.

    In other regions, only targets whose fill is at most ``Policy.spill_load`` are.
    """
    if any(view.region == request.home_region for view in candidates):
        return request.home_region
    return context.region


def _select_accepting(
    scores: Sequence[Score], base_region: str, context: RoutingContext
) -> list[Score]:
    policy = context.policy
    return [
        score
        for score in scores
        if (score.wait_s <= policy.engine_wait_s or score.load <= ALWAYS_ACCEPTING_LOAD)
        and (score.region == base_region or score.fill <= policy.spill_load)
    ]


def _explain_overload(scores: Sequence[Score], context: RoutingContext) -> Absent:
    shortest = min(score.wait_s for score in scores)
    return Absent(
        Reason.OVERLOADED,
        max(MIN_RETRY_AFTER_S, shortest - context.policy.engine_wait_s),
        "all runners are full",
    )


def _explain_deadline(views: Sequence[TargetView]) -> Absent:
    shortest = min(view.service_s or DEFAULT_SERVICE_TIME_S for view in views)
    return Absent(
        Reason.DEADLINE,
        max(MIN_RETRY_AFTER_S, shortest),
        "no runner can answer before the deadline",
    )


def _break_tie(scores: Sequence[Score], random: Random) -> Score:
    limit = scores[0].score_s + TIE_MARGIN_S
    ties = [score for score in scores if score.score_s <= limit]
    return random.choice(ties)


def _estimate_answer_tokens(
    request: RoutedRequest, view: TargetView, context: RoutingContext
) -> float:
    if not context.policy.learn_answer_length or view.answer_tokens == 0.0:
        return float(request.max_tokens)
    return min(request.max_tokens, ANSWER_LENGTH_MARGIN * view.answer_tokens)


def _estimate_model_load_s(
    model: str, view: TargetView, context: RoutingContext
) -> float:
    state = view.model_states.get(model, ModelState.LOADED)
    if state is ModelState.LOADED:
        return 0.0
    model_load_s = context.model_load_s.get(model, 0.0)
    return (
        model_load_s * REMAINING_LOAD_SHARE
        if state is ModelState.LOADING
        else model_load_s
    )


def _estimate_slot_wait_s(view: TargetView, load: float) -> float:
    return (
        (load - view.slots + 1)
        / view.slots
        * (view.service_s or DEFAULT_SERVICE_TIME_S)
    )
