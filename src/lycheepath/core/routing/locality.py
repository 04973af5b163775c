"""
Record of the prompt blocks that each target probably has in its prefix cache.

The record is built from the requests that this host sent and corrected by the
engines' cache events. Engines report late and with gaps, and other hosts use
the same caches, so the record is an approximation that is only used to estimate
costs. Its size is bounded for each target by the size of the target's cache;
the least recently used block is evicted first.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from .request import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_BLOCKS_PER_TARGET = 4_096


class LocalityRecord:
    """The blocks of each target and the targets of each block."""

    def __init__(self) -> None:
        self._blocks: dict[str, OrderedDict[int, None]] = {}
        self._targets: dict[int, set[str]] = {}
        self._capacity: dict[str, int] = {}

    def add_target(self, target: str, kv_tokens: int) -> None:
        """Add a target, or resize its record."""
        blocks = min(max(1, kv_tokens // BLOCK_TOKENS), MAX_BLOCKS_PER_TARGET)
        self._capacity[target] = blocks
        self._blocks.setdefault(target, OrderedDict())
        self._evict(target)

    def remove_target(self, target: str) -> None:
        """Remove a target and its record."""
        self.clear_target(target)
        self._blocks.pop(target, None)
        self._capacity.pop(target, None)

    def clear_target(self, target: str) -> None:
        """Clear the record of a target that restarted or is unreachable."""
        for block in list(self._blocks.get(target, ())):
            self.remove_block(target, block)

    def store(self, target: str, blocks: Sequence[int]) -> None:
        """Record that the target has just used these leading blocks."""
        held = self._blocks.get(target)
        if held is None:
            return
        for block in reversed(blocks):
            held[block] = None
            held.move_to_end(block)
            self._targets.setdefault(block, set()).add(target)
        self._evict(target)

    def remove_block(self, target: str, block: int) -> None:
        """Record that the target no longer holds a block."""
        held = self._blocks.get(target)
        if held is None or block not in held:
            return
        del held[block]
        targets = self._targets[block]
        targets.discard(target)
        if not targets:
            del self._targets[block]

    def cached_tokens(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return the tokens of this prefix that each target probably holds."""
        cached: dict[str, int] = {}
        targets = self._targets
        for depth in range(len(blocks), 0, -1):
            for target in targets.get(blocks[depth - 1], ()):
                if target not in cached:
                    cached[target] = depth * BLOCK_TOKENS
        return cached

    def size(self) -> int:
        """Return the number of recorded pairs of a block and a target."""
        return sum(len(held) for held in self._blocks.values())

    def _evict(self, target: str) -> None:
        held = self._blocks[target]
        while len(held) > self._capacity[target]:
            self.remove_block(target, next(iter(held)))
