"""
The budget of one host for loads from the weight store.

Each candidate has its own share of the store's rate and never asks another
host. A load is charged in full when it is ordered; an idle host saves up one
load and no more, and a fresh process starts with nothing saved, since its
predecessor may have just spent it. All hosts together therefore order at most
the rate times the span, plus one load for each candidate, in any span of time.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WeightStoreBudget:
    """The bytes that this host may order; ``refilled_at_s`` is when they were counted."""

    refilled_at_s: float
    bytes_per_s: float = 0.0
    available_bytes: float = 0.0
    largest_load_bytes: float = 0.0

    def apply(self, bytes_per_s: float, largest_load_bytes: float, now: float) -> None:
        """Take over a new share; what was saved under the old one stays."""
        self._refill(now)
        self.bytes_per_s = bytes_per_s
        self.largest_load_bytes = largest_load_bytes
        self.available_bytes = min(self.available_bytes, largest_load_bytes)

    def charge(self, load_bytes: float, now: float) -> float:
        """
        Charge a load and return 0, or the seconds until it can be charged.

        A host without a share waits for ever.
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
