from __future__ import annotations

from dataclasses import replace

from lycheepath.core.catalog.catalog import Catalog
from lycheepath.core.catalog.changes import Delta, Snapshot
from lycheepath.core.catalog.model import CallerLimits, Configuration
from lycheepath.core.placement.registry import TargetRegistry
from tests.core.placement.test_choice import POOL, ROUTE, ZONES, make_entry


def test_cold_time_is_counted_once_for_each_announcement() -> None:
    """The book is brought up each second, also while the store is away."""
    cold = replace(make_entry(1), cold_s=3.0)
    configuration = Configuration(1, (ROUTE,), {"pool": POOL}, CallerLimits())
    catalog = Catalog()
    catalog.replace(Snapshot((configuration, cold), 1), 0.0, False)
    book = TargetRegistry()
    for second in range(5):
        book.update(catalog, ZONES, float(second))
    assert not book.targets["i-1"].cold.is_cold(3.5)

    catalog.apply(Delta((replace(cold, sequence=2),), 2), 5.0, False)
    book.update(catalog, ZONES, 5.0)
    assert book.targets["i-1"].cold.is_cold(7.5)
