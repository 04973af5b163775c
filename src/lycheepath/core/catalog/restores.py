"""
What a restored store says of targets, where this host knows more.

A store that comes back from an older copy has lost its last changes. Targets write
theirs again as soon as something differs, so an entry of the copy that is older than
what a host knows is doubted until it is written again, or removed. If neither happens
within ``DOUBT_S``, the store stands by it::

    if is_outdated(entry, known):
        doubted.add(entry, now)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import TargetEntry

# Time in seconds within which a live target has written its entry again, and that of
# a dead one has lapsed: twice the three heartbeat intervals of 1.2 s, rounded up.
DOUBT_S = 8.0


def is_outdated(entry: TargetEntry, known: TargetEntry) -> bool:
    """Whether an entry of a restored store is older than the known one."""
    if entry.born_ms and known.born_ms and entry.born_ms != known.born_ms:
        return entry.born_ms < known.born_ms
    return entry.sequence < known.sequence


class DoubtedEntries:
    """Entries of a restored store that aren't believed yet, and until when."""

    def __init__(self) -> None:
        self._entries: dict[str, tuple[TargetEntry, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: TargetEntry, now: float) -> None:
        """Doubt an entry from now on."""
        self._entries[entry.id] = entry, now + DOUBT_S

    def admits(self, entry: TargetEntry) -> bool:
        """Whether an entry is later than the one that is doubted, if any is."""
        doubted, _ = self._entries.get(entry.id, (None, 0.0))
        return doubted is None or not (doubted == entry or is_outdated(entry, doubted))

    def discard(self, target: str) -> bool:
        """End the doubt about a target; return whether there was one."""
        return self._entries.pop(target, None) is not None

    def list_missing(self, seen: set[str]) -> list[str]:
        """Return the targets in doubt that a snapshot doesn't contain."""
        return [target for target in self._entries if target not in seen]

    def take_due(self, now: float) -> list[TargetEntry]:
        """Return the entries that the store has stood by for ``DOUBT_S``."""
        due = [entry for entry, until in self._entries.values() if until <= now]
        for entry in due:
            del self._entries[entry.id]
        return due
