"""
Probes that wait for an answer, and the order in which members are probed.

Each member is probed once in a round, in an order that is drawn anew, so that
the time until a dead member is probed is bounded.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from random import Random

    from .table import MemberTable

KEPT_S = 3.0
MAX_WAITING = 4096


class Purpose(Enum):
    """Why a message that expects an answer was sent."""

    MEMBER = 1
    CONTACT = 2
    RELAY = 3
    SYNC = 4
    SUMMARY = 5


@dataclass(slots=True)
class Probe:
    """A probe of ``member``, asked for by ``relay_to``, or of a ``region``."""

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
        self._waiting: dict[int, Probe] = {}
        self._round: list[str] = []

    def __iter__(self) -> Iterator[Probe]:
        return iter(tuple(self._waiting.values()))

    def add(self, sequence: int, probe: Probe) -> None:
        """Wait for an answer to the message ``sequence``."""
        self._waiting[sequence] = probe
        if len(self._waiting) > MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]

    def get(self, sequence: int) -> Probe | None:
        """Return the probe that ``sequence`` was sent for."""
        return self._waiting.get(sequence)

    def clear(self) -> None:
        """Forget all probes; nothing is concluded from them."""
        self._waiting.clear()

    def expire(self, now: float) -> None:
        """Forget the probes whose answer would be of no use."""
        for sequence, probe in tuple(self._waiting.items()):
            if now - probe.sent_at > KEPT_S:
                del self._waiting[sequence]

    def next_member(self, table: MemberTable, own: str) -> str | None:
        """Return the member to probe next."""
        while self._round:
            member = self._round.pop()
            if table.is_live(member):
                return member
        self._round = [member for member in table.live_ids() if member != own]
        self._random.shuffle(self._round)
        return self._round.pop() if self._round else None


def sample(random: Random, names: Iterable[str], count: int) -> list[str]:
    """Return up to ``count`` of ``names``, drawn at random."""
    pool = list(names)
    return random.sample(pool, min(count, len(pool)))
