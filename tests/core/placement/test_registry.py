from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.catalog import Catalog
from lycheepath.core.catalog.changes import Delta, Snapshot
from lycheepath.core.catalog.model import CallerLimits, Configuration, Service
from lycheepath.core.placement.registry import TargetRegistry
from lycheepath.core.serving.requests import PromptPart
from tests.core.placement.test_choice import POOL, ROUTE, ZONES, make_entry


def test_cold_time_is_counted_once_for_each_announcement() -> None:
    """The registry is updated each second, even while the store is unavailable."""
    cold = replace(make_entry(1), cold_s=3.0)
    configuration = Configuration(1, (ROUTE,), {"pool": POOL}, CallerLimits())
    catalog = Catalog()
    catalog.replace(Snapshot((configuration, cold), 1), 0.0, False)
    registry = TargetRegistry()
    for second in range(5):
        registry.update(catalog, ZONES, float(second))
    assert not registry.targets["i-1"].cold.is_cold(3.5)

    catalog.apply(Delta((replace(cold, sequence=2),), 2), 5.0, False)
    registry.update(catalog, ZONES, 5.0)
    assert registry.targets["i-1"].cold.is_cold(7.5)


UNLIMITED = replace(POOL, cold_per_s=0.0)


@pytest.mark.parametrize("before", [None, {}, {"pool": UNLIMITED}])
def test_cold_limit_is_that_of_a_configuration_after_the_target(
    before: dict[str, Service] | None,
) -> None:
    """Targets may be listed before a configuration names their service or its rate."""
    cold = replace(make_entry(1), cold_s=3.0)
    catalog = Catalog()
    first = () if before is None else (make_configuration(1, before),)
    catalog.replace(Snapshot((*first, cold), 1), 0.0, False)
    registry = TargetRegistry()
    registry.update(catalog, ZONES, 0.0)
    assert not registry.targets["i-1"].cold.is_cold(1.0)

    catalog.apply(Delta((make_configuration(2, {"pool": POOL}),), 2), 1.0, False)
    registry.update(catalog, ZONES, 1.0)
    assert registry.targets["i-1"].cold.is_cold(2.9)
    assert not registry.targets["i-1"].cold.is_cold(3.1)


def test_prompt_cache_has_the_size_that_a_later_configuration_names() -> None:
    catalog = Catalog()
    catalog.replace(Snapshot((make_entry(1),), 1), 0.0, False)
    registry = TargetRegistry()
    registry.update(catalog, ZONES, 0.0)
    assert POOL.engine is not None
    for share, kept in ((1.0, 100), (100 / POOL.engine.kv_tokens, 0)):
        tokens = int(POOL.engine.kv_tokens * share)
        service = replace(POOL, engine=replace(POOL.engine, kv_tokens=tokens))
        configuration = make_configuration(catalog.version + 1, {"pool": service})
        catalog.apply(Delta((configuration,), 2), 1.0, False)
        registry.update(catalog, ZONES, 1.0)
        target = registry.targets["i-1"]
        part = PromptPart("a", 100)
        if kept:
            target.cache.use([part])
        assert target.cache.count_cached([part]) == kept


def make_configuration(version: int, services: dict[str, Service]) -> Configuration:
    """Return a configuration that names some services."""
    return Configuration(version, (ROUTE,), services, CallerLimits())
