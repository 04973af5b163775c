"""A store that is restored from an older copy, and what a catalog believes of it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from lycheepath.core.catalog.catalog import LAPSE_GRACE_S, Catalog
from lycheepath.core.catalog.changes import (
    Delta,
    Evacuation,
    EvacuationEnded,
    Position,
    Snapshot,
    TargetRemoved,
)
from lycheepath.core.catalog.restores import DOUBT_S
from tests.core.catalog.test_catalog import TARGET, make_configuration
from tests.core.catalog.test_history import follow

if TYPE_CHECKING:
    from lycheepath.core.catalog.changes import Entry

BORN = replace(TARGET, born_ms=1000, sequence=12)
OTHER = replace(TARGET, id="i-2", address="10.0.0.2:80", born_ms=2000)


def make_catalog(*entries: Entry, version: int = 7) -> Catalog:
    """Return a catalog at revision 90 of the first era."""
    catalog = Catalog()
    snapshot = Snapshot((make_configuration(version), *entries), 90, 1)
    catalog.replace(snapshot, 0.0, False)
    return catalog


def restore(catalog: Catalog, *entries: Entry, version: int = 7, era: int = 2) -> None:
    """Apply the snapshot of a store that has come back at revision 80."""
    snapshot = Snapshot((make_configuration(version), *entries), 80, era)
    changes = catalog.replace(snapshot, 10.0, False)
    assert changes[0].event == "store-restored"
    assert catalog.position == Position(era, 80)


def test_changes_after_a_restore_are_applied_at_lower_revisions() -> None:
    catalog = make_catalog(BORN)
    restore(catalog, BORN)
    delta = Delta((make_configuration(9), OTHER, Evacuation("b")), 82, 2)
    catalog.apply(delta, 11.0, False)
    assert catalog.version == 9
    assert catalog.targets.keys() == {"i-1", "i-2"}
    assert catalog.evacuated == {"b"}


def test_second_restore_is_applied_though_the_first_was_not_read() -> None:
    catalog = make_catalog(BORN)
    restore(catalog, BORN, era=3)
    catalog.apply(Delta((OTHER,), 81, 3), 11.0, False)
    assert catalog.targets.keys() == {"i-1", "i-2"}


def test_configuration_does_not_revert_to_that_of_the_copy() -> None:
    catalog = make_catalog(version=9)
    restore(catalog, version=7)
    assert catalog.version == 9


@pytest.mark.parametrize(("revision", "era"), [(90, 1), (95, 1), (79, 2)])
def test_late_content_of_an_earlier_position_changes_nothing_but_the_version(
    revision: int, era: int
) -> None:
    catalog = make_catalog(BORN)
    restore(catalog, BORN)
    late = (make_configuration(8), OTHER, Evacuation("b"))
    catalog.replace(Snapshot(late, revision, era), 11.0, False)
    catalog.apply(Delta((*late, TargetRemoved("i-1")), revision, era), 11.0, False)
    assert catalog.targets == {"i-1": BORN}
    assert not catalog.evacuated
    assert catalog.version == 8
    assert catalog.position == Position(2, 80)


def test_entries_that_the_copy_lacks_are_kept_until_they_are_written_again() -> None:
    catalog = make_catalog(BORN, OTHER, Evacuation("b"), Evacuation("c"))
    restore(catalog)
    assert catalog.targets.keys() == {"i-1", "i-2"}
    assert catalog.evacuated == {"b", "c"}
    again = (replace(BORN, sequence=13), Evacuation("b"))
    catalog.apply(Delta(again, 82, 2), 11.0, False)
    catalog.expire(10.0 + LAPSE_GRACE_S)
    assert catalog.targets.keys() == {"i-1"}
    assert catalog.evacuated == {"b"}


def test_missing_target_is_kept_though_another_host_sends_a_snapshot() -> None:
    catalog = make_catalog(BORN)
    restore(catalog)
    catalog.replace(Snapshot((), 82, 2), 11.0, False)
    assert catalog.targets.keys() == {"i-1"}
    catalog.expire(10.0 + LAPSE_GRACE_S)
    assert not catalog.targets


def test_evacuation_that_is_ended_after_a_restore_ends_at_once() -> None:
    catalog = make_catalog(Evacuation("b"))
    restore(catalog, Evacuation("b"))
    catalog.apply(Delta((EvacuationEnded("b"),), 82, 2), 11.0, False)
    assert not catalog.evacuated


def test_target_that_drains_is_not_ready_again_by_a_copy() -> None:
    draining = replace(BORN, draining=True)
    catalog = make_catalog(draining)
    restore(catalog, replace(BORN, sequence=9))
    catalog.expire(10.0 + DOUBT_S - 0.1)
    assert catalog.targets["i-1"].draining
    catalog.apply(Delta((TargetRemoved("i-1"),), 82, 2), 11.0, False)
    catalog.expire(10.0 + DOUBT_S)
    assert not catalog.targets


def test_older_instance_of_a_target_is_not_used_again() -> None:
    catalog = make_catalog(BORN)
    restore(catalog, replace(BORN, born_ms=900, sequence=40))
    assert catalog.targets["i-1"] == BORN


def test_entry_that_the_store_stands_by_is_believed_in_the_end() -> None:
    """Without a start, an older announcement can't be told from a restart."""
    catalog = make_catalog(replace(TARGET, draining=True, sequence=12))
    restarted = replace(TARGET, sequence=1)
    restore(catalog, restarted)
    changes = catalog.expire(10.0 + DOUBT_S)
    assert [change.event for change in changes] == ["target-restarted"]
    assert not catalog.targets["i-1"].draining


