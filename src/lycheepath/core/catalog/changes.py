"""
The decoded content of the platform's store.

A ``Snapshot`` is the whole content at one position, a ``Delta`` the changes since an
earlier one. Entries that can't be parsed are named and otherwise treated as absent.

Revisions can only be compared within one era: a store that is restored from an older
copy gives out revisions again, and begins a new era::

    Position(era=2, revision=80) > Position(era=1, revision=90)
"""

from __future__ import annotations

from dataclasses import dataclass

from .model import Configuration, TargetEntry


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A point in the store's history; the era is 0 if it isn't known."""

    era: int
    revision: int


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The operator has stopped requests to the targets of a zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry that can't be parsed; ``key`` is its key in the store."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """The entry of a target was removed."""

    id: str


@dataclass(frozen=True, slots=True)
class EvacuationEnded:
    """The operator has ended a zone's evacuation."""

    zone: str


Entry = Configuration | TargetEntry | Evacuation | UnreadableEntry
Change = Entry | TargetRemoved | EvacuationEnded


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries as of a revision."""

    entries: tuple[Entry, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """The position of the last change that it contains."""
        return Position(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes up to a revision, in order."""

    changes: tuple[Change, ...]
    revision: int
    era: int = 0
