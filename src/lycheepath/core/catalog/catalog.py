"""
What this host believes is configured and announced.

The catalog takes snapshots and deltas and never steps back: neither to an
older configuration nor to an older announcement of a target. While the store
can't be read it keeps its beliefs. Entries may lapse during an outage though
their targets live, so what is missing in the first reading after an outage is
only dropped once ``LAPSE_GRACE_S`` has passed::

    catalog = Catalog()
    notes = catalog.replace(snapshot, now)
    notes += catalog.apply(delta, now)
    notes += catalog.expire(now)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .changes import Evacuation, EvacuationEnded, TargetRemoved, UnreadableEntry
from .history import History
from .model import Configuration, TargetEntry
from .routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .changes import Change, Delta, Snapshot

CONFIGURATION = "configuration"
# Lapsed entries are back about two seconds after the store's return, by its
# documentation; half a second for the reading itself.
LAPSE_GRACE_S = 2.5


@dataclass(frozen=True, slots=True)
class StateChange:
    """A belief that changed, for the log and for whoever depends on it."""

    event: str
    subject: str
    detail: str = ""


class Catalog:
    """
    State: the configuration in force, targets and evacuated zones.

    ``history`` has what changed, for hosts that ask for it.
    """

    def __init__(self) -> None:
        self.history = History()
        self.routes: RouteTable | None = None
        self.targets: dict[str, TargetEntry] = {}
        self.evacuated: set[str] = set()
        self.revision = 0
        self._dubious: dict[str, float] = {}

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 before the first."""
        return self.routes.configuration.version if self.routes else 0

    def replace(
        self, snapshot: Snapshot, now: float, outage: bool
    ) -> list[StateChange]:
        """Take everything as of a revision; what it lacks is gone."""
        if snapshot.revision < self.revision:
            return []
        if self.revision == 0:
            self.history.begin(snapshot.revision)
        self.revision = snapshot.revision
        seen = {e.id for e in snapshot.entries if isinstance(e, TargetEntry)}
        zones = {e.zone for e in snapshot.entries if isinstance(e, Evacuation)}
        notes = self._take(snapshot.entries)
        for target in [t for t in self.targets if t not in seen]:
            notes += self._remove_target(target, now, outage)
        for zone in self.evacuated - zones:
            notes += self._end_evacuation(zone)
        return notes

    def apply(self, delta: Delta, now: float, outage: bool) -> list[StateChange]:
        """Take the changes since the revision that is held."""
        if delta.revision < self.revision:
            return []
        self.revision = delta.revision
        notes: list[StateChange] = []
        for change in delta.changes:
            if isinstance(change, TargetRemoved):
                notes += self._remove_target(change.id, now, outage)
            elif isinstance(change, EvacuationEnded):
                notes += self._end_evacuation(change.zone)
            else:
                notes += self._take((change,))
        return notes

    def expire(self, now: float) -> list[StateChange]:
        """Drop targets whose entries lapsed and didn't come back."""
        due = [target for target, at in self._dubious.items() if at <= now]
        notes = []
        for target in due:
            del self._dubious[target]
            notes += self._remove_target(target, now, outage=False)
        return notes

    def _take(self, entries: Iterable[Change]) -> list[StateChange]:
        notes: list[StateChange] = []
        for entry in entries:
            if isinstance(entry, TargetEntry):
                notes += self._put_target(entry)
            elif isinstance(entry, Configuration):
                notes += self._put_configuration(entry)
            elif isinstance(entry, Evacuation):
                notes += self._begin_evacuation(entry)
            elif isinstance(entry, UnreadableEntry):
                notes.append(StateChange("entry-unreadable", entry.key, entry.reason))
        return notes

    def _put_configuration(self, configuration: Configuration) -> list[StateChange]:
        if self.routes is not None and configuration.version <= self.version:
            return []
        before = self.version
        self.routes = RouteTable(configuration)
        self.history.note(CONFIGURATION, configuration, self.revision)
        detail = f"from {before}, {len(configuration.routes)} routes"
        return [StateChange("configuration", str(configuration.version), detail)]

    def _begin_evacuation(self, evacuation: Evacuation) -> list[StateChange]:
        zone = evacuation.zone
        if zone in self.evacuated:
            return []
        self.evacuated.add(zone)
        self.history.note(f"evacuation {zone}", evacuation, self.revision)
        return [StateChange("evacuation", zone)]

    def _end_evacuation(self, zone: str) -> list[StateChange]:
        if zone not in self.evacuated:
            return []
        self.evacuated.discard(zone)
        change = EvacuationEnded(zone)
        self.history.note(f"evacuation {zone}", change, self.revision)
        return [StateChange("evacuation-ended", zone)]

    def _put_target(self, entry: TargetEntry) -> list[StateChange]:
        held = self.targets.get(entry.id)
        lapsed = self._dubious.pop(entry.id, None) is not None
        subject = f"target {entry.id}"
        restarted = held is not None and has_restarted(held, entry)
        if restarted or (held is None and subject in self.history):
            entry = replace(entry, restarted_at=self.revision)
        elif held is not None and held.restarted_at > entry.restarted_at:
            entry = replace(entry, restarted_at=held.restarted_at)
        self.targets[entry.id] = entry
        same = held is not None and replace(held, sequence=entry.sequence) == entry
        if same and not lapsed and not restarted:
            self.history.refresh(subject, entry)
            return []
        self.history.note(subject, entry, self.revision)
        if held is None:
            return [
                StateChange("target", entry.id, f"{entry.service} at {entry.address}")
            ]
        if restarted:
            return [StateChange("target-restarted", entry.id, entry.address)]
        if held.draining != entry.draining:
            return [StateChange("target-draining", entry.id, str(entry.draining))]
        return []

    def _remove_target(
        self, target: str, now: float, outage: bool
    ) -> list[StateChange]:
        if target not in self.targets or (outage and target in self._dubious):
            return []
        if target not in self._dubious:
            change = TargetRemoved(target)
            self.history.note(f"target {target}", change, self.revision)
        if outage:
            self._dubious[target] = now + LAPSE_GRACE_S
            return [StateChange("target-lapsed", target)]
        del self.targets[target]
        self._dubious.pop(target, None)
        return [StateChange("target-gone", target)]


def has_restarted(before: TargetEntry, after: TargetEntry) -> bool:
    """
    Tell whether a target has started anew under the id that it had.

    A host that hears of targets from others misses most counts, so the note of
    one that saw the count fall stands beside them.
    """
    if before.born_ms != after.born_ms or after.restarted_at > before.restarted_at:
        return True
    return after.sequence < before.sequence


def is_new_instance(before: TargetEntry, after: TargetEntry) -> bool:
    """
    Tell whether another instance stands under a target's id.

    An entry that lapsed and is written again looks like a restart; where both
    announcements tell when the target started, these decide.
    """
    if before.born_ms and after.born_ms:
        return before.born_ms != after.born_ms
    return has_restarted(before, after)
