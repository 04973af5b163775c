"""
Predicts which prompt parts a target still has in its cache.

A target keeps parts while its memory suffices and evicts the least recently used
first. The parts that this host and its peers sent there are tracked in the same
order. A part counts as cached only if all parts before it are cached too::

    cache = PromptCache(capacity_tokens=400_000)
    cache.use(parts)
    cache.count_cached(parts)
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..serving.requests import PromptPart


class PromptCache:
    """A target's cached parts in the order of their last use, the oldest first."""

    def __init__(self, capacity_tokens: int = 0) -> None:
        self._capacity = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def use(self, parts: Iterable[PromptPart]) -> None:
        """Record that the target has read the parts."""
        for part in parts:
            known_tokens = self._parts.pop(part.id, None)
            self._tokens += part.tokens - (known_tokens or 0)
            self._parts[part.id] = part.tokens
        self._evict()

    def set_capacity(self, capacity_tokens: int) -> None:
        """Set the size of the target's memory for parts."""
        self._capacity = capacity_tokens
        self._evict()

    def count_cached(self, parts: Sequence[PromptPart]) -> int:
        """Return the number of leading tokens that the target has cached."""
        cached = 0
        for part in parts:
            if part.id not in self._parts:
                break
            cached += part.tokens
        return cached

    def clear(self) -> None:
        """Remove all parts, as for a target that has restarted."""
        self._parts.clear()
        self._tokens = 0

    def _evict(self) -> None:
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens
