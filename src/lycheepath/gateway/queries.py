"""
Queries to the coordinators of targets, as datagrams that may be lost.

A query is repeated once. Replies are matched by the number of the query::

    reply = await queries.ask(send)    # None if none came in time
    queries.deliver(number, reply)     # when the datagram arrives
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic, TypeVar

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Times to wait for a reply before the query is repeated, and then given up: several
# round trips between zones and a busy coordinator.
QUERY_TIMEOUTS_S = (0.05, 0.1)

Reply = TypeVar("Reply")


@dataclass(slots=True)
class _Pending(Generic[Reply]):
    """A query that waits for its reply."""

    reply: Reply | None = None
    done: trio.Event = field(default_factory=trio.Event)


class PendingQueries(Generic[Reply]):
    """State: the queries that wait for replies; ``next_number`` numbers them."""

    def __init__(self, next_number: Callable[[], int]) -> None:
        self._next_number = next_number
        self._pending: dict[int, _Pending[Reply]] = {}

    async def ask(self, send: Callable[[int], Awaitable[None]]) -> Reply | None:
        """Send a query under a new number; return its reply, None if none comes."""
        number = self._next_number()
        pending = self._pending[number] = _Pending()
        try:
            for timeout_s in QUERY_TIMEOUTS_S:
                await send(number)
                with trio.move_on_after(timeout_s):
                    await pending.done.wait()
                if pending.reply is not None:
                    return pending.reply
        finally:
            del self._pending[number]
        return None

    def deliver(self, number: int, reply: Reply) -> None:
        """Hand a reply to the query that waits for it, if any."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.reply = reply
            pending.done.set()
