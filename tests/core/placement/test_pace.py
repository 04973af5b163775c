from __future__ import annotations

import random

import pytest

from lycheepath.core.placement.slowdown import HALF_S, MOST_FACTOR, Slowdown


def test_pace_finds_how_slow_a_target_is_from_noisy_answers() -> None:
    pace = Slowdown()
    draw = random.Random(2)
    for step in range(60):
        pace.observe(0.2, 0.2 * 3.0 * draw.lognormvariate(0.0, 0.4), step * 0.1)
    assert pace.find(6.0) == pytest.approx(3.0, rel=0.4)


def test_pace_fades_without_answers_and_no_answer_counts_too_much() -> None:
    pace = Slowdown()
    assert pace.find(0.0) == 1.0
    pace.observe(0.2, 0.8, 0.0)
    assert pace.find(0.0) < 1.5
    for step in range(60):
        pace.observe(0.2, 50.0, step * 0.1)
    assert 0.75 * MOST_FACTOR < pace.find(5.9) <= MOST_FACTOR
    assert pace.find(5.9 + 8 * HALF_S) < 1.3
    pace.observe(0.0, 1.0, 90.0)
    pace.observe(0.2, 0.0, 90.0)
    assert pace.find(90.0) == pytest.approx(1.0, abs=0.05)
