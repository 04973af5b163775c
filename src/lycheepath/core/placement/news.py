"""
What a host tells its peers of the prompts that it sent to targets.

A beat goes to a few peers only. Each piece of news is told in as many beats as
it takes to reach nearly all of them; peers that don't hear of it send the same
shared part to another target, which then reads it again::

    news = PartNews()
    news.note("i-7f", prompt.parts, peers=29, receivers=4)
    news.take()
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..serving.requests import PromptPart

    PartsAtTarget = tuple[str, tuple[PromptPart, ...]]

# Each peer hears of it so many times on average: 13% never do, and of one that
# is told once for each peer 37% would not.
TOLD_TIMES = 2
# Told in one message, the newest; about a kilobyte.
MOST_PARTS = 24


@dataclass(slots=True)
class _Item:
    content: PartsAtTarget
    beats_left: int


class PartNews:
    """State: what is still to be told, the oldest first."""

    def __init__(self) -> None:
        self._items: deque[_Item] = deque(maxlen=MOST_PARTS)

    def note(
        self, target: str, parts: tuple[PromptPart, ...], peers: int, receivers: int
    ) -> None:
        """
        Note that a target is sent a prompt.

        Its last part is the request's own and of no use to others.
        """
        shared = parts[:-1]
        if shared and peers:
            beats = ceil(TOLD_TIMES * peers / receivers)
            self._items.append(_Item((target, shared), beats))

    def take(self) -> tuple[PartsAtTarget, ...]:
        """Return what the next beat tells."""
        told = tuple(item.content for item in self._items)
        for item in self._items:
            item.beats_left -= 1
        while self._items and self._items[0].beats_left <= 0:
            self._items.popleft()
        return told
