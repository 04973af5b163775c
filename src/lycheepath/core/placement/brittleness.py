"""
Tracks which targets say that they are brittle, and for how many requests they have room.

A brittle target states how many requests it can turn away in a second; one that has to
turn more away falls over. What an instance states applies until the answer to a later
request doesn't state it. An instance that hasn't answered yet counts as brittle while
others of its service in the region state it::

    services.observe("books", "east", 3, now)
    limit = services.find_limit("books", "east", availability.brittleness, now)

The target's coordinator grants room for each request before it is sent, so that all
hosts together have at most as many in flight as the target has slots. A refusal takes a
part of the room away for some time::

    wait_s = room.grant(slots=4, in_flight=3, now=now, host="host-2")    # 0 is a grant
    room.record_refusal(slots=4, limit=3, now=now)
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

# Time after the last statement of a service for which its targets that haven't answered
# yet count as brittle, in seconds: all of them may be restarting.
SERVICE_TTL_S = 20.0
# Largest number of services whose statements are kept.
MAX_SERVICES = 1024
# Time after which a host asks again for room that it was denied, in seconds.
FULL_WAIT_S = 0.05
# Longest such time, and how often all hosts together ask a full target for room, per
# second.
MAX_FULL_WAIT_S = 0.3
FULL_QUERIES_PER_S = 60.0
# Time within which the host that was granted room reports the request, in seconds.
RESERVATION_S = 0.3
# Time over which refusals count, in seconds: the second of the statement and the time
# for which datagrams may be under way.
REFUSALS_S = 1.2
# Time after a refusal for which no room is granted, in seconds.
CLOSED_S = 0.2
# Time after which one of the slots that a refusal has cost is used again, in seconds.
SLOT_RECOVERY_S = 2.0
# Time after a refusal within which the end of a target counts as a fall, in seconds.
FALL_S = 1.5


@dataclass(frozen=True, slots=True)
class BrittleStatement:
    """
    What the targets of a service in the region state, as passed between hosts.

    ``limit`` is the number of requests that each can turn away in a second, ``age_s``
    the time since an answer stated it.
    """

    service: str
    limit: int
    age_s: float


@dataclass(slots=True)
class Brittleness:
    """
    What one instance of a target states; ``limit`` None if it isn't brittle.

    ``observed_at`` is when the answer that showed this arrived.
    """

    limit: int | None = None
    observed_at: float = float("-inf")

    def observe_answer(self, limit: int | None, sent_at: float, now: float) -> bool:
        """
        Apply what an answer states; return whether it has changed.

        Answers on several connections may overtake each other, so only the answer to a
        request that was sent after the last statement ends it.
        """
        if limit is None and self.limit is not None and sent_at <= self.observed_at:
            return False
        self.observed_at = now
        before, self.limit = self.limit, limit
        return limit != before


class BrittleServices:
    """The latest statements of the services' targets, by region."""

    def __init__(self) -> None:
        self._stated: dict[tuple[str, str], tuple[int, float]] = {}

    def observe(self, service: str, region: str, limit: int, at: float) -> bool:
        """
        Apply a statement made at a time; return whether it is news for peers.

        Another limit isn't: targets may state another one in each answer, and queries
        for room have the limit of their target.
        """
        before = self._stated.get((service, region))
        if before is not None and at <= before[1]:
            return False
        if before is None and len(self._stated) >= MAX_SERVICES:
            del self._stated[min(self._stated, key=lambda key: self._stated[key][1])]
        self._stated[service, region] = limit, at
        return before is None or at - before[1] > SERVICE_TTL_S

    def find_limit(
        self, service: str, region: str, own: Brittleness, now: float
    ) -> int | None:
        """Return how many requests a target can turn away in a second, or None."""
        if own.limit is not None:
            return own.limit
        limit, at = self._stated.get((service, region), (0, float("-inf")))
        if now - at > SERVICE_TTL_S or own.observed_at >= at:
            return None
        return limit

    def list_statements(self, region: str, now: float) -> list[BrittleStatement]:
        """Return what is known of the services of a region, for peers."""
        return [
            BrittleStatement(service, limit, max(0.0, now - at))
            for (service, stated_region), (limit, at) in self._stated.items()
            if stated_region == region and now - at <= SERVICE_TTL_S
        ]


