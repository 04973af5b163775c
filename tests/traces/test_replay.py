"""Latency and cost targets of the policy, on recorded traces with replay seed 1."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import pytest

from traces.deployments import DEPLOYMENTS
from traces.figures import compute_figures
from traces.generator import RECORDED_FOLDER, synthesise_step
from traces.replay import Replay
from traces.trace import read_trace

if TYPE_CHECKING:
    from traces.figures import Figures


@lru_cache
def replay(deployment: str, scenario: str, policy: str) -> Figures:
    run = Replay(
        read_trace(RECORDED_FOLDER / f"{deployment}-{scenario}.csv.gz"), policy
    )
    run.run()
    return compute_figures(run)


KNOWN_RED = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, issue 5")


@pytest.mark.parametrize(
    "scenario", [pytest.param("region-lost", marks=KNOWN_RED), "runner-slow"]
)
def test_excise_tail_is_half_of_least_in_flight(scenario: str) -> None:
    ours = replay("excise", scenario, "ours")
    baseline = replay("excise", scenario, "least-in-flight")
    assert ours.first_p99 <= baseline.first_p99 / 2


@pytest.mark.parametrize("scenario", ["day", "runner-slow", "hot-prefix"])
def test_bridal_prefills_a_third_less_at_no_worse_tail(scenario: str) -> None:
    ours = replay("bridal", scenario, "ours")
    baseline = replay("bridal", scenario, "least-in-flight")
    assert ours.prefill <= baseline.prefill * 2 / 3
    assert ours.first_p99 <= baseline.first_p99


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_flood_of_one_team_keeps_tail_of_others_at_half_of_baseline(
    deployment: str,
) -> None:
    ours = replay(deployment, "flood", "ours")
    baseline = replay(deployment, "flood", "least-in-flight")
    assert ours.first_p99 <= baseline.first_p99 / 2


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_runner_with_errors_causes_no_refusal(deployment: str) -> None:
    assert replay(deployment, "runner-errors", "ours").refused == 0.0


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_day_without_faults_is_served_completely_and_mostly_locally(
    deployment: str,
) -> None:
    ours = replay(deployment, "day", "ours")
    assert ours.refused == 0.0
    assert (
        ours.away_share <= replay(deployment, "day", "least-in-flight").away_share / 2
    )


def test_retries_do_not_sustain_an_overload() -> None:
    """At most 1.1 attempts per answer, and no refusal 50 s after the load step."""
    trace = synthesise_step(DEPLOYMENTS["excise"], 12.0, 50.0, 20.0, 50.0)
    outcomes = Replay(trace, "ours").run().outcomes
    answers = sum(outcome.finish_s is not None for outcome in outcomes)
    assert sum(outcome.attempts for outcome in outcomes) <= 1.1 * answers
    late = [outcome for outcome in outcomes if outcome.request.at_s > 100.0]
    assert not any(outcome.refused for outcome in late)
