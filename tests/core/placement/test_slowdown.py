from __future__ import annotations

import random

import pytest

from lycheepath.core.placement.slowdown import HALF_LIFE_S, MAX_FACTOR, Slowdown


def test_slowdown_is_found_from_noisy_answers() -> None:
    slowdown = Slowdown()
    draw = random.Random(2)
    for step in range(60):
        slowdown.observe(0.2, 0.2 * 3.0 * draw.lognormvariate(0.0, 0.4), step * 0.1)
    assert slowdown.find(6.0) == pytest.approx(3.0, rel=0.4)


def test_slowdown_decays_without_answers_and_limits_a_single_answer() -> None:
    slowdown = Slowdown()
    assert slowdown.find(0.0) == 1.0
    slowdown.observe(0.2, 0.8, 0.0)
    assert slowdown.find(0.0) < 1.5
    for step in range(60):
        slowdown.observe(0.2, 50.0, step * 0.1)
    assert 0.75 * MAX_FACTOR < slowdown.find(5.9) <= MAX_FACTOR
    assert slowdown.find(5.9 + 8 * HALF_LIFE_S) < 1.3
    slowdown.observe(0.0, 1.0, 90.0)
    slowdown.observe(0.2, 0.0, 90.0)
    assert slowdown.find(90.0) == pytest.approx(1.0, abs=0.05)
