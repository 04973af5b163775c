from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.model import RouteKind
from lycheepath.core.serving.retries import MAX_SENDS, Result, Tries, may_send_again
from tests.core.catalog.test_routes import make_route


@pytest.mark.parametrize("result", [Result.LOST, Result.FAILED])
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_request_that_may_run_once_is_not_sent_again_after_it_may_have_run(
    kind: RouteKind, result: Result
) -> None:
    route = replace(make_route("/"), kind=kind, max_attempts=5)
    attempts = Tries()
    attempts.note(result)
    assert not may_send_again(route, attempts, result)


def test_request_that_may_run_once_is_sent_again_if_it_has_not_run() -> None:
    route = replace(make_route("/"), kind=RouteKind.UNSAFE, max_attempts=1)
    attempts = Tries()
    attempts.note(Result.NOT_RUN)
    assert may_send_again(route, attempts, Result.NOT_RUN)


def test_request_that_may_have_run_is_not_sent_again_after_a_later_refusal() -> None:
    route = replace(make_route("/"), kind=RouteKind.UNSAFE)
    attempts = Tries()
    attempts.note(Result.LOST)
    attempts.note(Result.NOT_RUN)
    assert not may_send_again(route, attempts, Result.NOT_RUN)


def test_safe_request_runs_at_no_more_targets_than_its_route_allows() -> None:
    route = replace(make_route("/"), max_attempts=2)
    attempts = Tries()
    attempts.note(Result.LOST)
    assert may_send_again(route, attempts, Result.LOST)
    attempts.note(Result.LOST)
    assert not may_send_again(route, attempts, Result.LOST)


def test_attempts_are_bounded_even_if_none_runs() -> None:
    attempts = Tries()
    for _ in range(MAX_SENDS):
        attempts.note(Result.NOT_RUN)
    assert not may_send_again(make_route("/"), attempts, Result.NOT_RUN)
