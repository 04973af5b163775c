"""
Holds back requests that end the targets which run them.

A request may be such that every target which begins it goes down. It comes
again with the same method, path and body, at any host. What breaks off at a
target is noted under a fingerprint of these; one that has broken off at
``MAX_LOST_TARGETS`` targets and never was answered is refused for a while. Hosts
tell each other what they note::

    suspects = Suspects()
    suspects.note_break(fingerprint, "i-7f", now)
    suspects.find_barred_s(fingerprint, now)

Connections break for other reasons, too. A request that was answered lately is
none of these, and a target that goes on answering others didn't go down.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

# Targets that went down under one request before it is held back; two may be
# chance on a day on which targets crash anyway.
MAX_LOST_TARGETS = 3
# A request that is held back may be tried again after this long.
BARRED_S = 30.0
MOST_NOTED = 512
# An answer clears a request of what breaks off within this time after it.
CLEARED_S = 30.0
# Fingerprints of answered requests; a second's peak of the largest host, ten
# times over.
MOST_CLEARED = 1024
# A target that answers so long after a break hasn't gone down: what it had sent
# before has been read by then, and none starts within a second.
ALIVE_FROM_S, ALIVE_UNTIL_S = 0.1, 1.0


def fingerprint_request(method: bytes, target: bytes, body: bytes) -> int:
    """Return a number that is the same for the same request of a caller."""
    digest = blake2b(digest_size=6)
    for part in (method, target, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


@dataclass(slots=True)
class _Suspect:
    targets: set[str] = field(default_factory=set)
    at: float = 0.0


class Suspects:
    """State: requests that broke off and where, and those that were answered."""

    def __init__(self) -> None:
        self._noted: dict[int, _Suspect] = {}
        self._cleared: dict[int, float] = {}
        self._broken_at: dict[str, float] = {}

    def record_disconnect(self, fingerprint: int, target: str, now: float) -> None:
        """
        Note that a target's connection broke while it ran a request.

        What is known already changes nothing, so that hosts which tell each
        other come to an end.
        """
        if now - self._cleared.get(fingerprint, -CLEARED_S) < CLEARED_S:
            return
        held = self._noted.get(fingerprint)
        if held is not None and target in held.targets:
            return
        suspect = self._noted.pop(fingerprint, None) or _Suspect()
        suspect.targets.add(target)
        suspect.at = now
        self._noted[fingerprint] = suspect
        self._broken_at[target] = now
        _shrink(self._noted, MOST_NOTED)
        _shrink(self._broken_at, MOST_NOTED)

    def record_answer(self, fingerprint: int, target: str, now: float) -> None:
        """Note that a target answered: it wasn't the request, and it is alive."""
        self._noted.pop(fingerprint, None)
        self._cleared.pop(fingerprint, None)
        self._cleared[fingerprint] = now
        _shrink(self._cleared, MOST_CLEARED)
        self._note_alive(target, now)

    def find_blocked_s(self, fingerprint: int, now: float) -> float:
        """Return how much longer a request is held back; 0 if it isn't."""
        suspect = self._noted.get(fingerprint)
        if suspect is None:
            return 0.0
        left_s = suspect.at + BARRED_S - now
        if left_s <= 0.0:
            del self._noted[fingerprint]
            return 0.0
        return left_s if len(suspect.targets) >= MAX_LOST_TARGETS else 0.0

    def list_recent(self, now: float, within_s: float) -> list[tuple[int, list[str]]]:
        """Return what was noted lately, for other hosts."""
        return [
            (fingerprint, sorted(suspect.targets))
            for fingerprint, suspect in self._noted.items()
            if now - suspect.at < within_s
        ]

    def _note_alive(self, target: str, now: float) -> None:
        """Withdraw a break at a target that answers others after it."""
        broken_at = self._broken_at.get(target)
        if broken_at is None or now - broken_at < ALIVE_FROM_S:
            return
        del self._broken_at[target]
        if now - broken_at > ALIVE_UNTIL_S:
            return
        for fingerprint, suspect in list(self._noted.items()):
            suspect.targets.discard(target)
            if not suspect.targets:
                del self._noted[fingerprint]


def _shrink(table: dict[Any, Any], most: int) -> None:
    """Forget the oldest entries beyond the most that are kept."""
    while len(table) > most:
        del table[next(iter(table))]
