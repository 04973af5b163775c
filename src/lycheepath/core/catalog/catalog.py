"""
The configuration and targets that this host currently uses.

The catalog applies snapshots and deltas and never returns to an older configuration
or to an older announcement of a target. It keeps its content while the store can't
be read. Entries may lapse during an outage although their targets are alive, so
entries missing in the first reading after an outage are only removed after
``LAPSE_GRACE_S``. The same goes for what the first snapshot of a new era lacks, as
the store may have lost it; what that snapshot has, but contradicts what is known, is
doubted (see ``restores``)::

    catalog = Catalog()
    changes = catalog.replace(snapshot, now, outage)
    changes += catalog.apply(delta, now, outage)
    changes += catalog.expire(now)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .changes import (
    Evacuation,
    EvacuationEnded,
    Position,
    TargetRemoved,
    UnreadableEntry,
)
from .history import History
from .model import Configuration, TargetEntry
from .restores import DoubtedEntries, is_outdated
from .routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .changes import Change, Delta, Snapshot
    from .teams import Team

CONFIGURATION = "configuration"
# Time in seconds for which a lapsed entry is kept. According to the store's
# documentation, lapsed entries are written again about two seconds after the store is
# available; half a second is added for reading them.
LAPSE_GRACE_S = 2.5


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of the catalog or of a target's state, for the log."""

    event: str
    subject: str
    detail: str = ""


