from __future__ import annotations

from dataclasses import replace

from lycheepath.core.catalog.catalog import LAPSE_GRACE_S, Catalog
from lycheepath.core.catalog.changes import (
    Delta,
    Evacuation,
    EvacuationEnded,
    Snapshot,
    TargetRemoved,
    UnreadableEntry,
)
from lycheepath.core.catalog.model import CallerLimits, Configuration, TargetEntry

TARGET = TargetEntry(
    id="i-1",
    service="books",
    address="10.0.0.1:80",
    zone="zone-a",
    slots=4,
    draining=False,
    cold_s=0.0,
    sequence=5,
    born_ms=0,
)


def make_configuration(version: int) -> Configuration:
    return Configuration(version, (), {}, CallerLimits())


def test_catalog_ignores_an_older_configuration() -> None:
    catalog = Catalog()
    catalog.replace(Snapshot((make_configuration(7),), 10), 0.0, False)
    catalog.apply(Delta((make_configuration(6),), 11), 1.0, False)
    assert catalog.version == 7


def test_catalog_ignores_an_older_reading() -> None:
    catalog = Catalog()
    catalog.replace(Snapshot((TARGET,), 10), 0.0, False)
    assert catalog.replace(Snapshot((), 9), 1.0, False) == []
    assert "i-1" in catalog.targets


def test_catalog_removes_what_a_snapshot_lacks() -> None:
    catalog = Catalog()
    catalog.replace(Snapshot((TARGET, Evacuation("zone-a")), 10), 0.0, False)
    changes = catalog.replace(Snapshot((), 11), 1.0, False)
    assert {change.event for change in changes} == {"target-gone", "evacuation-ended"}
    assert not catalog.targets
    assert not catalog.evacuated


def test_catalog_keeps_entries_that_lapsed_in_an_outage_for_a_while() -> None:
    catalog = Catalog()
    catalog.replace(Snapshot((TARGET,), 10), 0.0, False)
    catalog.apply(Delta((TargetRemoved("i-1"),), 11), 5.0, True)
    assert not catalog.expire(5.0 + LAPSE_GRACE_S - 0.1)
    assert "i-1" in catalog.targets
    assert catalog.expire(5.0 + LAPSE_GRACE_S)
    assert "i-1" not in catalog.targets


def test_catalog_keeps_a_lapsed_entry_that_is_written_again() -> None:
    catalog = Catalog()
    catalog.replace(Snapshot((TARGET,), 10), 0.0, False)
    catalog.replace(Snapshot((), 11), 5.0, True)
    catalog.apply(Delta((replace(TARGET, sequence=6),), 12), 6.0, False)
    assert not catalog.expire(100.0)
    assert "i-1" in catalog.targets


def test_catalog_reports_a_restart_under_the_same_id() -> None:
    catalog = Catalog()
    catalog.replace(Snapshot((TARGET,), 10), 0.0, False)
    changes = catalog.apply(Delta((replace(TARGET, sequence=0),), 11), 1.0, False)
    assert [change.event for change in changes] == ["target-restarted"]


def test_catalog_reports_unreadable_entries_and_keeps_the_others() -> None:
    catalog = Catalog()
    entries = (UnreadableEntry("servers/x", "no zone"), TARGET)
    changes = catalog.replace(Snapshot(entries, 10), 0.0, False)
    assert {change.event for change in changes} == {"entry-unreadable", "target"}


def test_catalog_ends_an_evacuation() -> None:
    catalog = Catalog()
    catalog.apply(Delta((Evacuation("zone-a"),), 1), 0.0, False)
    catalog.apply(Delta((EvacuationEnded("zone-a"),), 2), 0.0, False)
    assert not catalog.evacuated


def test_version_of_a_target_is_kept_when_a_copy_lacks_it() -> None:
    catalog = Catalog()
    known = replace(TARGET, version="v1", born_ms=5)
    catalog.replace(Snapshot((known,), 10), 0.0, False)
    update = replace(known, version="", sequence=6, draining=True)
    catalog.apply(Delta((update,), 11), 1.0, False)
    assert catalog.targets["i-1"].version == "v1"
    restarted = replace(known, version="", sequence=1, born_ms=9)
    catalog.apply(Delta((restarted,), 12), 2.0, False)
    assert catalog.targets["i-1"].version == ""
