"""
A pool of idle connections, by address.

A connection is released after a complete exchange and reused while both sides keep it
open. The most recently used one is acquired first, so that the oldest expire::

    upstream = await pool.acquire(address, connect_s=0.3, now=now)
    ...
    pool.release(upstream, idle_s=5.0, now=now)
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ...core.placement.connections import MAX_IDLE_CONNECTIONS
from .sockets import connect
from .upstream import Upstream

if TYPE_CHECKING:
    from ...core.addresses import Address

# Idle connections are no longer used this long before the other side's idle limit.
IDLE_MARGIN_S = 1.0
# Idle time of a connection whose other side names no limit.
DEFAULT_IDLE_S = 4.0


class Pool:
    """State: the idle connections of this process."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[Upstream]] = {}
        self.counters: Counter[str] = Counter()

    async def acquire(
        self,
        address: Address,
        connect_s: float,
        now: float,
        request_id: bytes | None = None,
    ) -> Upstream:
        """
        Return an idle connection, or a new one; raises ConnectError.

        With a ``request_id`` an idle connection is returned only if the answer can't
        be confused with one to an earlier request.
        """
        usable = self._take_idle(address, now, request_id)
        if usable is not None:
            self.counters["reused"] += 1
            return usable
        return await self.open(address, connect_s)

    async def open(self, address: Address, connect_s: float) -> Upstream:
        """Return a new connection; raises ConnectError."""
        self.counters["opened"] += 1
        return Upstream(await connect(address, connect_s), address)

    def discard(self, address: Address) -> int:
        """Close the idle connections to an address; return their number."""
        idle = self._idle.pop(address, [])
        for upstream in idle:
            upstream.close()
        return len(idle)

    def release(
        self,
        upstream: Upstream,
        idle_s: float | None,
        now: float,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        """
        Keep a connection whose exchange is complete, if it can be reused.

        ``idle_s`` is the other side's limit on idle time, ``max_idle`` the largest
        number of idle connections that are kept to its address.
        """
        idle = self._idle.setdefault(upstream.address, [])
        if len(idle) >= max_idle or not upstream.prepare_next():
            upstream.close()
            return
        upstream.idle_since = now
        upstream.idle_s = DEFAULT_IDLE_S if idle_s is None else idle_s
        idle.append(upstream)

    def close_idle(self, now: float) -> None:
        """Close the idle connections that are no longer usable."""
        for address, idle in list(self._idle.items()):
            usable = [u for u in idle if u.is_usable(now, _find_margin_s(u))]
            for upstream in idle:
                if upstream not in usable:
                    upstream.close()
            if usable:
                self._idle[address] = usable
            else:
                del self._idle[address]

    def _take_idle(
        self, address: Address, now: float, request_id: bytes | None
    ) -> Upstream | None:
        idle = self._idle.get(address, [])
        for index in reversed(range(len(idle))):
            if not idle[index].can_identify(request_id):
                continue
            upstream = idle.pop(index)
            if upstream.is_usable(now, _find_margin_s(upstream)):
                return upstream
            upstream.close()
        return None


def _find_margin_s(upstream: Upstream) -> float:
    """Return the safety margin; a third of the limit where this is short."""
    idle_s = upstream.idle_s or 0.0
    return min(IDLE_MARGIN_S, idle_s / 3.0)
