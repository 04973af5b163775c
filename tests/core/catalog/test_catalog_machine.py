"""
A store that changes, lapses and loses its history, and a host that reads it.

Readings may be lost, late (an older snapshot) or repeated. Whatever comes, the
host never falls back, and an undisturbed reading brings it up to the store.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lycheepath.core.catalog.catalog import LAPSE_GRACE_S, Catalog
from lycheepath.core.catalog.changes import (
    Change,
    Delta,
    Entry,
    Evacuation,
    EvacuationEnded,
    Snapshot,
    TargetRemoved,
)
from lycheepath.core.catalog.model import CallerLimits, Configuration, TargetEntry
from tests.core.randomised import run_machine

TARGETS = strategies.sampled_from(["i-1", "i-2", "i-3"])
ZONES = strategies.sampled_from(["a", "b"])


class CatalogMachine(RuleBasedStateMachine):
    """State: the store with its history, and one host's catalog."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.revision = 1
        self.version = 1
        self.oldest = 0
        self.targets: dict[str, TargetEntry] = {}
        self.lapsed: dict[str, TargetEntry] = {}
        self.zones: set[str] = set()
        self.history: list[tuple[int, Change]] = []
        self.old_snapshots: list[Snapshot] = []
        self.catalog = Catalog()
        self.outage = False
        self.seen_version = 0
        self.seen_revision = 0

    def write(self, change: Change) -> None:
        self.revision += 1
        self.history.append((self.revision, change))

    def take_snapshot(self) -> Snapshot:
        configuration = Configuration(self.version, (), {}, CallerLimits())
        zones = (Evacuation(zone) for zone in sorted(self.zones))
        entries: tuple[Entry, ...] = (configuration, *self.targets.values(), *zones)
        return Snapshot(entries, self.revision)

    @rule(name=TARGETS, draining=strategies.booleans())
    def announce(self, name: str, draining: bool) -> None:
        held = self.targets.get(name)
        sequence = held.sequence + 1 if held else 0
        entry = TargetEntry(
            name, "s", "10.0.0.1:80", "a", 4, draining, 0.0, sequence, 0
        )
        self.targets[name] = entry
        self.lapsed.pop(name, None)
        self.write(entry)

    @rule(name=TARGETS)
    def remove(self, name: str) -> None:
        if self.targets.pop(name, None) is not None:
            self.write(TargetRemoved(name))

    @rule()
    def configure(self) -> None:
        self.version += 3
        self.write(Configuration(self.version, (), {}, CallerLimits()))

    @rule(zone=ZONES)
    def evacuate(self, zone: str) -> None:
        if zone in self.zones:
            self.zones.discard(zone)
            self.write(EvacuationEnded(zone))
        else:
            self.zones.add(zone)
            self.write(Evacuation(zone))

    @rule()
    def lapse_in_an_outage(self) -> None:
        self.outage = True
        for target, entry in list(self.targets.items()):
            self.lapsed[target] = entry
            del self.targets[target]
            self.write(TargetRemoved(target))

    @rule()
    def return_after_the_outage(self) -> None:
        for target, entry in self.lapsed.items():
            self.targets[target] = replace(entry, sequence=entry.sequence + 1)
            self.write(self.targets[target])
        self.lapsed.clear()

    @rule()
    def forget_history(self) -> None:
        self.oldest = self.revision
        self.history.clear()

    @rule()
    def keep_a_snapshot_for_later(self) -> None:
        self.old_snapshots.append(self.take_snapshot())

    @precondition(lambda self: self.old_snapshots)
    @rule()
    def read_late(self) -> None:
        self.catalog.replace(self.old_snapshots.pop(0), self.now, self.outage)

    @rule()
    def read_all(self) -> None:
        self.catalog.replace(self.take_snapshot(), self.now, self.outage)
        self.check_up_to_date()
        self.outage = False

    @precondition(lambda self: self.catalog.revision >= self.oldest > 0)
    @rule()
    def read_changes(self) -> None:
        held = self.catalog.revision
        changes = tuple(c for revision, c in self.history if revision > held)
        self.catalog.apply(Delta(changes, self.revision), self.now, self.outage)
        self.check_up_to_date()
        self.outage = False

    @rule(seconds=strategies.floats(0.1, LAPSE_GRACE_S))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.catalog.expire(self.now)

    def check_up_to_date(self) -> None:
        assert self.catalog.version == self.version
        assert self.catalog.evacuated == self.zones
        for target, entry in self.targets.items():
            assert self.catalog.targets[target] == entry
        missing = self.catalog.targets.keys() - self.targets.keys()
        assert self.outage or missing <= self.catalog._dubious.keys()
        self.now += LAPSE_GRACE_S
        self.catalog.expire(self.now)
        assert self.catalog.targets == self.targets

    @invariant()
    def never_falls_back(self) -> None:
        assert self.catalog.version >= self.seen_version
        assert self.catalog.revision >= self.seen_revision
        self.seen_version = self.catalog.version
        self.seen_revision = self.catalog.revision


def test_catalog_follows_a_store_with_faults() -> None:
    run_machine(CatalogMachine, Counter())
