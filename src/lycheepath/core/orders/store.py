"""
The budget of one host for loads from the weight store, as a token bucket.

Each candidate has its own share of the store's rate and needs no coordination
with other hosts. A load is charged in full when it is ordered. An idle host
accumulates at most the bytes of one load, and a new process starts with none,
since its predecessor may have just spent them. In any span of time all hosts
together therefore order at most the store's rate times the span, plus one load
for each candidate.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WeightStoreBudget:
    """The bytes that this host may order, as of ``refilled_at_s``."""

    refilled_at_s: float
    bytes_per_s: float = 0.0
    available_bytes: float = 0.0
    largest_load_bytes: float = 0.0

    def apply(self, bytes_per_s: float, largest_load_bytes: float, now: float) -> None:
        """Apply a new share; the accumulated bytes stay, up to the largest load."""
        self._refill(now)
        self.bytes_per_s = bytes_per_s
        self.largest_load_bytes = largest_load_bytes
        self.available_bytes = min(self.available_bytes, largest_load_bytes)

    def charge(self, load_bytes: float, now: float) -> float:
        """
        Charge a load and return 0, or return the seconds until it can be charged.

        Returns infinity for a host without a share.
        """
        self._refill(now)
        if load_bytes <= self.available_bytes:
            self.available_bytes -= load_bytes
            return 0.0
        if self.bytes_per_s <= 0:
            return float("inf")
        return (load_bytes - self.available_bytes) / self.bytes_per_s

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self.refilled_at_s) * self.bytes_per_s
        self.available_bytes = min(
            self.available_bytes + gained, self.largest_load_bytes
        )
        self.refilled_at_s = max(self.refilled_at_s, now)
