"""
Keeps the request rate that a target accepts from all hosts together.

A target under pressure states its limit in its answers. The limit applies to the
instance that stated it, until the answer to a later request states none. Hosts ask the
target's coordinator for a permit before each request, so the rate is kept by all of
them together, and none of it is lost in shares that some hosts don't use::

    rate_limit.observe_answer(2.5, sent_at=3.0, now=3.2)
    wait_s = rate_limit.take_permit(now)    # at the coordinator; 0 is a permit
    rate_limit.record_denial(wait_s, now)    # at the host that asked
"""

from __future__ import annotations

from dataclasses import dataclass

from ..limits.bucket import TokenBucket

# Time over which permits that nobody takes accumulate, in seconds.
BURST_S = 0.5
# Lowest rate that is kept, in requests per second: only an answer shows that a limit
# has ended, so a lower one would keep a target out of use for good.
MIN_RATE = 0.2
# Longest time after a denial until the coordinator is asked again, in seconds; it may
# have learned of another limit.
MAX_DENIAL_S = 1.0
# Age above which statements are alike, in seconds.
MAX_AGE_S = 3600.0


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """
    What an instance of a target stated, as passed between hosts.

    ``born_ms`` is the start of the instance, 0 if unknown. ``age_s`` is the time since
    its answer arrived.
    """

    target: str
    born_ms: int
    rate: float | None
    age_s: float


@dataclass(slots=True)
class RateLimit:
    """
    The limit of one instance of a target, in requests per second; None if it has none.

    ``observed_at`` is when the answer that showed this arrived, ``exhausted_until``
    when this host may ask for a permit again, as times of its monotonic clock.
    """

    rate: float | None = None
    observed_at: float = float("-inf")
    exhausted_until: float = float("-inf")
    _bucket: TokenBucket | None = None

    def observe_answer(self, rate: float | None, sent_at: float, now: float) -> bool:
        """
        Apply what an answer states; return whether the limit has changed.

        An answer without a limit ends one only if its request was sent after the limit
        was observed: answers on several connections may overtake each other.
        """
        if rate is None and self.rate is not None and sent_at <= self.observed_at:
            return False
        return self._set_rate(rate, now)

    def apply_report(self, rate: float | None, observed_at: float) -> bool:
        """Apply a peer's newer observation; return whether the limit has changed."""
        return observed_at > self.observed_at and self._set_rate(rate, observed_at)

    def take_permit(self, now: float, share: float = 1.0) -> float:
        """
        Return 0 if a request may be sent now, else the time until one may, in seconds.

        ``share`` is the part of the rate that this host grants.
        """
        if self.rate is None:
            return 0.0
        rate = max(self.rate, MIN_RATE) * share
        burst = 1.0 + rate * BURST_S
        if self._bucket is None:
            # Hosts that begin to send shares have one permit together.
            self._bucket = TokenBucket(rate, burst, share, now)
        self._bucket.resize(rate, burst, now)
        return self._bucket.take(1.0, now)

    def record_denial(self, wait_s: float, now: float) -> None:
        """Record that no permit is available for a time, in seconds."""
        self.exhausted_until = now + min(wait_s, MAX_DENIAL_S)

    def may_ask(self, now: float) -> bool:
        """Whether a permit may be available, or none is needed."""
        return self.rate is None or now >= self.exhausted_until

    def left_s(self, now: float) -> float:
        """Return the time until a permit may be available, in seconds."""
        return 0.0 if self.may_ask(now) else self.exhausted_until - now

    def _set_rate(self, rate: float | None, observed_at: float) -> bool:
        self.observed_at = observed_at
        if rate == self.rate:
            return False
        self.rate = rate
        self.exhausted_until = float("-inf")
        return True


def describe_rate(rate: float | None) -> str:
    """Return a limit as text for the log."""
    return "none" if rate is None else f"{rate:g} a second"
