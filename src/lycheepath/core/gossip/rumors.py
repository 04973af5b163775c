"""
A bounded queue of what is still to be told to peers.

Each rumor is sent a bounded number of times, the least sent of the highest
priority first. A newer rumor on the same subject replaces the older one.
When the queue is full, the rumor of the lowest priority that was sent most
often is shed.
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nsmallest
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

T = TypeVar("T")

MAX_RUMORS = 2048


@dataclass(slots=True)
class _Rumor(Generic[T]):
    subject: Hashable
    item: T
    size: int
    priority: int
    sent: int = 0


class RumorQueue(Generic[T]):
    """Rumors by subject; ``T`` is whatever the caller spreads."""

    def __init__(self, limit: int = MAX_RUMORS) -> None:
        self._rumors: dict[Hashable, _Rumor[T]] = {}
        self._limit = limit
        self.shed = 0

    def __len__(self) -> int:
        return len(self._rumors)

    def add(self, subject: Hashable, item: T, size: int, priority: int) -> None:
        """Spread ``item`` of about ``size`` bytes in place of an older one."""
        self._rumors[subject] = _Rumor(subject, item, size, priority)
        if len(self._rumors) > self._limit:
            worst = max(self._rumors.values(), key=_usefulness)
            del self._rumors[worst.subject]
            self.shed += 1

    def discard(self, subject: Hashable) -> None:
        """Stop spreading what is queued on ``subject``."""
        self._rumors.pop(subject, None)

    def clear(self) -> None:
        """Stop spreading anything."""
        self._rumors.clear()

    def take(self, room: int, transmissions: int) -> list[T]:
        """Return rumors that fit in ``room`` bytes, counting them as sent."""
        taken: list[T] = []
        for rumor in nsmallest(64, self._rumors.values(), key=_usefulness):
            if rumor.size > room:
                continue
            room -= rumor.size
            taken.append(rumor.item)
            rumor.sent += 1
            if rumor.sent >= transmissions:
                del self._rumors[rumor.subject]
        return taken


def _usefulness(rumor: _Rumor[T]) -> tuple[int, int]:
    return rumor.priority, rumor.sent
