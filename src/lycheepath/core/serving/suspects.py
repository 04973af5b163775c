"""
Holds back requests that end the targets which run them.

A request may be such that every target which begins it goes down. It comes
again with the same method, path and body, at any host. What breaks off at a
target is noted under a fingerprint of these; one that has broken off at
``MOST_TARGETS`` targets and never was answered is refused for a while. Hosts
tell each other what they note::

    suspects = Suspects()
    suspects.note_break(fingerprint, "i-7f", now)
    suspects.is_barred(fingerprint, now)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

# Targets that went down under one request before it is held back; two may be
# chance on a day on which targets crash anyway.
MOST_TARGETS = 3
# A request that is held back may be tried again after this long.
BARRED_S = 30.0
MOST_NOTED = 512


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
    """State: requests that broke off, and the targets at which they did."""

    def __init__(self) -> None:
        self._noted: dict[int, _Suspect] = {}

    def note_break(self, fingerprint: int, target: str, now: float) -> None:
        """
        Note that a target's connection broke while it ran a request.

        What is known already changes nothing, so that hosts which tell each
        other come to an end.
        """
        held = self._noted.get(fingerprint)
        if held is not None and target in held.targets:
            return
        suspect = self._noted.pop(fingerprint, None) or _Suspect()
        suspect.targets.add(target)
        suspect.at = now
        self._noted[fingerprint] = suspect
        while len(self._noted) > MOST_NOTED:
            del self._noted[next(iter(self._noted))]

    def note_answer(self, fingerprint: int) -> None:
        """Note that a target answered: it wasn't the request."""
        self._noted.pop(fingerprint, None)

    def is_barred(self, fingerprint: int, now: float) -> bool:
        """Whether a request is held back."""
        suspect = self._noted.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.at > BARRED_S:
            del self._noted[fingerprint]
            return False
        return len(suspect.targets) >= MOST_TARGETS

    def to_tell(self, now: float, within_s: float) -> list[tuple[int, list[str]]]:
        """Return what was noted lately, for other hosts."""
        return [
            (fingerprint, sorted(suspect.targets))
            for fingerprint, suspect in self._noted.items()
            if now - suspect.at < within_s
        ]