class Catalog:
    """
    The configuration in force, the targets and the evacuated zones.

    ``history`` has the recent changes, for peers that request them.
    """

    def __init__(self) -> None:
        self.history = History()
        self.routes: RouteTable | None = None
        self.targets: dict[str, TargetEntry] = {}
        self.evacuated: set[str] = set()
        self.era = 0
        self.revision = 0
        self.restores = 0
        self._lapsed: dict[str, float] = {}
        self._lapsed_zones: dict[str, float] = {}
        self._doubted = DoubtedEntries()

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 before the first."""
        return self.routes.configuration.version if self.routes else 0

    def find_team(self, name: str) -> Team | None:
        """Return the team with a name in the configuration in force, or None."""
        table = self.routes
        if table is None or table.teams is None:
            return None
        return table.teams.find(name)

    @property
    def has_teams(self) -> bool:
        """Whether the configuration in force knows teams."""
        return self.routes is not None and self.routes.teams is not None

    @property
    def position(self) -> Position:
        """The position in the store's history up to which this catalog is complete."""
        return Position(self.era, self.revision)

    def replace(
        self, snapshot: Snapshot, now: float, outage: bool
    ) -> list[StateChange]:
        """
        Replace the content by a snapshot; return the changes.

        Of an earlier snapshot only the configuration is used, if it is newer.
        """
        if snapshot.position < self.position:
            return self._apply_configurations(snapshot.entries)
        if self.revision and snapshot.era > self.era:
            return self._apply_restored(snapshot, now)
        if snapshot.position > self.position:
            # What came and went since the earlier position isn't known.
            self.history.start_at(snapshot.revision)
        self.era = snapshot.era
        self.revision = snapshot.revision
        changes = self._apply_entries(snapshot.entries)
        return changes + self._remove_missing(snapshot, now, outage)

    def apply(self, delta: Delta, now: float, outage: bool) -> list[StateChange]:
        """
        Apply the changes since the catalog's revision; return what changed.

        Of an earlier delta, or one of another era, only the configuration is used.
        """
        if delta.era != self.era or delta.revision < self.revision:
            return self._apply_configurations(delta.changes)
        self.revision = delta.revision
        changes: list[StateChange] = []
        for change in delta.changes:
            if isinstance(change, TargetRemoved):
                self._end_doubt(change.id)
                changes += self._remove_target(change.id, now, outage)
            elif isinstance(change, TargetEntry):
                # A change is newer than any snapshot of its era.
                changes += self._put_target(change)
            elif isinstance(change, EvacuationEnded):
                changes += self._end_evacuation(change.zone)
            else:
                changes += self._apply_entries((change,))
        return changes

    def expire(self, now: float) -> list[StateChange]:
        """Remove what lapsed and wasn't written again in time; end doubts."""
        changes = []
        for target in [t for t, at in self._lapsed.items() if at <= now]:
            del self._lapsed[target]
            changes += self._remove_target(target, now, outage=False)
        for zone in [z for z, at in self._lapsed_zones.items() if at <= now]:
            changes += self._end_evacuation(zone)
        for entry in self._doubted.take_due(now):
            changes += self._put_target(entry)
        return changes

    def _apply_restored(self, snapshot: Snapshot, now: float) -> list[StateChange]:
        """Apply the first snapshot of a new era, which may be older than this catalog."""
        before, known = self.position, self.targets
        removed = {
            entry.id
            for entry in _list_targets(snapshot)
            if entry.id not in known and f"target {entry.id}" in self.history
        }
        self._begin_era(snapshot.position)
        for entry in _list_targets(snapshot):
            if entry.id in removed or (
                entry.id in known and is_outdated(entry, known[entry.id])
            ):
                self._doubted.add(entry, now)
                # Other hosts judge by what they know themselves.
                self.history.record(f"target {entry.id}", entry, self.revision)
        changes = self._apply_entries(snapshot.entries)
        for zone in self.evacuated - _list_zones(snapshot):
            self._lapsed_zones[zone] = now + LAPSE_GRACE_S
            change = EvacuationEnded(zone)
            self.history.record(f"evacuation {zone}", change, self.revision)
        changes += self._remove_missing(snapshot, now, outage=True)
        detail = (
            f"revision {before.revision} of era {before.era} to {self.revision},"
            f" {len(self.targets.keys() - known.keys())} targets gained,"
            f" {len(self._lapsed) + len(self._lapsed_zones)} entries missing,"
            f" {len(self._doubted)} doubted, configuration {self.version}"
        )
        return [StateChange("store-restored", str(self.era), detail), *changes]

    def _begin_era(self, position: Position) -> None:
        self.era, self.revision = position.era, position.revision
        self.restores += 1
        self._lapsed.clear()
        self._lapsed_zones.clear()
        self._doubted = DoubtedEntries()
        self.history.begin_era(self.revision)
        # Revisions of the earlier era mean nothing in the new one.
        self.targets = {
            target: replace(entry, restarted_at=0)
            for target, entry in self.targets.items()
        }
        for target, entry in self.targets.items():
            self.history.record(f"target {target}", entry, self.revision)

    def _remove_missing(
        self, snapshot: Snapshot, now: float, outage: bool
    ) -> list[StateChange]:
        changes: list[StateChange] = []
        seen = {entry.id for entry in _list_targets(snapshot)}
        for target in self._doubted.list_missing(seen):
            self._end_doubt(target)
        for target in self.targets.keys() - seen - self._lapsed.keys():
            changes += self._remove_target(target, now, outage)
        for zone in self.evacuated - _list_zones(snapshot) - self._lapsed_zones.keys():
            changes += self._end_evacuation(zone)
        return changes

    def _end_doubt(self, target: str) -> None:
        """End the doubt about an entry that the store has removed."""
        if self._doubted.discard(target) and target not in self.targets:
            change = TargetRemoved(target)
            self.history.record(f"target {target}", change, self.revision)

    def _apply_configurations(self, entries: Iterable[Change]) -> list[StateChange]:
        """Apply only the configuration, whose version tells by itself if it is newer."""
        return self._apply_entries(e for e in entries if isinstance(e, Configuration))

    def _apply_entries(self, entries: Iterable[Change]) -> list[StateChange]:
        changes: list[StateChange] = []
        for entry in entries:
            if isinstance(entry, TargetEntry):
                if self._doubted.admits(entry):
                    changes += self._put_target(entry)
            elif isinstance(entry, Configuration):
                changes += self._put_configuration(entry)
            elif isinstance(entry, Evacuation):
                changes += self._begin_evacuation(entry)
            elif isinstance(entry, UnreadableEntry):
                changes.append(StateChange("entry-unreadable", entry.key, entry.reason))
        return changes

    def _put_configuration(self, configuration: Configuration) -> list[StateChange]:
        if self.routes is not None and configuration.version <= self.version:
            return []
        before = self.version
        self.routes = RouteTable(configuration)
        self.history.record(CONFIGURATION, configuration, self.revision)
        detail = f"from {before}, {len(configuration.routes)} routes"
        return [StateChange("configuration", str(configuration.version), detail)]

    def _begin_evacuation(self, evacuation: Evacuation) -> list[StateChange]:
        zone = evacuation.zone
        lapsed = self._lapsed_zones.pop(zone, None) is not None
        if zone in self.evacuated and not lapsed:
            return []
        self.evacuated.add(zone)
        self.history.record(f"evacuation {zone}", evacuation, self.revision)
        return [StateChange("evacuation", zone)]

    def _end_evacuation(self, zone: str) -> list[StateChange]:
        if zone not in self.evacuated:
            return []
        self.evacuated.discard(zone)
        self._lapsed_zones.pop(zone, None)
        change = EvacuationEnded(zone)
        self.history.record(f"evacuation {zone}", change, self.revision)
        return [StateChange("evacuation-ended", zone)]

    def _put_target(self, entry: TargetEntry) -> list[StateChange]:
        current = self.targets.get(entry.id)
        lapsed = self._lapsed.pop(entry.id, None) is not None
        doubted = self._doubted.discard(entry.id)
        subject = f"target {entry.id}"
        restarted = current is not None and has_restarted(current, entry)
        if current is not None and not entry.version and not restarted:
            # A host of an earlier version passes entries on without it.
            entry = replace(entry, version=current.version)
        if restarted or (current is None and subject in self.history):
            entry = replace(entry, restarted_at=self.revision)
        elif current is not None and current.restarted_at > entry.restarted_at:
            entry = replace(entry, restarted_at=current.restarted_at)
        self.targets[entry.id] = entry
        same = (
            current is not None and replace(current, sequence=entry.sequence) == entry
        )
        if same and not (lapsed or doubted or restarted):
            self.history.refresh(subject, entry)
            return []
        self.history.record(subject, entry, self.revision)
        if current is None:
            return [
                StateChange("target", entry.id, f"{entry.service} at {entry.address}")
            ]
        if restarted:
            return [StateChange("target-restarted", entry.id, entry.address)]
        if current.draining != entry.draining:
            return [StateChange("target-draining", entry.id, str(entry.draining))]
        return []

    def _remove_target(
        self, target: str, now: float, outage: bool
    ) -> list[StateChange]:
        if target not in self.targets or (outage and target in self._lapsed):
            return []
        if target not in self._lapsed:
            change = TargetRemoved(target)
            self.history.record(f"target {target}", change, self.revision)
        if outage:
            self._lapsed[target] = now + LAPSE_GRACE_S
            return [StateChange("target-lapsed", target)]
        del self.targets[target]
        self._lapsed.pop(target, None)
        return [StateChange("target-gone", target)]


def _list_targets(snapshot: Snapshot) -> list[TargetEntry]:
    return [entry for entry in snapshot.entries if isinstance(entry, TargetEntry)]


def _list_zones(snapshot: Snapshot) -> set[str]:
    return {e.zone for e in snapshot.entries if isinstance(e, Evacuation)}


def has_restarted(before: TargetEntry, after: TargetEntry) -> bool:
    """
    Return whether a target has restarted under its id.

    A host that copies entries from peers misses most sequence numbers, so it may not
    see one fall. ``restarted_at``, set by a host that did, shows the restart too.
    """
    if before.born_ms != after.born_ms or after.restarted_at > before.restarted_at:
        return True
    return after.sequence < before.sequence


def is_new_instance(before: TargetEntry, after: TargetEntry) -> bool:
    """
    Return whether an entry belongs to another instance of a target.

    An entry that lapsed and is written again looks like a restart. If both entries
    have the start time of the target, it decides instead.
    """
    if before.born_ms and after.born_ms:
        return before.born_ms != after.born_ms
    return has_restarted(before, after)
