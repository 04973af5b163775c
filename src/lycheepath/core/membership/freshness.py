"""
Protection against replayed messages that doesn't rely on clocks.

A sender's messages are accepted only after it has proved that it is running, by
echoing a number that this process generated. From then on a sliding window over
its sequence numbers rejects messages that were received before or are too old.
A replayed capture passes neither check, whenever it is sent.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

WINDOW_BITS = 256
COOKIE_SLOT_S = 30.0
MAX_SENDERS = 4096


class ReplayWindow:
    """The sequence numbers accepted from one incarnation of a sender."""

    __slots__ = ("_highest", "_seen", "incarnation")

    def __init__(self, incarnation: int, sequence: int) -> None:
        self.incarnation = incarnation
        self._highest = sequence
        self._seen = (1 << WINDOW_BITS) - 1

    def accept(self, sequence: int) -> bool:
        """Accept ``sequence`` unless it was accepted or precedes the window."""
        if sequence > self._highest:
            shift = min(sequence - self._highest, WINDOW_BITS)
            self._seen = (self._seen << shift | 1) & ((1 << WINDOW_BITS) - 1)
            self._highest = sequence
            return True
        behind = self._highest - sequence
        if behind >= WINDOW_BITS or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True


class FreshSenders:
    """The windows of a bounded number of senders that proved to be fresh."""

    def __init__(self, random: Random, limit: int = MAX_SENDERS) -> None:
        self._secret = random.getrandbits(256).to_bytes(32, "big")
        self._windows: OrderedDict[str, ReplayWindow] = OrderedDict()
        self._limit = limit

    def __len__(self) -> int:
        return len(self._windows)

    def window(self, sender: str) -> ReplayWindow | None:
        """Return the window of ``sender`` if it has proved to be fresh."""
        return self._windows.get(sender)

    def open(self, sender: str, incarnation: int, sequence: int) -> None:
        """Register ``sender`` as fresh and reject sequences up to ``sequence``."""
        self._windows[sender] = ReplayWindow(incarnation, sequence)
        self._windows.move_to_end(sender)
        if len(self._windows) > self._limit:
            self._windows.popitem(last=False)

    def make_cookie(self, sender: str, incarnation: int, now: float) -> int:
        """Return the number that ``sender`` has to echo to prove freshness."""
        return self._cookie(sender, incarnation, int(now / COOKIE_SLOT_S))

    def check_cookie(
        self, sender: str, incarnation: int, cookie: int, now: float
    ) -> bool:
        """
        Return whether ``cookie`` was made for this incarnation recently.

        Cookies of the current and of the previous time slot are valid.
        """
        slot = int(now / COOKIE_SLOT_S)
        valid = (
            self._cookie(sender, incarnation, number) for number in (slot, slot - 1)
        )
        return cookie != 0 and cookie in tuple(valid)

    def _cookie(self, sender: str, incarnation: int, slot: int) -> int:
        raw = f"{sender}|{incarnation}|{slot}".encode()
        digest = blake2b(raw, key=self._secret, digest_size=8).digest()
        return int.from_bytes(digest, "big") or 1
