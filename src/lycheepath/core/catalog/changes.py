"""
What a reading of the platform's store says, decoded.

A ``Snapshot`` is everything at one revision, a ``Delta`` what has changed
since an earlier one. Entries that can't be read are named and otherwise
treated as absent.
"""

from __future__ import annotations

from dataclasses import dataclass

from .model import Configuration, TargetEntry


@dataclass(frozen=True, slots=True)
class Evacuation:
    """The operator wants nothing sent to the targets of a zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class UnreadableEntry:
    """An entry that can't be read; ``key`` names it as the store does."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """The entry of a target is no longer there."""

    id: str


@dataclass(frozen=True, slots=True)
class EvacuationEnded:
    """The operator takes a zone's evacuation back."""

    zone: str


Entry = Configuration | TargetEntry | Evacuation | UnreadableEntry
Change = Entry | TargetRemoved | EvacuationEnded


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries as of a revision."""

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes that lead to a revision, in order."""

    changes: tuple[Change, ...]
    revision: int
