"""
The prefix cache of the engine stand-in and the events it publishes.

Blocks are evicted in least-recently-used order. Events are published with a delay,
and some are dropped: a gap in the sequence numbers shows it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .tokens import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that was stored or removed, at a time in seconds."""

    sequence: int
    kind: str
    prefix: str
    at: float


@dataclass(slots=True)
class PrefixCache:
    """
    Prompt blocks in a cache of ``capacity_tokens``.

    Every ``drop_every``-th event is dropped; 0 drops none.
    """

    capacity_tokens: int
    drop_every: int = 0
    events: deque[CacheEvent] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    _blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _sequence: int = 0

    @property
    def used_tokens(self) -> int:
        """The number of tokens in all blocks."""
        return len(self._blocks) * BLOCK_TOKENS

    def count_cached_tokens(self, digests: Sequence[str]) -> int:
        """Return the number of leading tokens cached, and mark their blocks as used."""
        cached = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            self._blocks.move_to_end(digest)
            cached += BLOCK_TOKENS
        return cached

    def store(self, digests: Sequence[str], now: float) -> None:
        """Cache the blocks of a prompt, evicting others beyond the capacity."""
        for digest in digests:
            if digest not in self._blocks:
                self._record("stored", digest, now)
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        self.shrink(self.capacity_tokens, now)

    def shrink(self, tokens: int, now: float) -> None:
        """Evict the least recently used blocks beyond ``tokens``."""
        while self._blocks and self.used_tokens > tokens:
            digest, _ = self._blocks.popitem(last=False)
            self._record("removed", digest, now)

    def list_events(self, after: int, until: float) -> list[CacheEvent]:
        """Return the events numbered above ``after`` that happened by ``until``."""
        return [e for e in self.events if e.sequence > after and e.at <= until]

    def _record(self, kind: str, digest: str, now: float) -> None:
        self._sequence += 1
        if self.drop_every and self._sequence % self.drop_every == 0:
            return
        self.events.append(CacheEvent(self._sequence, kind, digest, now))
