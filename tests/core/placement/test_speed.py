from __future__ import annotations

import random

import pytest

from lycheepath.core.placement.accuracy import PRIOR_RATIO
from lycheepath.core.placement.speed import INITIAL_SERVICE_S, SpeedModel


@pytest.mark.parametrize("token_s", [9e-6, 2.7e-5])
@pytest.mark.parametrize("base_s", [0.0, 0.05, 0.12])
def test_model_finds_the_base_and_the_speed(token_s: float, base_s: float) -> None:
    model = SpeedModel()
    draw = random.Random(3)
    for _ in range(300):
        tokens = draw.randrange(300, 60_000)
        noise = draw.uniform(0.8, 1.2)
        model.observe_read(base_s + tokens * token_s * noise, tokens)
    assert model.token_s == pytest.approx(token_s, rel=0.15)
    for tokens in (2_000, 20_000, 50_000):
        expected = base_s + tokens * token_s
        assert model.estimate_read_s(tokens) == pytest.approx(
            expected, rel=0.2, abs=0.03
        )


def test_model_follows_a_change_of_speed() -> None:
    model = SpeedModel()
    for token_s in (1e-5, 4e-5):
        for step in range(300):
            tokens = 1000 + 100 * step
            model.observe_read(0.03 + tokens * token_s, tokens)
    assert model.token_s == pytest.approx(4e-5, rel=0.15)


def test_model_handles_equal_observations() -> None:
    model = SpeedModel()
    for _ in range(2000):
        model.observe_read(0.2, 9000)
    assert model.estimate_read_s(9000) == pytest.approx(0.2, rel=0.1)


@pytest.mark.parametrize(("reads_before", "reads_after"), [(10, 0), (300, 0), (0, 20)])
def test_reads_that_were_held_up_leave_later_requests_admitted(
    reads_before: int, reads_after: int
) -> None:
    model = SpeedModel()
    draw = random.Random(5)
    for reads, shortest_s, longest_s in (
        (reads_before, 0.03, 0.06),
        (8, 2.0, 4.0),
        (reads_after, 0.03, 0.06),
    ):
        for _ in range(reads):
            took_s = draw.uniform(shortest_s, longest_s)
            model.observe_read(took_s, draw.randrange(300, 1_500))
    # Behind another prompt, at a target that needs 0.03 s for an event.
    objective_s, event_interval_s = 0.4, 0.03
    expected_s = model.estimate_read_s(2 * 1_000) + event_interval_s
    assert PRIOR_RATIO * expected_s < objective_s


def test_model_finds_engines_that_are_far_slower_than_assumed() -> None:
    model = SpeedModel()
    slow_s = 0.25
    assert model.estimate_read_s(500) < slow_s / 4.0
    for _ in range(40):
        model.observe_read(slow_s, 500)
    assert model.estimate_read_s(500) == pytest.approx(slow_s, rel=0.1)


@pytest.mark.parametrize("answers_before", [0, 5, 100])
def test_first_answers_that_were_held_up_leave_later_requests_admitted(
    answers_before: int,
) -> None:
    model = SpeedModel()
    for _ in range(answers_before):
        model.observe_answer(INITIAL_SERVICE_S, INITIAL_SERVICE_S)
    # As the trace of a host that had just started: its first four answers took 0.9 s.
    for _ in range(4):
        model.observe_answer(0.9, 0.9)
    assert PRIOR_RATIO * model.begin_s < 0.4


def test_relayed_answers_correct_times_that_are_too_long_and_no_others() -> None:
    model = SpeedModel()
    for _ in range(60):
        model.observe_answer(0.9, 0.9)
    assert model.begin_s > 0.8
    for _ in range(60):
        model.observe_relayed_answer(0.04)
    assert model.begin_s < 0.1
    for _ in range(60):
        model.observe_relayed_answer(0.5)
    assert model.begin_s < 0.1


def test_model_finds_services_that_are_far_slower_than_assumed() -> None:
    model = SpeedModel()
    for _ in range(60):
        model.observe_answer(0.5, 0.8)
    assert model.begin_s == pytest.approx(0.5, rel=0.1)
    assert model.service_s == pytest.approx(0.8, rel=0.1)
