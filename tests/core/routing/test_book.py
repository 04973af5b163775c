from __future__ import annotations

from random import Random

import pytest

from lycheepath.core.routing.choice import Choice, estimate_slowness
from lycheepath.core.routing.locality import MAX_BLOCKS_PER_TARGET, LocalityRecord
from lycheepath.core.routing.reports import (
    CacheEvent,
    CacheEventKind,
    FailureKind,
    LoadReport,
    ModelState,
)
from lycheepath.core.routing.router import Router
from lycheepath.core.routing.targets import InFlightError

from .conftest import build_environment
from .test_choice import build_request

SICK = "region-0-runner-0"


def run(router: Router, name: str, now: float, blocks: tuple[int, ...] = ()) -> str:
    """Send a request bound to region 0 and return its target."""
    request = build_request(name, blocks, bound="region-0", deadline=now + 60.0)
    choice = router.choose(request, now)
    assert isinstance(choice, Choice)
    router.record_send(request, choice, now)
    return choice.target


def test_slow_target_is_avoided_before_its_first_token_comes(router: Router) -> None:
    router.registry.set_draining("region-0-runner-1")
    run(router, "stuck", 0.0)
    router.registry.set_draining("region-0-runner-1", False)
    view = next(view for view in router.registry.views() if view.id == SICK)
    assert estimate_slowness(view, 10.0) > 5.0
    assert all(run(router, f"r{n}", 10.0) != SICK for n in range(3))


def test_dead_region_is_left_after_few_refusals_and_tried_again() -> None:
    router = Router("host-region-0", "region-0", Random(2))
    router.apply(build_environment(2, 3))
    refused = 0
    for number in range(100):
        now = number * 0.02
        request = build_request(f"r{number}", deadline=now + 60.0)
        choice = router.choose(request, now)
        assert isinstance(choice, Choice)
        router.record_send(request, choice, now)
        if choice.region == "region-0":
            refused += 1
            router.registry.record_failure(request.id, FailureKind.REFUSED, now)
        else:
            router.registry.record_completion(request.id, now, 10)
    assert 0 < refused <= 9
    for number in range(3):
        router.registry.apply_load_report(
            f"region-0-runner-{number}", LoadReport(0), 2.5
        )
    assert run(router, "back", 3.0).startswith("region-0")


def test_a_probe_that_streams_does_not_close_the_only_target() -> None:
    router = Router("host-region-0", "region-0", Random(2))
    router.apply(build_environment(1, 1))
    run(router, "refused", 0.0)
    router.registry.record_failure("refused", FailureKind.REFUSED, 0.0)
    run(router, "last resort while paused", 0.1)
    run(router, "probe", 1.0)
    run(router, "beside the probe", 1.1)
    router.registry.record_first_token("probe", 1.2)
    view = router.registry.views()[0]
    assert not view.on_probation


def test_paused_targets_are_no_candidates_while_any_other_is_left() -> None:
    """With more targets than a decision samples."""
    router = Router("host-region-0", "region-0", Random(2))
    router.apply(build_environment(1, 40))
    healthy = "region-0-runner-7"
    for number in range(40):
        router.registry.apply_load_report(
            f"region-0-runner-{number}", LoadReport(0), 0.0
        )
    for number in range(39):
        request = build_request(f"r{number}", deadline=90.0)
        choice = router.choose(request, 0.0, frozenset({healthy}))
        assert isinstance(choice, Choice)
        router.record_send(request, choice, 0.0)
        router.registry.record_failure(request.id, FailureKind.REFUSED, 0.0)
    for number in range(4):
        assert run(router, f"h{number}", 0.1) == healthy


def test_wrong_answers_eject_at_once_and_one_probe_returns(router: Router) -> None:
    target = run(router, "wrong", 0.0)
    router.registry.record_failure("wrong", FailureKind.WRONG_ANSWER, 0.0)
    assert run(router, "other", 0.1) != target
    router.registry.record_completion("other", 0.2, 10)
    probes = [run(router, f"p{n}", 6.0) for n in range(4)]
    assert probes.count(target) <= 1


def test_cancelled_requests_are_no_failures(router: Router) -> None:
    for number in range(20):
        run(router, f"r{number}", 0.0)
        router.registry.record_failure(f"r{number}", FailureKind.CANCELLED, 0.0)
    assert all(view.failure_ratio == 0.0 for view in router.registry.views())


def test_absent_model_costs_its_load_time(router: Router) -> None:
    states = {"chat": ModelState.ABSENT}
    router.registry.apply_load_report(SICK, LoadReport(0, models=states), 0.0)
    environment = build_environment(store=True)
    router.apply(environment)
    assert all(run(router, f"r{n}", 0.0) != SICK for n in range(4))


def test_late_and_gappy_cache_events_are_survived(router: Router) -> None:
    stored, removed = CacheEventKind.STORED, CacheEventKind.REMOVED
    events = [CacheEvent(5, stored, 11), CacheEvent(9, removed, 11)]
    router.registry.cache_events(SICK, events)
    router.registry.cache_events(SICK, [CacheEvent(6, stored, 11)])
    assert router.registry.cached_tokens(build_request(blocks=(11,))) == {}
    router.registry.cache_events(SICK, [CacheEvent(10, removed, 99)])


def test_record_holds_the_prompt_until_the_target_restarts(router: Router) -> None:
    blocks = tuple(range(1, 11))
    target = run(router, "first", 0.0, blocks)
    router.registry.record_first_token("first", 0.1)
    assert router.registry.cached_tokens(build_request(blocks=blocks))[target] == 640
    run(router, "again", 1.0, blocks)
    router.registry.restarted(target)
    assert target not in router.registry.cached_tokens(build_request(blocks=blocks))


def test_locality_record_is_bounded() -> None:
    record = LocalityRecord()
    record.add_target("t", 10**9)
    for start in range(0, 3 * MAX_BLOCKS_PER_TARGET, 32):
        record.store("t", range(start, start + 32))
    assert record.size() == MAX_BLOCKS_PER_TARGET


def test_one_request_cannot_be_in_flight_twice(router: Router) -> None:
    run(router, "same", 0.0)
    with pytest.raises(InFlightError):
        run(router, "same", 0.0)
