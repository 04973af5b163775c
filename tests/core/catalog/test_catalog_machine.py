"""
A store that changes, lapses and loses its history, and a host that reads it.

Readings may be lost, late (an older snapshot) or repeated. The host's catalog must
never return to an older version, and an undisturbed reading must make it current.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lycheepath.core.catalog.catalog import LAPSE_GRACE_S, Catalog
from tests.core.catalog.written_store import WrittenStore
from tests.core.randomised import run_machine

if TYPE_CHECKING:
    from lycheepath.core.catalog.changes import Snapshot
    from lycheepath.core.catalog.model import TargetEntry

TARGETS = strategies.sampled_from(["i-1", "i-2", "i-3"])
ZONES = strategies.sampled_from(["a", "b"])


class CatalogMachine(RuleBasedStateMachine):
    """The store with its history, and one host's catalog."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = WrittenStore()
        self.oldest = 0
        self.lapsed: dict[str, TargetEntry] = {}
        self.old_snapshots: list[Snapshot] = []
        self.catalog = Catalog()
        self.outage = False
        self.seen_version = 0
        self.seen_revision = 0

    @rule(name=TARGETS, draining=strategies.booleans())
    def announce(self, name: str, draining: bool) -> None:
        self.store.announce(name, draining)
        self.lapsed.pop(name, None)

    @rule(name=TARGETS)
    def remove(self, name: str) -> None:
        self.store.remove(name)

    @rule()
    def configure(self) -> None:
        self.store.configure()

    @rule(zone=ZONES)
    def evacuate(self, zone: str) -> None:
        self.store.evacuate_or_end(zone)

    @rule()
    def lapse_in_an_outage(self) -> None:
        self.outage = True
        for target, entry in list(self.store.targets.items()):
            self.lapsed[target] = entry
            self.store.remove(target)

    @rule()
    def return_after_the_outage(self) -> None:
        for target, entry in self.lapsed.items():
            back = replace(entry, sequence=entry.sequence + 1)
            self.store.targets[target] = back
            self.store.write(back)
        self.lapsed.clear()

    @rule()
    def forget_history(self) -> None:
        self.oldest = self.store.revision
        self.store.history.clear()

    @rule()
    def keep_a_snapshot_for_later(self) -> None:
        self.old_snapshots.append(self.store.read_all())

    @precondition(lambda self: self.old_snapshots)
    @rule()
    def read_late(self) -> None:
        self.catalog.replace(self.old_snapshots.pop(0), self.now, self.outage)

    @rule()
    def read_all(self) -> None:
        self.catalog.replace(self.store.read_all(), self.now, self.outage)
        self.check_up_to_date()
        self.outage = False

    @precondition(lambda self: self.catalog.revision >= self.oldest > 0)
    @rule()
    def read_changes(self) -> None:
        changes = self.store.read_changes(self.catalog.revision)
        self.catalog.apply(changes, self.now, self.outage)
        self.check_up_to_date()
        self.outage = False

    @rule(seconds=strategies.floats(0.1, LAPSE_GRACE_S))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.catalog.expire(self.now)

    def check_up_to_date(self) -> None:
        assert self.catalog.version == self.store.version
        assert self.catalog.evacuated == self.store.zones
        for target, entry in self.store.targets.items():
            assert self.catalog.targets[target] == entry
        missing = self.catalog.targets.keys() - self.store.targets.keys()
        assert self.outage or missing <= self.catalog._lapsed.keys()
        self.now += LAPSE_GRACE_S
        self.catalog.expire(self.now)
        assert self.catalog.targets == self.store.targets

    @invariant()
    def never_returns_to_an_older_version(self) -> None:
        assert self.catalog.version >= self.seen_version
        assert self.catalog.revision >= self.seen_revision
        self.seen_version = self.catalog.version
        self.seen_revision = self.catalog.revision


def test_catalog_follows_a_store_with_faults() -> None:
    run_machine(CatalogMachine, Counter())
