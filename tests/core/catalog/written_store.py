"""A model of the platform's store and its history, for tests that read it."""

from __future__ import annotations

from dataclasses import replace
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


class WrittenStore:
    """The content of the store, and its history by revision."""

    def __init__(self) -> None:
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

    def read_all(self) -> Snapshot:
        zones = (Evacuation(zone) for zone in sorted(self.zones))
        entries: tuple[Entry, ...] = (
            self.configuration,
            *self.targets.values(),
            *zones,
        )
        return Snapshot(entries, self.revision)

    def read_changes(self, since: int) -> Delta:
        changes = tuple(c for revision, c in self.history if revision > since)
        return Delta(changes, self.revision)
