from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.model import RouteKind
from lycheepath.core.serving.attempts import (
    MOST_SENDS,
    AttemptCounts,
    AttemptResult,
    may_send_again,
)
from tests.core.catalog.test_routes import make_route


@pytest.mark.parametrize("result", [AttemptResult.LOST, AttemptResult.FAILED])
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_request_that_may_run_once_is_not_sent_again_after_it_may_have_run(
    kind: RouteKind, result: AttemptResult
) -> None:
    route = replace(make_route("/"), kind=kind, max_attempts=5)
    tries = AttemptCounts()
    tries.record(result)
    assert not may_send_again(route, tries, result)


def test_request_that_may_run_once_goes_elsewhere_if_it_has_not_run() -> None:
    route = replace(make_route("/"), kind=RouteKind.UNSAFE, max_attempts=1)
    tries = AttemptCounts()
    tries.record(AttemptResult.NOT_RUN)
    assert may_send_again(route, tries, AttemptResult.NOT_RUN)


def test_request_that_may_have_run_is_not_sent_again_after_a_later_refusal() -> None:
    route = replace(make_route("/"), kind=RouteKind.UNSAFE)
    tries = AttemptCounts()
    tries.record(AttemptResult.LOST)
    tries.record(AttemptResult.NOT_RUN)
    assert not may_send_again(route, tries, AttemptResult.NOT_RUN)


def test_safe_request_runs_at_no_more_targets_than_its_route_names() -> None:
    route = replace(make_route("/"), max_attempts=2)
    tries = AttemptCounts()
    tries.record(AttemptResult.LOST)
    assert may_send_again(route, tries, AttemptResult.LOST)
    tries.record(AttemptResult.LOST)
    assert not may_send_again(route, tries, AttemptResult.LOST)


def test_sendings_are_bounded_even_if_none_runs() -> None:
    tries = AttemptCounts()
    for _ in range(MOST_SENDS):
        tries.record(AttemptResult.NOT_RUN)
    assert not may_send_again(make_route("/"), tries, AttemptResult.NOT_RUN)
