"""
Readings of the clocks of the hosts that own claims.

A forwarded request carries a reading of its owner's clock from before this host
received the request, so that the owner can refuse a request that waited too
long, for example in a paused process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..adapters.peer_requests import PeerUnreachable

if TYPE_CHECKING:
    from ..core.environment.model import Host
    from .node import Node

CLOCK_TTL_S = 3.0


@dataclass(frozen=True, slots=True)
class OwnerClock:
    """The owner's clock read ``value`` at or before this host's ``received_at``."""

    incarnation: str
    value: float
    received_at: float

    def encode_before(self, arrived_at: float) -> str:
        """Return an encoded reading from before this host's time ``arrived_at``."""
        since_arrival = max(0.0, self.received_at - arrived_at)
        return f"{self.incarnation};{self.value - since_arrival!r}"


def decode_owner_clock(text: str, incarnation: str, arrived_at: float) -> float:
    """Return the reading, or minus infinity if it is of another incarnation."""
    clock_incarnation, _, value = text.partition(";")
    if clock_incarnation != incarnation:
        return float("-inf")
    try:
        return min(arrived_at, float(value))
    except ValueError:
        return float("-inf")


async def read_owner_clock(node: Node, owner: Host) -> OwnerClock | None:
    """Return a recent reading of an owner's clock, or None if it does not answer."""
    cached = node.owner_clocks.get(owner.id)
    if cached is not None and node.now() - cached.received_at <= CLOCK_TTL_S:
        return cached
    answer = await node.peers.query(owner.callers_address, "/peer/state")
    if isinstance(answer, PeerUnreachable):
        node.owner_clocks.pop(owner.id, None)
        return None
    clock = OwnerClock(str(answer["incarnation"]), float(answer["clock"]), node.now())
    node.owner_clocks[owner.id] = clock
    return clock