def test_target_that_was_removed_does_not_come_back_by_a_copy() -> None:
    catalog = make_catalog(BORN)
    catalog.apply(Delta((TargetRemoved("i-1"),), 91, 1), 1.0, False)
    restore(catalog, BORN)
    assert not catalog.targets
    catalog.replace(Snapshot((BORN,), 81, 2), 10.5, False)
    assert not catalog.targets
    catalog.apply(Delta((replace(BORN, sequence=13),), 82, 2), 11.0, False)
    assert catalog.targets.keys() == {"i-1"}


@pytest.mark.parametrize("by_snapshot", [False, True])
def test_doubted_target_that_is_removed_is_not_passed_on(by_snapshot: bool) -> None:
    catalog = make_catalog(BORN)
    catalog.apply(Delta((TargetRemoved("i-1"),), 91, 1), 1.0, False)
    restore(catalog, BORN)
    if by_snapshot:
        catalog.replace(Snapshot((), 82, 2), 11.0, False)
    else:
        catalog.apply(Delta((TargetRemoved("i-1"),), 82, 2), 11.0, False)
    started = Catalog()
    follow(catalog, started, 12.0)
    assert not started.targets
    assert not catalog.expire(10.0 + DOUBT_S)


def test_restart_after_a_restore_is_seen_at_a_lower_revision() -> None:
    """Revisions of restarts are compared, and those of the earlier era are higher."""
    reader = make_catalog(TARGET)
    reader.apply(Delta((replace(TARGET, sequence=1),), 95, 1), 1.0, False)
    copier = Catalog()
    follow(reader, copier)
    assert copier.targets["i-1"].restarted_at == 95
    current = replace(TARGET, sequence=8)
    restore(reader, current)
    follow(reader, copier, 10.0)
    reader.apply(Delta((replace(TARGET, sequence=3),), 84, 2), 11.0, False)
    reader.apply(Delta((replace(TARGET, sequence=9),), 85, 2), 12.0, False)
    content = reader.history.since(copier.position, reader.position)
    assert isinstance(content, Delta)
    changes = copier.apply(content, 12.0, False)
    assert [change.event for change in changes] == ["target-restarted"]


def test_host_of_an_earlier_era_gets_a_snapshot() -> None:
    reader = make_catalog(BORN)
    copier = Catalog()
    follow(reader, copier)
    restore(reader, BORN, OTHER)
    follow(reader, copier, 10.0)
    assert copier.position == reader.position
    assert copier.targets == reader.targets
