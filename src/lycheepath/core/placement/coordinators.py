"""
Assigns each target a coordinator: the host of its region that knows its full load.

The coordinator of a target is the first by rendezvous rank among the serving hosts
of its region. Each host computes it from its own view of the live hosts, without
agreement. A host queries the coordinator before it sends a request to the target and
reports the request afterwards, so its knowledge of the target is a few milliseconds
old, at a cost that depends on the number of requests and not on the number of hosts.
A coordinator that doesn't answer is replaced by the next in rank for a while. Hosts
that use different coordinators only know less of each other's load::

    coordinators.set_hosts(["host-1", "host-2"])
    host = coordinators.find("i-7f", now)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..hosts.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable

# Consecutive unanswered queries after which a coordinator is excluded; a single
# datagram may be lost.
MAX_TIMEOUTS = 2
# Time in seconds for which a coordinator that didn't answer is excluded.
EXCLUSION_S = 1.0
# Maximum number of hosts considered as coordinator, by rank; if all are excluded, a
# host uses what it knows itself.
MAX_RANKED_HOSTS = 4


class Coordinators:
    """The ranked hosts of the region, and those excluded for not answering."""

    def __init__(self, self_id: str) -> None:
        self._self_id = self_id
        self._hosts: tuple[str, ...] = (self_id,)
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._timeouts: dict[str, int] = {}
        self._excluded_until: dict[str, float] = {}

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the serving hosts of the region."""
        known = tuple(sorted(hosts))
        if known != self._hosts:
            self._hosts = known
            self._ranks.clear()

    def find(self, target: str, now: float) -> str:
        """Return the coordinator of a target, this host if no other is available."""
        return self.find_reachable(target, now) or self._self_id

    def find_reachable(self, target: str, now: float) -> str | None:
        """Return the coordinator of a target, None if none has answered lately."""
        for host in self._rank(target):
            if host == self._self_id or self._excluded_until.get(host, now) <= now:
                return host
        return None

    def find_first(self, target: str) -> str:
        """Return the coordinator of a target while all hosts answer."""
        return self._rank(target)[0]

    def record_answer(self, host: str) -> None:
        """Record that a coordinator has answered."""
        self._timeouts.pop(host, None)
        self._excluded_until.pop(host, None)

    def record_timeout(self, host: str, now: float) -> bool:
        """Record an unanswered query; return whether its host is now excluded."""
        timeouts = self._timeouts.get(host, 0) + 1
        self._timeouts[host] = timeouts
        if timeouts < MAX_TIMEOUTS:
            return False
        # After the exclusion, a single unanswered query excludes it again.
        self._timeouts[host] = MAX_TIMEOUTS - 1
        self._excluded_until[host] = now + EXCLUSION_S
        return True

    def _rank(self, target: str) -> tuple[str, ...]:
        ranked = self._ranks.get(target)
        if ranked is None:
            hosts = self._hosts or (self._self_id,)
            ranked = self._ranks[target] = rank(target, hosts)[:MAX_RANKED_HOSTS]
        return ranked
