"""
Members and the order between statements about them.

Each process of a host is one *incarnation* of it. Within an incarnation, only the
host itself increments its *refutation* counter, to refute that others suspect it or
declared it dead. Statements are ordered by incarnation first, by refutation
next and by severity last::

    alive = Member("accra-1", 7, 0, State.ALIVE, "10.0.0.1:7400")
    dead = replace(alive, state=State.DEAD)
    supersedes(dead, alive)  # True
    supersedes(alive, dead)  # False
    supersedes(replace(alive, refutation=1), dead)  # True
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """
    The state of a member as this host sees it.

    A member is declared ``DEAD`` when it didn't refute a suspicion in time; since a
    broken link looks the same, the host may still refute it. ``ENDED`` is certain and
    final: the host announced its end, or a later incarnation of it was seen.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    ENDED = 3


SEVERITY = {state: rank for rank, state in enumerate(State)}


@dataclass(frozen=True, slots=True)
class Member:
    """
    One statement about one host.

    ``peers_address`` receives datagrams and ``callers_address`` HTTP, both as
    ``IP:port``; they may be empty in statements about a member that the receiver
    already knows. ``accuser`` names the host that raised a suspicion.
    """

    id: str
    incarnation: int
    refutation: int = 0
    state: State = State.ALIVE
    peers_address: str = ""
    callers_address: str = ""
    zone: str = ""
    region: str = ""
    leaving: bool = False
    accuser: str = ""

    @property
    def live(self) -> bool:
        """Whether the member is alive or only suspected."""
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class PublishedHost:
    """A host as listed by the platform or in the environment document."""

    id: str
    peers_address: str
    callers_address: str
    zone: str
    region: str


def supersedes(new: Member, old: Member) -> bool:
    """Return whether ``new`` replaces ``old``, a statement about the same host."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if old.state is State.ENDED or new.state is State.ENDED:
        return old.state is not State.ENDED
    if new.refutation != old.refutation:
        return new.refutation > old.refutation
    return _severity(new) > _severity(old)


def _severity(member: Member) -> int:
    return SEVERITY[member.state]
