"""
What peers have under way at one target, summed as they tell of it.

Sums are kept up with each message, since they are asked for much more often::

    loads = PeerLoads()
    loads.put("host-2", TargetLoad(3, {1: 9000}, 0.05))
    loads.in_flight
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """
    What a host, or all hosts of a region, have under way at a target.

    ``tokens`` are those still to be read, by urgency; ``event_s`` is the time
    between two events of its streams.
    """

    in_flight: int
    tokens: Mapping[int, int]
    event_s: float


class PeerLoads:
    """State: the last word of each peer, and their sums."""

    def __init__(self) -> None:
        self.in_flight = 0
        self._tokens: Counter[int] = Counter()
        self._loads: dict[str, TargetLoad] = {}

    def put(self, peer: str, load: TargetLoad) -> None:
        """Take what a peer tells; it replaces the last."""
        self.drop(peer)
        self._loads[peer] = load
        self.in_flight += load.in_flight
        self._tokens.update(load.tokens)

    def drop(self, peer: str) -> None:
        """Forget what a peer told."""
        load = self._loads.pop(peer, None)
        if load is not None:
            self.in_flight -= load.in_flight
            self._tokens.subtract(load.tokens)

    def clear(self) -> None:
        """Forget what all peers told."""
        self.in_flight = 0
        self._tokens.clear()
        self._loads.clear()

    def count_tokens(self, urgency: int) -> int:
        """Return the tokens that are read before those of this urgency, or with."""
        return sum(n for u, n in self._tokens.items() if u <= urgency)

    def urgencies(self) -> set[int]:
        """Return the urgencies of the tokens still to be read."""
        return {urgency for urgency, tokens in self._tokens.items() if tokens > 0}
