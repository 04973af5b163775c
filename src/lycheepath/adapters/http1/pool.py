"""
Kept connections, by address.

A connection comes back after a whole exchange and is used again while both
sides keep it. The newest is taken first, so that the oldest fall out of use::

    upstream = await pool.take(address, connect_s=0.3, now=now)
    ...
    pool.give_back(upstream, idle_s=5.0, now=now)
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ...core.placement.connections import MAX_IDLE_CONNECTIONS
from .sockets import connect
from .upstream import Upstream

if TYPE_CHECKING:
    from ...core.addresses import Address

# Idle connections are left this long before the other side's own limit.
IDLE_MARGIN_S = 1.0
# Kept where the other side names no limit.
UNNAMED_IDLE_S = 4.0


class Pool:
    """State: the idle connections of this process."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[Upstream]] = {}
        self.counters: Counter[str] = Counter()

    async def take(self, address: Address, connect_s: float, now: float) -> Upstream:
        """Return a kept connection, or a new one; raises ConnectError."""
        kept = self._take_kept(address, now)
        if kept is not None:
            self.counters["reused"] += 1
            return kept
        self.counters["opened"] += 1
        return Upstream(await connect(address, connect_s), address)

    def give_back(
        self,
        upstream: Upstream,
        idle_s: float | None,
        now: float,
        most_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """
        Keep a connection whose exchange is complete, if it can go on.

        ``idle_s`` is the other side's limit on idle time, ``most_idle`` the
        number of idle connections that are kept to its address.
        """
        idle = self._idle.setdefault(upstream.address, [])
        if len(idle) >= most_idle or not upstream.finish():
            upstream.close()
            return
        upstream.idle_since = now
        upstream.idle_s = UNNAMED_IDLE_S if idle_s is None else idle_s
        idle.append(upstream)

    def close_idle(self, now: float) -> None:
        """Close connections that nobody is going to use."""
        for address, idle in list(self._idle.items()):
            kept = [u for u in idle if u.is_usable(now, _margin(u))]
            for upstream in idle:
                if upstream not in kept:
                    upstream.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _take_kept(self, address: Address, now: float) -> Upstream | None:
        idle = self._idle.get(address, [])
        while idle:
            upstream = idle.pop()
            if upstream.is_usable(now, _margin(upstream)):
                return upstream
            upstream.close()
        return None


def _margin(upstream: Upstream) -> float:
    """Return a margin that leaves short limits something to use."""
    idle_s = upstream.idle_s or 0.0
    return min(IDLE_MARGIN_S, idle_s / 3.0)
