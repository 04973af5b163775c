"""
What changed last about each entry, for hosts that ask for changes.

Each subject has one place, in the order of its last change, so that what is
kept doesn't grow with time. A target's announcements that change nothing but
their count refresh its place and don't move it::

    history.note("i-7f", entry, revision=90)
    history.since(85)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .changes import Delta, EvacuationEnded, Snapshot, TargetRemoved

if TYPE_CHECKING:
    from .changes import Change, Entry

# Removals that are kept; a host that lacks older ones gets everything.
MOST_REMOVALS = 256


class History:
    """State: the last change of each subject, the latest last."""

    def __init__(self) -> None:
        self.revision = 0
        self._latest: dict[str, tuple[int, Change]] = {}
        self._complete_since = 0

    def begin(self, revision: int) -> None:
        """Know nothing of what was removed before a revision."""
        self._complete_since = revision

    def __contains__(self, subject: str) -> bool:
        return subject in self._latest

    def note(self, subject: str, change: Change, revision: int) -> None:
        """Note a change as of a revision, which never falls."""
        self._latest.pop(subject, None)
        self._latest[subject] = (revision, change)
        self.revision = max(self.revision, revision)
        if isinstance(change, TargetRemoved | EvacuationEnded):
            self._trim_removals()

    def refresh(self, subject: str, entry: Entry) -> None:
        """Take a newer entry that says the same; who has the old needs no news."""
        revision, _ = self._latest[subject]
        self._latest[subject] = (revision, entry)

    def since(self, revision: int, as_of: int) -> Delta | Snapshot:
        """Return what changed after a revision, or all if that isn't known."""
        if revision < self._complete_since:
            entries = tuple(
                change
                for _, change in self._latest.values()
                if not isinstance(change, TargetRemoved | EvacuationEnded)
            )
            return Snapshot(entries, as_of)
        changes = []
        for at, change in reversed(self._latest.values()):
            if at <= revision:
                break
            changes.append(change)
        return Delta(tuple(reversed(changes)), as_of)

    def _trim_removals(self) -> None:
        removals = [
            (subject, at)
            for subject, (at, change) in self._latest.items()
            if isinstance(change, TargetRemoved | EvacuationEnded)
        ]
        for subject, at in removals[:-MOST_REMOVALS]:
            del self._latest[subject]
            self._complete_since = at
