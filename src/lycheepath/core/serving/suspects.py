"""
Blocks requests that crash the targets which run them.

A request may crash every target that starts it, and is retried at any host with the
same method, path and body. A connection that breaks while a request runs is recorded
under a fingerprint of these three. A request whose connections broke at
``MAX_LOST_TARGETS`` targets without ever being answered is refused for a while. Hosts
report suspects to each other::

    suspects = Suspects()
    suspects.record_disconnect(fingerprint, "i-7f", now)
    suspects.find_blocked_s(fingerprint, now)

Connections also break for other reasons. A request that was answered recently isn't a
suspect, and a target that continues to answer other requests didn't crash.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

# Number of targets lost while running a request before it is blocked; two may be a
# coincidence while targets crash for other reasons.
MAX_LOST_TARGETS = 3
# Time in seconds after which a blocked request may be sent again.
BLOCK_S = 30.0
# Maximum number of suspects that are kept.
MAX_SUSPECTS = 512
# Time in seconds after an answer during which the request's broken connections aren't
# recorded.
CLEARED_S = 30.0
# Maximum number of fingerprints of answered requests that are kept: ten times the peak
# number of requests per second of the largest host.
MAX_CLEARED = 1024
# A target that answers between these times after a broken connection, in seconds,
# didn't crash: bytes that it sent before have been read by then, and no target restarts
# within a second.
ALIVE_FROM_S, ALIVE_UNTIL_S = 0.1, 1.0


def fingerprint_request(method: bytes, target: bytes, body: bytes) -> int:
    """Return a fingerprint of a request, the same for each retry by its caller."""
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
    """The suspects with the targets they lost, and recently answered requests."""

    def __init__(self) -> None:
        self._suspects: dict[int, _Suspect] = {}
        self._cleared: dict[int, float] = {}
        self._disconnected_at: dict[str, float] = {}

    def record_disconnect(self, fingerprint: int, target: str, now: float) -> None:
        """
        Record that the connection to a target broke while it ran a request.

        A target that is already recorded changes nothing, not even the time, so that
        reports between hosts don't circulate forever.
        """
        if now - self._cleared.get(fingerprint, -CLEARED_S) < CLEARED_S:
            return
        known = self._suspects.get(fingerprint)
        if known is not None and target in known.targets:
            return
        suspect = self._suspects.pop(fingerprint, None) or _Suspect()
        suspect.targets.add(target)
        suspect.at = now
        self._suspects[fingerprint] = suspect
        self._disconnected_at[target] = now
        _drop_oldest(self._suspects, MAX_SUSPECTS)
        _drop_oldest(self._disconnected_at, MAX_SUSPECTS)

    def record_answer(self, fingerprint: int, target: str, now: float) -> None:
        """Record that a target answered: it is alive, and the request is cleared."""
        self._suspects.pop(fingerprint, None)
        self._cleared.pop(fingerprint, None)
        self._cleared[fingerprint] = now
        _drop_oldest(self._cleared, MAX_CLEARED)
        self._record_alive(target, now)

    def find_blocked_s(self, fingerprint: int, now: float) -> float:
        """Return how much longer a request is blocked, in seconds; 0 if it isn't."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        left_s = suspect.at + BLOCK_S - now
        if left_s <= 0.0:
            del self._suspects[fingerprint]
            return 0.0
        return left_s if len(suspect.targets) >= MAX_LOST_TARGETS else 0.0

    def list_recent(self, now: float, within_s: float) -> list[tuple[int, list[str]]]:
        """Return the suspects of the last ``within_s`` seconds, to report to peers."""
        return [
            (fingerprint, sorted(suspect.targets))
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.at < within_s
        ]

    def _record_alive(self, target: str, now: float) -> None:
        """Discard a broken connection of a target that has answered since."""
        disconnected_at = self._disconnected_at.get(target)
        if disconnected_at is None or now - disconnected_at < ALIVE_FROM_S:
            return
        del self._disconnected_at[target]
        if now - disconnected_at > ALIVE_UNTIL_S:
            return
        for fingerprint, suspect in list(self._suspects.items()):
            suspect.targets.discard(target)
            if not suspect.targets:
                del self._suspects[fingerprint]


def _drop_oldest(table: dict[Any, Any], max_entries: int) -> None:
    """Remove the oldest entries beyond the maximum number."""
    while len(table) > max_entries:
        del table[next(iter(table))]
