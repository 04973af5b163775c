"""
A bounded queue of what is still to be told to peers.

Each rumor is sent a bounded number of times, the least sent of the highest
priority first. A newer rumor on the same subject replaces the older one.
When the queue is full, the rumor of the lowest priority that was sent most
often is shed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

T = TypeVar("T")

MAX_RUMORS = 2048
MISFITS_BEFORE_STOP = 8


@dataclass(slots=True)
class _Rumor(Generic[T]):
    subject: Hashable
    item: T
    size: int
    rank: tuple[int, int]


class RumorQueue(Generic[T]):
    """Rumors by subject; ``T`` is whatever the caller spreads."""

    def __init__(self, limit: int = MAX_RUMORS) -> None:
        self._rumors: dict[Hashable, _Rumor[T]] = {}
        self._ranks: dict[tuple[int, int], dict[Hashable, None]] = {}
        self._limit = limit
        self.shed = 0

    def __len__(self) -> int:
        return len(self._rumors)

    def add(self, subject: Hashable, item: T, size: int, priority: int) -> None:
        """Spread ``item`` of about ``size`` bytes in place of an older one."""
        self.discard(subject)
        self._insert(_Rumor(subject, item, size, (priority, 0)))
        if len(self._rumors) > self._limit:
            worst = next(iter(self._ranks[max(self._ranks)]))
            self.discard(worst)
            self.shed += 1

    def discard(self, subject: Hashable) -> None:
        """Stop spreading what is queued on ``subject``."""
        rumor = self._rumors.pop(subject, None)
        if rumor is None:
            return
        ranked = self._ranks[rumor.rank]
        del ranked[subject]
        if not ranked:
            del self._ranks[rumor.rank]

    def clear(self) -> None:
        """Stop spreading anything."""
        self._rumors.clear()
        self._ranks.clear()

    def take(self, room: int, transmissions: int) -> list[T]:
        """Return rumors that fit in ``room`` bytes, counting them as sent."""
        taken = self._choose(room)
        for rumor in taken:
            self.discard(rumor.subject)
            priority, sent = rumor.rank
            if sent + 1 < transmissions:
                rumor.rank = (priority, sent + 1)
                self._insert(rumor)
        return [rumor.item for rumor in taken]

    def _choose(self, room: int) -> list[_Rumor[T]]:
        chosen: list[_Rumor[T]] = []
        misfits = 0
        for rank in sorted(self._ranks):
            for subject in self._ranks[rank]:
                rumor = self._rumors[subject]
                if rumor.size <= room:
                    room -= rumor.size
                    chosen.append(rumor)
                    continue
                misfits += 1
                if misfits >= MISFITS_BEFORE_STOP:
                    return chosen
        return chosen

    def _insert(self, rumor: _Rumor[T]) -> None:
        self._rumors[rumor.subject] = rumor
        self._ranks.setdefault(rumor.rank, {})[rumor.subject] = None