@dataclass(slots=True)
class Room:
    """
    The room of one instance of a target, as granted by its coordinator.

    ``full_until`` is when this host may ask for room again, as a time of its monotonic
    clock. ``coordinator`` is the host that should grant the room, and
    ``coordinator_since`` when that was first seen. ``reported_at`` is when this host
    last told all others of a refusal.
    """

    full_until: float = float("-inf")
    coordinator: str = ""
    coordinator_since: float = float("-inf")
    reported_at: float = float("-inf")
    _reserved: dict[str, deque[float]] = field(default_factory=dict)
    _refused_at: deque[float] = field(default_factory=deque)
    _last_refused_at: float = float("-inf")
    _closed_until: float = float("-inf")
    _lost_slots: int = 0
    _slot_lost_at: float = float("-inf")

    def grant(
        self,
        slots: int,
        in_flight: int,
        now: float,
        host: str = "",
        most: int | None = None,
    ) -> float:
        """
        Return 0 if a request may be sent now, else the time until one may, in seconds.

        ``in_flight`` are the requests of all hosts there. A grant for ``host`` counts
        until that host reports its request. ``most`` bounds the granted requests that
        aren't reported yet and those in flight.
        """
        if now < self._closed_until:
            return self._closed_until - now
        room = max(1, slots - self._find_lost_slots(now))
        if most is not None:
            room = min(room, most)
        if in_flight + self._count_reserved(now) >= room:
            return FULL_WAIT_S
        if host:
            self._reserved.setdefault(host, deque()).append(now + RESERVATION_S)
        return 0.0

    def confirm(self, host: str, started: int) -> None:
        """Record that a host has reported requests that it has started."""
        reserved = self._reserved.get(host)
        for _ in range(min(started, len(reserved) if reserved else 0)):
            self._reserved[host].popleft()

    def record_refusal(self, slots: int, limit: int, now: float) -> None:
        """Record that the target has turned a request of any host away."""
        self._last_refused_at = now
        self._refused_at.append(now)
        while self._refused_at[0] <= now - REFUSALS_S:
            self._refused_at.popleft()
        self._lost_slots = min(slots - 1, self._find_lost_slots(now) + 1)
        self._slot_lost_at = now
        self._closed_until = max(self._closed_until, now + CLOSED_S)
        allowed = max(1, limit)
        if len(self._refused_at) >= allowed:
            open_at = self._refused_at[-allowed] + REFUSALS_S
            self._closed_until = max(self._closed_until, open_at)

    def record_denial(self, wait_s: float, now: float) -> None:
        """Record that this host was denied room for a time, in seconds."""
        self.full_until = now + wait_s

    def left_s(self, now: float) -> float:
        """Return the time until there may be room, in seconds."""
        return max(0.0, self.full_until - now)

    def may_fall(self, now: float) -> bool:
        """Whether the target has turned requests away so lately that it may fall over."""
        return now - self._last_refused_at <= FALL_S

    def _count_reserved(self, now: float) -> int:
        for host, reserved in list(self._reserved.items()):
            while reserved and reserved[0] <= now:
                reserved.popleft()
            if not reserved:
                del self._reserved[host]
        return sum(map(len, self._reserved.values()))

    def _find_lost_slots(self, now: float) -> int:
        recovered = (now - self._slot_lost_at) / SLOT_RECOVERY_S
        return 0 if recovered > self._lost_slots else self._lost_slots - int(recovered)


def find_share(slots: int, hosts: int, position: int) -> int:
    """
    Return how many of a target's slots a host may use on its own.

    The shares of all hosts, by their ``position`` in the order that they agree on, make
    up the slots.
    """
    return slots // hosts + (position < slots % hosts)


def find_full_wait_s(hosts: int) -> float:
    """Return how long each of some hosts passes over a target that is full."""
    return min(MAX_FULL_WAIT_S, max(FULL_WAIT_S, hosts / FULL_QUERIES_PER_S))


def describe_limit(limit: int | None) -> str:
    """Return a statement as text for the log."""
    return "none" if limit is None else f"{limit} a second"
