"""
What peers have under way at one target, summed as they tell of it.

Sums are kept up with each message, since they are asked for much more often::

    loads = PeerLoads()
    loads.put("host-2", TargetLoad(3, {1: 9000}, 0.05), now)
    loads.in_flight
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# A peer tells again of what it has under way each second; what it told counts
# for this long, in seconds, so that two lost messages in a row matter little.
PEER_LOAD_TTL_S = 3.5


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """
    What a host has under way at a target.

    ``in_flight`` are its requests there, ``tokens`` those still to be read by the
    urgency with which they were sent; ``event_s`` is the time between two events of its streams.
    """

    in_flight: int
    unread_tokens: Mapping[int, int]
    event_interval_s: float


class PeerLoads:
    """State: the last word of each peer, and their sums."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.tokens: Counter[int] = Counter()
        self._loads: dict[str, tuple[float, TargetLoad]] = {}

    def put(self, peer: str, load: TargetLoad, now: float) -> None:
        """Take what a peer tells; it replaces the last."""
        self.drop(peer)
        if load.in_flight:
            self._loads[peer] = now, load
            self.in_flight += load.in_flight
            self.tokens.update(load.unread_tokens)

    def drop(self, peer: str) -> None:
        """Forget what a peer told."""
        held = self._loads.pop(peer, None)
        if held is not None:
            self.in_flight -= held[1].in_flight
            self.tokens.subtract(held[1].unread_tokens)

    def expire(self, now: float) -> None:
        """Forget what peers told that have been silent for long."""
        old = [p for p, (at, _) in self._loads.items() if now - at > PEER_LOAD_TTL_S]
        for peer in old:
            self.drop(peer)

    def clear(self) -> None:
        """Forget what all peers told."""
        self.in_flight = 0
        self.tokens.clear()
        self._loads.clear()
