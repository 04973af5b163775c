"""
The loads that peers report for one target, and their sums.

The sums are updated with each report, since they are read far more often::

    loads = PeerLoads()
    loads.put("host-2", TargetLoad(3, {1: 9000}, 0.05), now)
    loads.in_flight
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .pace import PaceReport

# Validity of a peer's load report, in seconds. Peers report each second, so two lost
# messages in a row matter little.
PEER_LOAD_TTL_S = 3.5


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """
    The load of one host at a target.

    ``in_flight`` is the number of its requests there, ``unread_tokens`` the prompt
    tokens still to be read, by the priority that the requests were sent with, and
    ``event_interval_s`` the time between two events of the target's streams. ``pace`` is
    what the host has observed of the target since it last reported.
    """

    in_flight: int
    unread_tokens: Mapping[int, int]
    event_interval_s: float
    pace: PaceReport | None = None


class PeerLoads:
    """The last load report of each peer, and their sums."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.tokens: Counter[int] = Counter()
        self._loads: dict[str, tuple[float, TargetLoad]] = {}

    def put(self, peer: str, load: TargetLoad, now: float) -> None:
        """Store a peer's load, replacing its last report."""
        self.remove(peer)
        if load.in_flight:
            self._loads[peer] = now, load
            self.in_flight += load.in_flight
            self.tokens.update(load.unread_tokens)

    def put_count(self, peer: str, in_flight: int, now: float) -> int:
        """Replace the number of a peer's requests; return by how many it has grown."""
        known = self._loads.get(peer)
        before = TargetLoad(0, {}, 0.0) if known is None else known[1]
        self.put(peer, replace(before, in_flight=in_flight), now)
        return in_flight - before.in_flight

    def count(self, peer: str) -> int:
        """Return the number of a peer's requests."""
        known = self._loads.get(peer)
        return 0 if known is None else known[1].in_flight

    def remove(self, peer: str) -> None:
        """Remove the load of a peer."""
        previous = self._loads.pop(peer, None)
        if previous is not None:
            self.in_flight -= previous[1].in_flight
            self.tokens.subtract(previous[1].unread_tokens)

    def expire(self, now: float) -> None:
        """Remove loads that peers haven't reported again in time."""
        old = [p for p, (at, _) in self._loads.items() if now - at > PEER_LOAD_TTL_S]
        for peer in old:
            self.remove(peer)

    def clear(self) -> None:
        """Remove the loads of all peers."""
        self.in_flight = 0
        self.tokens.clear()
        self._loads.clear()
