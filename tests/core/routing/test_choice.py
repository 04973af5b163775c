from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from lycheepath.core.reasons import Absent, Reason
from lycheepath.core.routing.choice import (
    Choice,
    ResidencyError,
    assert_residency,
)
from lycheepath.core.routing.reports import FailureKind, LoadReport
from lycheepath.core.routing.request import RoutedRequest, hash_prefix

if TYPE_CHECKING:
    from lycheepath.core.routing.router import Router


def build_request(
    name: str = "r",
    blocks: tuple[int, ...] = (),
    bound: str | None = None,
    deadline: float = 60.0,
    prompt_tokens: int = 2000,
) -> RoutedRequest:
    return RoutedRequest(
        id=name,
        model="chat",
        prefix_blocks=blocks,
        prompt_tokens=prompt_tokens,
        max_tokens=100,
        priority=5,
        deadline=deadline,
        home_region="region-0",
        bound_region=bound,
    )


def test_hash_prefix_is_a_chain_bound_to_the_model() -> None:
    first = {"role": "system", "content": "x" * 1024}
    other = [first, {"role": "user", "content": "b" * 1024}]
    chain = hash_prefix("chat", [first, {"role": "user", "content": "a" * 1024}])
    assert chain[:4] == hash_prefix("chat", other)[:4]
    assert chain[5:] != hash_prefix("chat", other)[5:]
    assert not set(chain) & set(hash_prefix("other", other))


def test_choice_follows_a_warm_prefix_until_its_runner_is_busy(
    router: Router,
) -> None:
    blocks = tuple(range(1, 30))
    warm = router.choose(build_request("warm", blocks), 0.0)
    assert isinstance(warm, Choice)
    router.record_send(build_request("warm", blocks), warm, 0.0)
    router.registry.record_first_token("warm", 0.5)
    router.registry.record_completion("warm", 1.0, 20)
    for number in range(4):
        request = build_request(f"r{number}", blocks)
        choice = router.choose(request, 1.0)
        assert choice and choice.target == warm.target
        router.record_send(request, choice, 1.0)
    spread = set()
    for number in range(4, 12):
        request = build_request(f"r{number}", blocks)
        choice = router.choose(request, 1.0)
        assert choice
        router.record_send(request, choice, 1.0)
        spread.add(choice.target)
    assert len(spread) > 1


@pytest.mark.parametrize("region", ["region-0", "region-1"])
def test_choice_never_leaves_the_bound_region(router: Router, region: str) -> None:
    for number in range(40):
        request = build_request(f"r{number}", bound=region)
        choice = router.choose(request, 0.0)
        if isinstance(choice, Absent):
            continue
        assert choice.region == region
        router.record_send(request, choice, 0.0)
    for number in range(2):
        router.registry.set_draining(f"{region}-runner-{number}")
    refusal = router.choose(build_request(bound=region), 0.0)
    assert isinstance(refusal, Absent)
    assert refusal.reason is Reason.NO_TARGET


def test_residency_is_asserted_before_sending() -> None:
    with pytest.raises(ResidencyError):
        assert_residency(build_request(bound="region-0"), "region-1")


def test_choice_skips_a_target_that_says_it_leaves(router: Router) -> None:
    for number in range(2):
        router.registry.apply_load_report(
            f"region-0-runner-{number}", LoadReport(running=0, draining=True), 1.0
        )
    choice = router.choose(build_request(), 1.0)
    assert choice and choice.region == "region-1"


def test_choice_refuses_at_once_what_cannot_meet_its_deadline(
    router: Router,
) -> None:
    refusal = router.choose(build_request(deadline=0.2), 0.0)
    assert isinstance(refusal, Absent)
    assert refusal.reason is Reason.DEADLINE
    assert refusal.retry_after_s > 0.0


def test_failing_targets_are_ejected_but_never_all(router: Router) -> None:
    for number in range(200):
        request = build_request(f"r{number}", bound="region-0")
        choice = router.choose(request, number * 0.01)
        assert isinstance(choice, Choice)
        router.record_send(request, choice, number * 0.01)
        router.registry.record_failure(request.id, FailureKind.ERROR, number * 0.01)
    views = [view for view in router.registry.views() if view.region == "region-0"]
    assert sum(view.ejected_until > 2.0 for view in views) == 1
