"""
Members and the order between statements about them.

A process start is one *incarnation* of its host. Within an incarnation, the
host alone raises its *refutation* counter, to contradict a suspicion or a
verdict of others. A statement is ordered by incarnation first, by refutation
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
    What is believed of a member.

    ``DEAD`` is a verdict after unanswered suspicion; a cut link looks the
    same, so the host may still contradict it. ``ENDED`` is certain: the host
    said goodbye or a later incarnation of it was seen. It is final.
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

    ``peers_address`` takes datagrams and ``callers_address`` HTTP, both as
    ``IP:port``; they may be empty in statements that don't make the member
    known. ``accuser`` names the host that raised a suspicion.
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
        """Whether the member is alive or merely suspected."""
        return self.state in (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class PublishedHost:
    """A host as the platform's list or the environment document names it."""

    id: str
    peers_address: str
    callers_address: str
    zone: str
    region: str


def supersedes(new: Member, old: Member) -> bool:
    """Return whether ``new`` is to replace ``old``, a statement on the same id."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if old.state is State.ENDED or new.state is State.ENDED:
        return old.state is not State.ENDED
    if new.refutation != old.refutation:
        return new.refutation > old.refutation
    return _severity(new) > _severity(old)


def _severity(member: Member) -> int:
    return SEVERITY[member.state]
