"""
Which parts of prompts a target probably still has in its cache.

A target keeps parts as long as its memory lasts and drops the least recently
used first. What this host and its peers sent there is replayed into the same
order; a part counts only if all parts before it are there too::

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
    """State: parts in the order of their last use, the oldest first."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def use(self, parts: Iterable[PromptPart]) -> None:
        """Note that the target has read the parts."""
        for part in parts:
            held = self._parts.pop(part.id, None)
            self._tokens += part.tokens - (held or 0)
            self._parts[part.id] = part.tokens
        while self._tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def count_cached(self, parts: Sequence[PromptPart]) -> int:
        """Return the leading tokens that the target need not read again."""
        cached = 0
        for part in parts:
            if part.id not in self._parts:
                break
            cached += part.tokens
        return cached

    def clear(self) -> None:
        """Forget all parts, as a target does that starts anew."""
        self._parts.clear()
        self._tokens = 0
