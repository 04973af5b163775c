from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.model import RouteKind
from lycheepath.core.serving.attempts import (
    MAX_SENDS,
    AttemptCounts,
    AttemptResult,
    may_start_another,
)
from tests.core.catalog.test_routes import make_route


@pytest.mark.parametrize("result", [AttemptResult.LOST, AttemptResult.FAILED])
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_request_that_may_run_once_is_not_sent_again_after_it_may_have_run(
    kind: RouteKind, result: AttemptResult
) -> None:
    route = replace(make_route("/"), kind=kind, max_attempts=5)
    attempts = AttemptCounts()
    attempts.record(result)
    assert not may_start_another(route, attempts)


def test_request_that_may_run_once_is_sent_again_if_it_has_not_run() -> None:
    route = replace(make_route("/"), kind=RouteKind.UNSAFE, max_attempts=1)
    attempts = AttemptCounts()
    attempts.record(AttemptResult.NOT_RUN)
    assert may_start_another(route, attempts)


def test_request_that_may_have_run_is_not_sent_again_after_a_later_refusal() -> None:
    route = replace(make_route("/"), kind=RouteKind.UNSAFE)
    attempts = AttemptCounts()
    attempts.record(AttemptResult.LOST)
    attempts.record(AttemptResult.NOT_RUN)
    assert not may_start_another(route, attempts)


def test_safe_request_runs_at_no_more_targets_than_its_route_allows() -> None:
    route = replace(make_route("/"), max_attempts=2)
    attempts = AttemptCounts()
    attempts.record(AttemptResult.LOST)
    assert may_start_another(route, attempts)
    attempts.record(AttemptResult.LOST)
    assert not may_start_another(route, attempts)


def test_attempts_are_bounded_even_if_none_runs() -> None:
    attempts = AttemptCounts()
    for _ in range(MAX_SENDS):
        attempts.record(AttemptResult.NOT_RUN)
    assert not may_start_another(make_route("/"), attempts)


def test_attempts_in_flight_count_as_runs() -> None:
    route = replace(make_route("/"), max_attempts=2)
    attempts = AttemptCounts()
    attempts.start()
    assert may_start_another(route, attempts)
    attempts.start()
    assert not may_start_another(route, attempts)
    attempts.end(AttemptResult.NOT_RUN)
    assert may_start_another(route, attempts)
    attempts.end(AttemptResult.LOST)
    assert (attempts.sends, attempts.runs, attempts.in_flight) == (2, 1, 0)


def test_request_that_may_run_once_is_not_sent_beside_one_in_flight() -> None:
    route = replace(make_route("/"), kind=RouteKind.UNSAFE, max_attempts=5)
    attempts = AttemptCounts()
    attempts.start()
    assert not may_start_another(route, attempts)
