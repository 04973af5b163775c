"""The stated outcomes, on the recorded traces and the replay's first seed."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import pytest

from traces.deployments import DEPLOYMENTS
from traces.figures import compute_figures
from traces.generator import RECORDED, synthesise_step
from traces.replay import Replay
from traces.trace import read_trace

if TYPE_CHECKING:
    from traces.figures import Figures


@lru_cache
def replay(deployment: str, scenario: str, policy: str) -> Figures:
    run = Replay(read_trace(RECORDED / f"{deployment}-{scenario}.csv.gz"), policy)
    run.run()
    return compute_figures(run)


KNOWN_RED = pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, issue 5")


@pytest.mark.parametrize(
    "scenario", [pytest.param("region-lost", marks=KNOWN_RED), "runner-slow"]
)
def test_excise_tail_is_half_of_least_in_flight(scenario: str) -> None:
    ours = replay("excise", scenario, "ours")
    plain = replay("excise", scenario, "least-in-flight")
    assert ours.first_p99 <= plain.first_p99 / 2


@pytest.mark.parametrize("scenario", ["day", "runner-slow", "hot-prefix"])
def test_bridal_prefills_a_third_less_at_no_worse_tail(scenario: str) -> None:
    ours = replay("bridal", scenario, "ours")
    plain = replay("bridal", scenario, "least-in-flight")
    assert ours.prefill <= plain.prefill * 2 / 3
    assert ours.first_p99 <= plain.first_p99


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_flood_of_one_team_leaves_the_others_in_time(deployment: str) -> None:
    ours = replay(deployment, "flood", "ours")
    plain = replay(deployment, "flood", "least-in-flight")
    assert ours.first_p99 <= plain.first_p99 / 2


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_erring_runner_costs_no_answer(deployment: str) -> None:
    assert replay(deployment, "runner-errors", "ours").refused == 0.0


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_quiet_day_is_served_whole_and_mostly_at_home(deployment: str) -> None:
    ours = replay(deployment, "day", "ours")
    assert ours.refused == 0.0
    assert (
        ours.away_share <= replay(deployment, "day", "least-in-flight").away_share / 2
    )


def test_retries_do_not_sustain_an_overload() -> None:
    """Attempts stay near one for each answer, and the last requests are served."""
    trace = synthesise_step(DEPLOYMENTS["excise"], 12.0, 50.0, 20.0, 50.0)
    outcomes = Replay(trace, "ours").run().outcomes
    answers = sum(outcome.finish_s is not None for outcome in outcomes)
    assert sum(outcome.attempts for outcome in outcomes) <= 1.1 * answers
    late = [outcome for outcome in outcomes if outcome.request.at_s > 100.0]
    assert not any(outcome.refused for outcome in late)
