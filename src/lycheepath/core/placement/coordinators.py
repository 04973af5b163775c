"""
Which host of a region knows all that is under way at a target.

For each target one host of its region is the keeper: the first in rank among
those that serve, computed by each host from who is live, never agreed on. Who
sends a request there tells the keeper, and asks it before. So what a host knows
of a target it is about to use is some milliseconds old, and its cost depends on
the requests, not on the number of hosts. A keeper that doesn't answer is passed
over for a while, for the next in rank; two hosts that see different keepers only
know less of each other::

    keepers.set_hosts(["host-1", "host-2"])
    host = keepers.find("i-7f", now)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..hosts.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

# Questions in a row without an answer after which a keeper is passed over; one
# datagram may be lost.
MOST_MISSES = 2
# A keeper that didn't answer is asked again after this long, in seconds.
MUTED_S = 1.0
# Hosts in rank that are tried before a host keeps to what it knows itself.
MOST_RANKED = 4


class Coordinators:
    """State: the ranks of the region's hosts, and which of them are silent."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._hosts: tuple[str, ...] = (own,)
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._misses: dict[str, int] = {}
        self._muted: dict[str, float] = {}

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Take the hosts of the region that serve."""
        known = tuple(sorted(hosts))
        if known != self._hosts:
            self._hosts = known
            self._ranks.clear()

    def find(self, target: str, now: float) -> str:
        """Return the keeper of a target; this host where none is to be had."""
        ranked = self._ranks.get(target)
        if ranked is None:
            ranked = self._ranks[target] = rank(target, self._hosts)[:MOST_RANKED]
        for host in ranked:
            if host == self._own or self._muted.get(host, now) <= now:
                return host
        return self._own

    def record_answer(self, host: str) -> None:
        """Note that a keeper has answered."""
        self._misses.pop(host, None)
        self._muted.pop(host, None)

    def record_timeout(self, host: str, now: float) -> bool:
        """Note that a keeper hasn't answered; tell whether it is passed over now."""
        misses = self._misses.get(host, 0) + 1
        self._misses[host] = misses
        if misses < MOST_MISSES:
            return False
        # One more miss is enough once the time is over.
        self._misses[host] = MOST_MISSES - 1
        self._muted[host] = now + MUTED_S
        return True
