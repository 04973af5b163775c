"""
Probes that await an answer, and the order in which members are probed.

Each member is probed once in a round. The order is drawn at random for each round,
so that the time until a dead member is probed is bounded.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from random import Random

    from .table import MemberTable

PROBE_LIFETIME_S = 3.0
MAX_PENDING_PROBES = 4096


class Purpose(Enum):
    """Why a message that expects an answer was sent."""

    MEMBER = 1
    CONTACT = 2
    RELAY = 3
    SYNC = 4
    SUMMARY = 5


@dataclass(slots=True)
class Probe:
    """
    A probe of ``member``, or of the contact of a ``region``.

    An indirect probe was requested by ``relay_to`` with sequence ``relay_echo``.
    """

    member: str
    address: str
    purpose: Purpose
    sent_at: float
    relay_to: str = ""
    relay_echo: int = 0
    region: str = ""
    repeats: int = 0
    answered: bool = False


class Probes:
    """The probes in flight, by the sequence of each message sent for them."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pending: dict[int, Probe] = {}
        self._round: list[str] = []

    def __iter__(self) -> Iterator[Probe]:
        return iter(tuple(self._pending.values()))

    def add(self, sequence: int, probe: Probe) -> None:
        """Await an answer to the message ``sequence``."""
        self._pending[sequence] = probe
        if len(self._pending) > MAX_PENDING_PROBES:
            del self._pending[next(iter(self._pending))]

    def get(self, sequence: int) -> Probe | None:
        """Return the probe that ``sequence`` was sent for."""
        return self._pending.get(sequence)

    def clear(self) -> None:
        """Drop all probes without drawing conclusions from them."""
        self._pending.clear()

    def expire(self, now: float) -> None:
        """Drop the probes whose answers would come too late to be used."""
        for sequence, probe in tuple(self._pending.items()):
            if now - probe.sent_at > PROBE_LIFETIME_S:
                del self._pending[sequence]

    def next_member(self, table: MemberTable, local_host: str) -> str | None:
        """Return the member to probe next."""
        while self._round:
            member = self._round.pop()
            if table.is_live(member):
                return member
        self._round = [member for member in table.live_ids() if member != local_host]
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None


def sample(random: Random, names: Iterable[str], count: int) -> list[str]:
    """Return up to ``count`` of ``names``, drawn at random."""
    pool = list(names)
    return random.sample(pool, min(count, len(pool)))
