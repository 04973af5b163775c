from __future__ import annotations

from dataclasses import replace

from lycheepath.core.catalog.catalog import LAPSE_GRACE_S, Catalog
from lycheepath.core.catalog.changes import (
    Delta,
    Evacuation,
    EvacuationEnded,
    Position,
    Snapshot,
    TargetRemoved,
)
from lycheepath.core.catalog.history import MAX_REMOVALS, History
from tests.core.catalog.test_catalog import TARGET, make_configuration


def follow(reader: Catalog, copier: Catalog, now: float = 0.0) -> None:
    """Copy to a host the changes that a reader has and it lacks."""
    content = reader.history.since(copier.position, reader.position)
    if isinstance(content, Snapshot):
        copier.replace(content, now, False)
    else:
        copier.apply(content, now, False)


def make_pair() -> tuple[Catalog, Catalog]:
    reader = Catalog()
    snapshot = Snapshot((make_configuration(7), TARGET, Evacuation("b")), 10)
    reader.replace(snapshot, 0.0, False)
    copier = Catalog()
    follow(reader, copier)
    return reader, copier


def test_copy_gives_a_host_the_content_of_the_reader() -> None:
    reader, copier = make_pair()
    second = replace(TARGET, id="i-2", address="10.0.0.2:80")
    changes = (second, TargetRemoved("i-1"), EvacuationEnded("b"))
    reader.apply(Delta(changes, 14), 1.0, False)
    follow(reader, copier)
    assert copier.targets == reader.targets == {"i-2": second}
    assert copier.version == 7
    assert not copier.evacuated
    assert copier.revision == 14


def test_announcement_with_only_a_new_sequence_is_no_change() -> None:
    reader, _ = make_pair()
    reader.apply(Delta((replace(TARGET, sequence=6),), 11), 1.0, False)
    assert reader.history.revision == 10
    assert reader.history.since(Position(0, 10), Position(0, 11)) == Delta((), 11)
    late = Catalog()
    follow(reader, late)
    assert late.targets["i-1"].sequence == 6


def test_copier_learns_of_a_restart_that_the_sequence_does_not_show() -> None:
    reader, copier = make_pair()
    reader.apply(Delta((replace(TARGET, sequence=40),), 12), 1.0, False)
    reader.apply(Delta((replace(TARGET, sequence=6),), 13), 2.0, False)
    content = reader.history.since(copier.position, reader.position)
    assert isinstance(content, Delta)
    changes = copier.apply(content, 2.0, False)
    assert [change.event for change in changes] == ["target-restarted"]


def test_copier_learns_of_a_restart_between_two_copies() -> None:
    reader, copier = make_pair()
    reader.apply(Delta((TargetRemoved("i-1"),), 12), 1.0, False)
    reader.apply(Delta((replace(TARGET, sequence=9),), 13), 2.0, False)
    content = reader.history.since(copier.position, reader.position)
    assert isinstance(content, Delta)
    changes = copier.apply(content, 2.0, False)
    assert [change.event for change in changes] == ["target-restarted"]


def test_entry_that_lapsed_and_was_written_again_changes_twice() -> None:
    reader, copier = make_pair()
    reader.apply(Delta((TargetRemoved("i-1"),), 12), 1.0, True)
    assert reader.history.since(Position(0, 10), Position(0, 12)) == Delta(
        (TargetRemoved("i-1"),), 12
    )
    follow(reader, copier, 1.0)
    back = replace(TARGET, sequence=6)
    reader.apply(Delta((back,), 13), 2.0, False)
    follow(reader, copier, 2.0)
    assert reader.targets == copier.targets == {"i-1": back}
    assert not reader.expire(2.0 + LAPSE_GRACE_S)


def test_host_that_lacks_dropped_removals_gets_a_snapshot() -> None:
    history = History()
    history.record("target i-1", TARGET, 5)
    for number in range(MAX_REMOVALS + 1):
        history.record(f"target x-{number}", TargetRemoved(f"x-{number}"), 6 + number)
    as_of = Position(0, 6 + MAX_REMOVALS)
    snapshot = Snapshot((TARGET,), as_of.revision)
    assert history.since(Position(0, 4), as_of) == snapshot
    assert isinstance(history.since(Position(0, 6), as_of), Delta)


def test_reader_that_skipped_changes_sends_a_snapshot() -> None:
    """A target that came and went between its readings is listed by other hosts."""
    reader, copier = make_pair()
    short_lived = replace(TARGET, id="i-2", address="10.0.0.2:80")
    copier.apply(Delta((short_lived,), 12), 1.0, False)
    snapshot = Snapshot((make_configuration(7), TARGET, Evacuation("b")), 20)
    reader.replace(snapshot, 2.0, False)
    assert reader.history.revision == 20
    follow(reader, copier, 2.0)
    assert copier.targets.keys() == {"i-1"}


def test_host_without_entries_announces_the_revision_of_its_first_snapshot() -> None:
    """Otherwise peers that lack the removals before it aren't told."""
    started = Catalog()
    started.apply(Delta((make_configuration(7),), 0), 0.0, False)
    started.replace(Snapshot((make_configuration(7),), 20), 5.0, False)
    assert started.history.revision == 20


def test_reader_that_has_just_started_sends_a_snapshot() -> None:
    """It doesn't know of earlier removals, so a delta would lack them."""
    _, copier = make_pair()
    started = Catalog()
    started.replace(Snapshot((make_configuration(7),), 20), 5.0, False)
    follow(started, copier, 5.0)
    assert not copier.targets
    assert not copier.evacuated
