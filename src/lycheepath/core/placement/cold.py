"""
Limits the rate of requests to a cold target.

A target that has just started can take only a few requests per second from the
whole fleet, and crashes under many more. At most ``MAX_COLD_SENDERS`` hosts of its
region each send an equal share of the announced rate; the others send none.
"""

from __future__ import annotations

# Maximum number of hosts that share a cold target, even if more concurrent requests
# are allowed; with more hosts, each would send too rarely to learn the target's state.
MAX_COLD_SENDERS = 3
# Time for which a target that refused a connection is assumed to be cold, in seconds:
# it may have restarted, and its announcement is read within about a second (doubled
# to be safe).
ASSUMED_COLD_S = 2.5
# Time in seconds within which requests that were sent before a target became cold count
# like those sent after.
RECENT_S = 1.0


class ColdRateLimit:
    """
    Token bucket of this host's share of a cold target's request rate.

    A target is cold by its own word, or assumed to be cold since it may have restarted.
    Its word ends the assumption.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._stated_until = float("-inf")
        self._assumed_until = float("-inf")
        self._senders = MAX_COLD_SENDERS
        self._tokens = 1.0
        self._refilled_at = float("-inf")
        self._sent_at = float("-inf")

    def set_rate(self, rate_per_s: float) -> None:
        """Set the rate that a cold target can take; 0 is no limit."""
        self._rate_per_s = rate_per_s

    def apply_announcement(self, left_s: float, now: float) -> None:
        """Apply the announced time for which the target stays cold."""
        if left_s > 0.0:
            self._begin(now)
            self._stated_until = max(self._stated_until, now + left_s)

    def apply_health(self, left_s: float, now: float) -> None:
        """Apply the time that the target itself has just named, 0 if it is warm."""
        self.end_assumption()
        self._stated_until = float("-inf")
        self.apply_announcement(left_s, now)

    def assume_cold(self, now: float, for_s: float = ASSUMED_COLD_S) -> None:
        """Assume that the target is cold until its own word can be read."""
        self._begin(now)
        self._assumed_until = max(self._assumed_until, now + for_s)

    def end_assumption(self) -> None:
        """Forget that the target is assumed to be cold."""
        self._assumed_until = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Whether the rate limit applies."""
        return self._rate_per_s > 0.0 and now < self._cold_until

    def left_s(self, now: float) -> float:
        """Return how long the rate limit still applies."""
        return self._cold_until - now if self.is_cold(now) else 0.0

    def may_send(self, senders: int, now: float) -> bool:
        """Whether this host, one of ``senders``, may send a request now."""
        self._senders = max(1, senders)
        return not self.is_cold(now) or self._refill(now) >= 1.0

    def record_send(self, now: float) -> None:
        """Take a token for a request that is being sent."""
        self._sent_at = now
        if self.is_cold(now):
            self._tokens = self._refill(now) - 1.0

    @property
    def _cold_until(self) -> float:
        return max(self._stated_until, self._assumed_until)

    def _begin(self, now: float) -> None:
        """Start with a token unless a request has just been sent."""
        if now >= self._cold_until:
            self._tokens = 0.0 if now - self._sent_at < RECENT_S else 1.0
            self._refilled_at = now

    def _refill(self, now: float) -> float:
        share = self._rate_per_s / self._senders
        if self._refilled_at > float("-inf"):
            self._tokens = min(1.0, self._tokens + (now - self._refilled_at) * share)
        self._refilled_at = now
        return self._tokens
