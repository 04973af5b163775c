"""A stream goes on only at targets of the software version that began it."""

from __future__ import annotations

from dataclasses import replace

from lycheepath.core.catalog.model import EngineFacts
from lycheepath.core.placement.loads import TargetLoad
from lycheepath.core.placement.model import Placement
from lycheepath.core.reasons import Absent, Reason
from tests.core.placement.test_choice import (
    POOL,
    choose,
    chosen_id,
    make_entry,
    make_prompt,
    make_registry,
    make_request,
)

OLD = replace(make_entry(1), version="v1")
NEW = replace(make_entry(2), version="v2")
FAR = replace(make_entry(3, "west-a"), version="v1")


def test_bound_request_goes_to_a_target_of_its_version() -> None:
    registry = make_registry(OLD, NEW)
    registry.record_prompt_parts(registry.targets["i-2"], make_prompt().parts)
    assert chosen_id(choose(registry)) == "i-2"
    bound = replace(make_request(), version="v1")
    assert chosen_id(choose(registry, bound)) == "i-1"


def test_bound_request_goes_to_another_region_if_only_that_has_its_version() -> None:
    registry = make_registry(FAR, NEW)
    bound = replace(make_request(), version="v1")
    placed = choose(registry, bound)
    assert isinstance(placed, Placement)
    assert placed.is_remote


def test_bound_request_without_a_target_of_its_version_is_refused() -> None:
    registry = make_registry(NEW)
    for version in ("v1", ""):
        refused = choose(registry, replace(make_request(), version=version))
        assert isinstance(refused, Absent)
        assert refused.reason is Reason.NO_TARGET
        assert "which began the stream" in refused.detail


def test_request_of_unknown_version_goes_to_no_target_of_unknown_version() -> None:
    registry = make_registry(make_entry(1))
    assert isinstance(choose(registry, replace(make_request(), version="")), Absent)


def test_cached_parts_are_fetched_only_from_targets_of_the_same_version() -> None:
    engine = EngineFacts(128, 400_000, 7, fetch_token_s=1.7e-6)
    pool = replace(POOL, engine=engine)
    registry = make_registry(OLD, NEW, pool=pool)
    registry.record_prompt_parts(registry.targets["i-1"], make_prompt().parts)
    registry.apply_peer_load("h", "i-1", TargetLoad(100, {0: 900_000}, 0.05), 0.0)
    placed = choose(registry)
    assert chosen_id(placed) == "i-2"
    assert isinstance(placed, Placement)
    assert placed.fetch_from == ""
    same = make_registry(OLD, replace(NEW, version="v1"), pool=pool)
    same.record_prompt_parts(same.targets["i-1"], make_prompt().parts)
    same.apply_peer_load("h", "i-1", TargetLoad(100, {0: 900_000}, 0.05), 0.0)
    fetched = choose(same)
    assert isinstance(fetched, Placement)
    assert fetched.fetch_from == OLD.address
