"""
Which software versions of a service were in use while a stream may have begun.

A host that runs for longer than that has seen them all. One that has started since can
read the store's past: entries that were written, and removals of entries, of which only
the id is left::

    history = VersionHistory()
    history.update(catalog.targets.values(), now)
    history.list_used("pool", since=now - 20.0)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .changes import TargetRemoved
from .model import TargetEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .changes import Change

# Difference in seconds that the clocks of hosts and targets may have.
MAX_CLOCK_ERROR_S = 10.0


class VersionHistory:
    """The versions of targets by service, and when each was last seen in use."""

    def __init__(self) -> None:
        self.known_since = float("inf")
        self._current: frozenset[tuple[str, str]] = frozenset()
        self._last_seen: dict[tuple[str, str], float] = {}

    def update(self, entries: Iterable[TargetEntry], now: float) -> frozenset[str]:
        """Apply the catalog; return the services that have another set of versions."""
        self.known_since = min(self.known_since, now)
        previous = self._current
        self._current = frozenset((entry.service, entry.version) for entry in entries)
        for used in previous | self._current:
            self._last_seen[used] = now
        return frozenset(service for service, _ in previous ^ self._current)

    def list_used(self, service: str, since: float) -> frozenset[str]:
        """Return the versions of a service that were in use at or after a time."""
        recent = {used for used, at in self._last_seen.items() if at >= since}
        return frozenset(v for name, v in recent | self._current if name == service)

    def is_complete(self, since: float) -> bool:
        """Whether this host has seen all versions in use since a time."""
        return self.known_since <= since

    def expire(self, before: float) -> None:
        """Forget the versions that were last in use before a time."""
        self._last_seen = {
            used: at
            for used, at in self._last_seen.items()
            if at >= before or used in self._current
        }


@dataclass(frozen=True, slots=True)
class PastTargets:
    """
    What the store's past shows.

    ``entries`` are those that were written in it, ``unexplained`` the ids of removed ones
    that weren't. ``complete`` says that it reaches back to the store's beginning.
    """

    entries: tuple[TargetEntry, ...] = ()
    unexplained: frozenset[str] = frozenset()
    complete: bool = False


def collect_past(changes: Iterable[Change], complete: bool) -> PastTargets:
    """Return what some past changes of the store show."""
    entries = []
    known: set[str] = set()
    unexplained: set[str] = set()
    for change in changes:
        if isinstance(change, TargetEntry):
            entries.append(change)
            known.add(change.id)
        elif isinstance(change, TargetRemoved) and change.id not in known:
            unexplained.add(change.id)
    return PastTargets(tuple(entries), frozenset(unexplained), complete)


def infer_version(
    service: str,
    current: Iterable[TargetEntry],
    past: PastTargets,
    window_s: float,
    wall_time_s: float,
) -> str | None:
    """
    Return the only version that can have begun a stream, or None.

    With one version in the past and now, targets that were removed without a word
    were of that version if one of it was there before the window; else they may have
    been of another one.
    """
    present = [entry for entry in current if entry.service == service]
    versions = {entry.version for entry in present}
    versions |= {e.version for e in past.entries if e.service == service}
    if len(versions) != 1 or "" in versions:
        return None
    if past.complete and not past.unexplained:
        return versions.pop()
    oldest_s = wall_time_s - window_s - MAX_CLOCK_ERROR_S
    if any(entry.born_ms / 1000.0 < oldest_s for entry in present):
        return versions.pop()
    return None
