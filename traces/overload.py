"""
Measures goodput under overload and the time to recover.

``python -m traces.overload DEPLOYMENT [POLICY,POLICY]`` finds the capacity
(the highest rate of answers within their deadline that the core's policy
reaches at any of ``PROBED_RATES_PER_S``), then replays a step to twice that
rate. For each policy it prints the goodput during the step as a share of the
capacity, and the seconds from the end of the step until the time to first token
has recovered. A third argument gives the capacity in answers per second instead
of measuring it.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from .deployments import DEPLOYMENTS
from .figures import find_percentile
from .generator import DAY_S, synthesise_step
from .policies import POLICIES
from .replay import Replay

if TYPE_CHECKING:
    from .replay import Outcome

STEP_START_S = 40.0
STEP_END_S = 100.0
WARM_UP_S = 10.0
PROBED_RATES_PER_S = (18.0, 24.0, 30.0, 36.0, 42.0, 48.0)
BASE_SHARE = 0.5
BUCKET_S = 2.0
RECOVERED_FACTOR = 2.0


def main(arguments: list[str]) -> None:
    """Print the table for one deployment."""
    name = arguments[0]
    policies = arguments[1].split(",") if len(arguments) > 1 else list(POLICIES)
    capacity = float(arguments[2]) if len(arguments) > 2 else find_capacity(name)
    print(f"\n### {name}: capacity {capacity:.1f} answers/s\n")
    print("| policy | goodput/capacity | normal after s | attempts/answer |")
    print("|---|---|---|---|")
    for policy in policies:
        outcomes = _replay_step(name, policy, BASE_SHARE * capacity, 2 * capacity)
        goodput = _measure_goodput(outcomes) / capacity
        attempts = sum(outcome.attempts for outcome in outcomes)
        answers = sum(outcome.finish_s is not None for outcome in outcomes)
        recovery = _measure_recovery_s(outcomes)
        print(
            f"| {policy} | {goodput:.3f} | {recovery:.0f} | {attempts / answers:.2f} |"
        )


def find_capacity(deployment: str) -> float:
    """Return the highest goodput of the core's policy in answers per second."""
    return max(
        _measure_goodput(_replay_step(deployment, "ours", rate, rate))
        for rate in PROBED_RATES_PER_S
    )


def _replay_step(
    deployment: str, policy: str, base_rate: float, peak_rate: float
) -> list[Outcome]:
    trace = synthesise_step(
        DEPLOYMENTS[deployment], base_rate, peak_rate, STEP_START_S, STEP_END_S
    )
    replay = Replay(trace, policy)
    return replay.run().outcomes


def _measure_goodput(outcomes: list[Outcome]) -> float:
    """Return the answers per second that met their deadline, after the warm-up."""
    start = STEP_START_S + WARM_UP_S
    ends = [
        outcome.request.at_s + outcome.finish_s
        for outcome in outcomes
        if outcome.finish_s is not None
        and outcome.finish_s <= outcome.request.deadline_s
    ]
    return sum(start <= end < STEP_END_S for end in ends) / (STEP_END_S - start)


def _measure_recovery_s(outcomes: list[Outcome]) -> float:
    """
    Return the seconds from the end of the step until latency has recovered.

    Latency has recovered when the p95 time to first token is at most
    ``RECOVERED_FACTOR`` times the one before the step; a refused request counts
    with its deadline.
    """
    recovered_p95_s = RECOVERED_FACTOR * find_percentile(
        _list_first_token_times(outcomes, WARM_UP_S, STEP_START_S), 0.95
    )
    bucket_start = DAY_S - BUCKET_S
    while bucket_start >= STEP_END_S:
        times = _list_first_token_times(outcomes, bucket_start, bucket_start + BUCKET_S)
        if find_percentile(times, 0.95) > recovered_p95_s:
            return bucket_start + BUCKET_S - STEP_END_S
        bucket_start -= BUCKET_S
    return 0.0


def _list_first_token_times(
    outcomes: list[Outcome], start: float, end: float
) -> list[float]:
    return [
        outcome.request.deadline_s
        if outcome.first_token_s is None or outcome.refused
        else outcome.first_token_s
        for outcome in outcomes
        if start <= outcome.request.at_s < end
    ]


if __name__ == "__main__":
    main(sys.argv[1:])
