"""
The members of the local region, and the hashes by which two views are compared.

The hashes cover which members are live, in which incarnation, and whether they are
draining. They don't cover suspicions, which change while views agree.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING
from zlib import crc32

from .errors import ResurrectionError
from .model import Member, State, supersedes

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

BUCKETS = 16


class MemberTable:
    """Members by id, dead ones included until they are removed."""

    def __init__(self, limit: int) -> None:
        self._members: dict[str, Member] = {}
        self._dead_since: dict[str, float] = {}
        self._limit = limit
        self._live: list[str] = []
        self._positions: dict[str, int] = {}
        self.bucket_hashes = [0] * BUCKETS
        self.shed = 0

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(tuple(self._members.values()))

    def get(self, member_id: str) -> Member | None:
        """Return the held statement about a member."""
        return self._members.get(member_id)

    @property
    def view_hash(self) -> int:
        """A hash that is equal on two hosts that see the same live members."""
        mixed = 0
        for number, value in enumerate(self.bucket_hashes):
            mixed ^= value * (2 * number + 1) & 0xFFFFFFFF
        return mixed

    def put(self, member: Member, now: float) -> None:
        """
        Replace the statement about a member.

        A full table sheds the member that has been dead for longest, or the new
        member if none is dead. Raises ``ResurrectionError`` if the statement doesn't
        supersede the held one, as a dead or ended incarnation could become alive
        again.
        """
        held = self._members.get(member.id)
        if held is not None:
            if not supersedes(member, held):
                raise ResurrectionError(f"{member} does not supersede {held}")
            self._toggle_hash(held)
        elif not self._make_room():
            return
        self._members[member.id] = member
        self._toggle_hash(member)
        self._update_liveness(member, now)

    @property
    def live_count(self) -> int:
        """The number of live members, this host included."""
        return len(self._live)

    def live_ids(self) -> list[str]:
        """Return the ids of the live members, this host included."""
        return list(self._live)

    def is_live(self, member_id: str) -> bool:
        """Return whether a member is alive or only suspected."""
        return member_id in self._positions

    def sample_live(
        self, random: Random, count: int, excluded: tuple[str, ...]
    ) -> list[str]:
        """Return up to ``count`` live members drawn at random."""
        drawn = random.sample(self._live, min(count + len(excluded), len(self._live)))
        return [member_id for member_id in drawn if member_id not in excluded][:count]

    def dead_ids(self) -> list[str]:
        """Return the ids of members that are dead or ended."""
        return list(self._dead_since)

    def remove_dead_before(self, time: float) -> list[str]:
        """Remove members that died before ``time``; return their ids."""
        old = [
            member_id for member_id, since in self._dead_since.items() if since < time
        ]
        for member_id in old:
            self._remove(member_id)
        return old

    def _update_liveness(self, member: Member, now: float) -> None:
        if member.live:
            self._add_live(member.id)
            self._dead_since.pop(member.id, None)
        else:
            self._discard_live(member.id)
            self._dead_since[member.id] = now

    def _add_live(self, member_id: str) -> None:
        if member_id not in self._positions:
            self._positions[member_id] = len(self._live)
            self._live.append(member_id)

    def _discard_live(self, member_id: str) -> None:
        position = self._positions.pop(member_id, None)
        if position is None:
            return
        last = self._live.pop()
        if last != member_id:
            self._live[position] = last
            self._positions[last] = position

    def _toggle_hash(self, member: Member) -> None:
        if member.live:
            self.bucket_hashes[bucket_of(member.id)] ^= _hash_member(member)

    def _make_room(self) -> bool:
        if len(self._members) < self._limit:
            return True
        self.shed += 1
        oldest = next(iter(self._dead_since), None)
        if oldest is None:
            return False
        self._remove(oldest)
        return True

    def _remove(self, member_id: str) -> None:
        member = self._members.pop(member_id)
        self._toggle_hash(member)
        self._dead_since.pop(member_id, None)
        self._discard_live(member_id)


def bucket_of(member_id: str) -> int:
    """Return the number of the bucket whose hash covers ``member_id``."""
    return crc32(member_id.encode()) % BUCKETS


def as_suspect(member: Member, accuser: str) -> Member:
    """Return ``member`` as suspected by ``accuser``."""
    return _with_state(member, State.SUSPECT, accuser)


def as_dead(member: Member) -> Member:
    """Return ``member`` as declared dead."""
    return _with_state(member, State.DEAD, "")


def _with_state(member: Member, state: State, accuser: str) -> Member:
    return Member(
        id=member.id,
        incarnation=member.incarnation,
        refutation=member.refutation,
        state=state,
        peers_address=member.peers_address,
        callers_address=member.callers_address,
        zone=member.zone,
        region=member.region,
        leaving=member.leaving,
        accuser=accuser,
    )


def _hash_member(member: Member) -> int:
    raw = f"{member.id}|{member.incarnation}|{member.leaving}".encode()
    return int.from_bytes(blake2b(raw, digest_size=4).digest(), "big")
