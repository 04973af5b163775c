"""
The last change of each entry, for peers that request changes.

Each subject has one item, ordered by the revision of its last change, so the history
doesn't grow with time. An announcement that differs only in its sequence number
replaces the item without moving it::

    history.record("target i-7f", entry, revision=90)
    history.since(Position(1, 85), as_of=Position(1, 90))
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .changes import Delta, EvacuationEnded, Snapshot, TargetRemoved

if TYPE_CHECKING:
    from .changes import Change, Entry, Position

# Maximum number of removals that are kept; a peer that lacks older ones gets a
# snapshot.
MAX_REMOVALS = 256


class History:
    """The last change of each subject, the latest last."""

    def __init__(self) -> None:
        self.revision = 0
        self._latest: dict[str, tuple[int, Change]] = {}
        self._complete_since = 0

    def start_at(self, revision: int) -> None:
        """Set the revision before which changes are unknown."""
        self.revision = self._complete_since = revision

    def begin_era(self, revision: int) -> None:
        """
        Count all items as known at a revision of a new era.

        Who asks for changes since an earlier revision of it gets a snapshot.
        """
        self._latest = {
            subject: (revision, change) for subject, (_, change) in self._latest.items()
        }
        self.revision = self._complete_since = revision

    def __contains__(self, subject: str) -> bool:
        return subject in self._latest

    def record(self, subject: str, change: Change, revision: int) -> None:
        """Record a change; ``revision`` must not decrease."""
        self._latest.pop(subject, None)
        self._latest[subject] = (revision, change)
        self.revision = max(self.revision, revision)
        if isinstance(change, TargetRemoved | EvacuationEnded):
            self._trim_removals()

    def refresh(self, subject: str, entry: Entry) -> None:
        """Replace an entry by one that only differs in its sequence number."""
        revision, _ = self._latest[subject]
        self._latest[subject] = (revision, entry)

    def since(self, known: Position, as_of: Position) -> Delta | Snapshot:
        """Return the changes after a position, or a snapshot if they aren't known."""
        if known.era != as_of.era or known.revision < self._complete_since:
            entries = tuple(
                change
                for _, change in self._latest.values()
                if not isinstance(change, TargetRemoved | EvacuationEnded)
            )
            return Snapshot(entries, as_of.revision, as_of.era)
        changes = []
        for at, change in reversed(self._latest.values()):
            if at <= known.revision:
                break
            changes.append(change)
        return Delta(tuple(reversed(changes)), as_of.revision, as_of.era)

    def _trim_removals(self) -> None:
        removals = [
            (subject, at)
            for subject, (at, change) in self._latest.items()
            if isinstance(change, TargetRemoved | EvacuationEnded)
        ]
        for subject, at in removals[:-MAX_REMOVALS]:
            del self._latest[subject]
            self._complete_since = at
