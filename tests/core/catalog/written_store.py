"""A model of the platform's store and its history, for tests that read it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from lycheepath.core.catalog.changes import (
    Delta,
    Evacuation,
    EvacuationEnded,
    Snapshot,
    TargetRemoved,
)
from lycheepath.core.catalog.model import CallerLimits, Configuration, TargetEntry

if TYPE_CHECKING:
    from lycheepath.core.catalog.changes import Change, Entry


@dataclass(frozen=True)
class StoreCopy:
    """The content of a store at a revision, with its history."""

    revision: int
    version: int
    targets: dict[str, TargetEntry]
    zones: frozenset[str]
    history: tuple[tuple[int, Change], ...]


class WrittenStore:
    """The content of the store, and its history by revision."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.version = 1
        self.targets: dict[str, TargetEntry] = {}
        self.zones: set[str] = set()
        self.history: list[tuple[int, Change]] = []

    @property
    def configuration(self) -> Configuration:
        return Configuration(self.version, (), {}, CallerLimits())

    def write(self, change: Change) -> None:
        self.revision += 1
        self.history.append((self.revision, change))

    def announce(self, name: str, draining: bool) -> None:
        held = self.targets.get(name)
        sequence = held.sequence + 1 if held else 0
        address = "10.0.0.1:80"
        entry = TargetEntry(name, "s", address, "a", 4, draining, 0.0, sequence, 0)
        self.targets[name] = entry
        self.write(entry)

    def restart(self, name: str) -> None:
        """Restart a target under its id."""
        if name in self.targets:
            self.targets[name] = replace(self.targets[name], sequence=0)
            self.write(self.targets[name])

    def remove(self, name: str) -> None:
        if self.targets.pop(name, None) is not None:
            self.write(TargetRemoved(name))

    def configure(self) -> None:
        self.version += 3
        self.write(self.configuration)

    def evacuate_or_end(self, zone: str) -> None:
        if zone in self.zones:
            self.zones.discard(zone)
            self.write(EvacuationEnded(zone))
        else:
            self.zones.add(zone)
            self.write(Evacuation(zone))

    def make_copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            self.revision,
            self.version,
            dict(self.targets),
            frozenset(self.zones),
            tuple(self.history),
        )

    def restore(self, copy: StoreCopy) -> StoreCopy:
        """Return to a copy; return what it had."""
        lost = self.make_copy()
        self.era += 1
        self.revision, self.version = copy.revision, copy.version
        self.targets, self.zones = dict(copy.targets), set(copy.zones)
        self.history = list(copy.history)
        return lost

    def write_again(self, lost: StoreCopy) -> None:
        """Have the operator and the targets write again what a restore has lost."""
        if lost.version > self.version:
            self.version = lost.version
            self.write(self.configuration)
        for name in self.targets.keys() - lost.targets.keys():
            self.remove(name)
        for name, entry in lost.targets.items():
            held = self.targets.get(name)
            if held is None or replace(held, sequence=0) != replace(entry, sequence=0):
                self.targets[name] = replace(entry, sequence=entry.sequence + 1)
                self.write(self.targets[name])
        for zone in self.zones ^ lost.zones:
            self.evacuate_or_end(zone)

    def read_all(self) -> Snapshot:
        zones = (Evacuation(zone) for zone in sorted(self.zones))
        entries: tuple[Entry, ...] = (
            self.configuration,
            *self.targets.values(),
            *zones,
        )
        return Snapshot(entries, self.revision, self.era)

    def read_changes(self, since: int) -> Delta:
        changes = tuple(c for revision, c in self.history if revision > since)
        return Delta(changes, self.revision, self.era)
