"""
Holds the rate at which a cold target is sent requests to what it bears.

A target that has just started bears few requests a second from the whole
fleet, and crashes under many more. Each of at most ``MAX_COLD_SENDERS`` hosts of
its region sends an equal share of the announced rate; the others none.
"""

from __future__ import annotations

# Hosts that share a cold target, where the allowance of requests at once is
# larger; more would each send too rarely to learn of the target's state.
MAX_COLD_SENDERS = 3
# A target that refused or fell silent may come back cold; what it announces
# is read within about a second, and twice that to be sure.
DOUBT_S = 2.5
# What is announced is this old at most when it is read.
ANNOUNCEMENT_LAG_S = 1.5


class ColdGate:
    """State: until when a target is cold, and what was sent meanwhile."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._until = float("-inf")
        self._senders = MAX_COLD_SENDERS
        self._saved = 1.0
        self._at = float("-inf")

    def announce(self, left_s: float, now: float) -> None:
        """Take the target's word on how long it stays cold."""
        if left_s > 0.0:
            self._until = max(self._until, now + left_s)

    def doubt(self, now: float) -> None:
        """Take the target for cold until it can have said otherwise."""
        self._until = max(self._until, now + DOUBT_S)

    def is_cold(self, now: float) -> bool:
        """Whether the bound on the rate applies."""
        return self._rate_per_s > 0.0 and now < self._until

    def left_s(self, now: float) -> float:
        """Return how long the bound on the rate still applies."""
        return self._until - now if self.is_cold(now) else 0.0

    def may_send(self, senders: int, now: float) -> bool:
        """Whether this host, one of ``senders``, may send a request now."""
        self._senders = max(1, senders)
        return not self.is_cold(now) or self._refill(now) >= 1.0

    def sent(self, now: float) -> None:
        """Count a request that is sent."""
        if self.is_cold(now):
            self._saved = self._refill(now) - 1.0

    def _refill(self, now: float) -> float:
        share = self._rate_per_s / self._senders
        if self._at > float("-inf"):
            self._saved = min(1.0, self._saved + (now - self._at) * share)
        self._at = now
        return self._saved
