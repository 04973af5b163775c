from __future__ import annotations

from dataclasses import replace

from lycheepath.core.catalog.catalog import Catalog
from lycheepath.core.catalog.changes import Delta, Snapshot
from lycheepath.core.catalog.model import CallerLimits, Configuration
from lycheepath.core.placement.cold import ColdRateLimit
from lycheepath.core.placement.registry import TargetRegistry
from tests.core.placement.test_choice import POOL, ROUTE, ZONES, make_entry


def make_limit() -> ColdRateLimit:
    limit = ColdRateLimit()
    limit.set_rate(3.0)
    return limit


def test_target_in_use_that_becomes_cold_gets_no_request_at_once() -> None:
    """What was sent in the second before counts too."""
    limit = make_limit()
    limit.record_send(9.5)
    limit.assume_cold(10.0, 3.0)
    assert not limit.may_send(3, 10.0)
    assert limit.may_send(3, 11.01)


def test_target_that_was_not_in_use_gets_a_request_at_once() -> None:
    limit = make_limit()
    limit.assume_cold(10.0, 3.0)
    assert limit.may_send(3, 10.0)


def test_repeated_word_of_a_cold_target_gives_no_further_request() -> None:
    limit = make_limit()
    limit.apply_announcement(5.0, 10.0)
    limit.record_send(10.0)
    limit.assume_cold(10.1, 3.0)
    assert not limit.may_send(3, 10.2)


def test_health_of_a_target_ends_what_was_assumed() -> None:
    limit = make_limit()
    limit.assume_cold(10.0, 3.0)
    limit.apply_health(1.0, 10.5)
    assert limit.is_cold(11.4)
    assert not limit.is_cold(11.6)


def test_announcement_of_a_new_instance_ends_what_was_assumed() -> None:
    entry = replace(make_entry(1), born_ms=1000)
    configuration = Configuration(1, (ROUTE,), {"pool": POOL}, CallerLimits())
    catalog = Catalog()
    catalog.replace(Snapshot((configuration, entry), 1), 0.0, False)
    registry = TargetRegistry()
    registry.update(catalog, ZONES, 0.0)
    limit = registry.targets["i-1"].cold
    limit.assume_cold(1.0, 9.0)
    started = replace(entry, born_ms=2000, cold_s=1.0)
    catalog.apply(Delta((started,), 2), 2.0, False)
    registry.update(catalog, ZONES, 2.0)
    assert limit.is_cold(2.9)
    assert not limit.is_cold(3.1)
