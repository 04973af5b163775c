from __future__ import annotations

import random

import pytest

from lycheepath.core.placement.accuracy import (
    LEAST_EXPECTED_S,
    LEAST_RATIO,
    LEAST_SEEN,
    LEVEL,
    MOST_RATIO,
    PRIOR_RATIO,
    SEEN_WITHIN_S,
    EstimateErrors,
    Expected,
)
from lycheepath.core.placement.region_waits import Queue

POOL = Queue("pool", 0)


def observe(errors: EstimateErrors, ratio: float, count: int, now: float) -> None:
    for _ in range(count):
        errors.observe(Expected(POOL, 0.4), "east", 0.4 * ratio, now)


def test_ratio_is_the_prior_until_enough_answers_were_seen() -> None:
    errors = EstimateErrors()
    assert errors.find_ratio(POOL, "east", 0.0) == PRIOR_RATIO
    observe(errors, 0.5, LEAST_SEEN - 1, 0.0)
    assert errors.find_ratio(POOL, "east", 0.0) == PRIOR_RATIO
    observe(errors, 0.5, 1, 0.0)
    assert errors.find_ratio(POOL, "east", 0.0) == LEAST_RATIO
    observe(errors, 1.5, 40, 0.0)
    assert errors.find_ratio(POOL, "east", 0.0) == pytest.approx(1.5)


def test_most_answers_come_within_their_corrected_estimates() -> None:
    errors = EstimateErrors()
    draw = random.Random(4)
    within = 0
    for step in range(2000):
        now = step * 0.05
        seen_s = 0.4 * draw.lognormvariate(0.1, 0.5)
        if step >= 100:
            within += seen_s <= 0.4 * errors.find_ratio(POOL, "east", now)
        errors.observe(Expected(POOL, 0.4), "east", seen_s, now)
    assert within / 1900 == pytest.approx(LEVEL, abs=0.04)


def test_ratios_of_queues_and_regions_are_kept_apart() -> None:
    errors = EstimateErrors()
    observe(errors, 3.0, 20, 0.0)
    assert errors.find_ratio(POOL, "west", 0.0) == PRIOR_RATIO
    assert errors.find_ratio(Queue("books", 0), "east", 0.0) == PRIOR_RATIO
    # What is read last says nothing of what is read first.
    assert errors.find_ratio(Queue("pool", 1), "east", 0.0) == PRIOR_RATIO


def test_ratio_forgets_a_bad_second_soon() -> None:
    errors = EstimateErrors()
    observe(errors, 6.0, 50, 0.0)
    observe(errors, 1.1, 64, 1.0)
    assert errors.find_ratio(POOL, "east", 1.0) == pytest.approx(1.1)
    assert errors.find_ratio(POOL, "east", 1.1 + SEEN_WITHIN_S) == PRIOR_RATIO


def test_short_estimates_tell_nothing_and_one_answer_little() -> None:
    errors = EstimateErrors()
    for _ in range(20):
        errors.observe(Expected(POOL, LEAST_EXPECTED_S / 2), "east", 9.0, 0.0)
    assert errors.find_ratio(POOL, "east", 0.0) == PRIOR_RATIO
    observe(errors, 1.0, 19, 0.0)
    errors.observe(Expected(POOL, 0.4), "east", 400.0, 0.0)
    assert errors.find_ratio(POOL, "east", 0.0) == pytest.approx(1.0)
    observe(errors, 400.0, 40, 0.0)
    assert errors.find_ratio(POOL, "east", 0.0) == MOST_RATIO
