"""
A bounded queue of updates that are still to be sent to peers.

Each update is sent a bounded number of times; of the updates of the highest priority
those sent least often go first. A newer update on the same subject replaces the
older one. When the queue is full, the update sent most often among those of the
lowest priority is shed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

T = TypeVar("T")

MAX_PENDING_UPDATES = 2048
MAX_MISFITS = 8


@dataclass(slots=True)
class _PendingUpdate(Generic[T]):
    subject: Hashable
    item: T
    size: int
    rank: tuple[int, int]


class UpdateQueue(Generic[T]):
    """Pending updates by subject; ``T`` is their type."""

    def __init__(self, limit: int = MAX_PENDING_UPDATES) -> None:
        self._updates: dict[Hashable, _PendingUpdate[T]] = {}
        self._ranks: dict[tuple[int, int], dict[Hashable, None]] = {}
        self._limit = limit
        self.shed = 0

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, subject: Hashable, item: T, size: int, priority: int) -> None:
        """Queue ``item`` of about ``size`` bytes in place of an older one."""
        self.discard(subject)
        self._insert(_PendingUpdate(subject, item, size, (priority, 0)))
        if len(self._updates) > self._limit:
            shed = next(iter(self._ranks[max(self._ranks)]))
            self.discard(shed)
            self.shed += 1

    def discard(self, subject: Hashable) -> None:
        """Remove the update on ``subject``, if there is one."""
        update = self._updates.pop(subject, None)
        if update is None:
            return
        ranked = self._ranks[update.rank]
        del ranked[subject]
        if not ranked:
            del self._ranks[update.rank]

    def clear(self) -> None:
        """Remove all updates."""
        self._updates.clear()
        self._ranks.clear()

    def take(self, room: int, transmissions: int) -> list[T]:
        """Return updates that fit in ``room`` bytes, counting them as sent."""
        taken = self._choose(room)
        for update in taken:
            self.discard(update.subject)
            priority, sent = update.rank
            if sent + 1 < transmissions:
                update.rank = (priority, sent + 1)
                self._insert(update)
        return [update.item for update in taken]

    def _choose(self, room: int) -> list[_PendingUpdate[T]]:
        chosen: list[_PendingUpdate[T]] = []
        misfits = 0
        for rank in sorted(self._ranks):
            for subject in self._ranks[rank]:
                update = self._updates[subject]
                if update.size <= room:
                    room -= update.size
                    chosen.append(update)
                    continue
                misfits += 1
                if misfits >= MAX_MISFITS:
                    return chosen
        return chosen

    def _insert(self, update: _PendingUpdate[T]) -> None:
        self._updates[update.subject] = update
        self._ranks.setdefault(update.rank, {})[update.subject] = None
