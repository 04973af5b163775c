"""
Divides a team's limit among regions by the demand that each has reported.

Each region computes its own share. The sum must not exceed 1 while reports are on their
way, or lost. Two rules provide for that: a region counts its own demand at the least of
what its last reports said, so that the others have lowered their shares before it raises
its own; and it raises nothing while it doesn't hear from another region::

    shares = RegionShares(now)
    shares.apply_report("west", demand=20_000.0, now=now)
    shares.record_sent(shares_of_own_demand, now)
    shares.find(rate=29_000.0, others=("west", "south"), now=now)    # 0.57
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Interval between two reports of a region, in seconds.
REPORT_INTERVAL_S = 0.25
# Reports over which a region counts its least demand. The oldest of them was sent at
# least two intervals ago, which is more than the way between two regions takes (0.08 s)
# and the time in which the next report replaces a lost one.
COUNTED_REPORTS = 3
# Time without a report after which a region is silent; one lost report isn't enough.
SILENT_S = 0.6
# Time for which the last demand of a silent region is assumed to go on.
HELD_S = 8.0
# Share that each region has in any case, so that its first requests aren't refused while
# other regions use up the limit.
LEAST_SHARE = 0.01


class RegionShares:
    """State: the demand that regions have reported for one team, per second."""

    def __init__(self, now: float) -> None:
        self._began_at = now
        self._heard: dict[str, tuple[float, float]] = {}
        self._sent: deque[float] = deque(maxlen=COUNTED_REPORTS)
        self._sent_at = float("-inf")
        self._share: float | None = None
        self._hinted = False

    def apply_report(self, region: str, demand: float, now: float) -> None:
        """Apply what another region has reported."""
        self._heard[region] = (demand, now)

    def record_sent(self, demand: float, now: float) -> None:
        """Record what this region has reported to all others."""
        if now - self._sent_at > SILENT_S:
            self._sent.clear()
        self._sent.append(demand)
        self._sent_at = now

    def suggest(self, share: float, now: float) -> None:
        """Use the share that a previous coordinator has told hosts, until reports come."""
        if self._share is None and 0.0 < share <= 1.0:
            self._share = share
            self._hinted = True
            self._began_at = now

    def hears(self, others: Collection[str], now: float) -> bool:
        """Whether all other regions have reported lately."""
        since = now - SILENT_S
        return all(
            each in self._heard and self._heard[each][1] >= since for each in others
        )

    def find_part(self, demand: float) -> float:
        """Return the part of this region's demand in that of all regions."""
        total = demand + sum(known for known, _ in self._heard.values())
        return demand / total if total > 0.0 else 0.0

    def has_demand(self, since: float) -> bool:
        """Whether another region has reported demand since a time."""
        return any(demand > 0.0 and at >= since for demand, at in self._heard.values())

    def find(self, rate: float, others: Collection[str], now: float) -> float:
        """Return this region's share of a limit, from 0 to 1."""
        if not others:
            return 1.0
        ages = [now - self._find_heard_at(region) for region in others]
        lost = sum(age > HELD_S for age in ages)
        regions = len(others) + 1
        part = (regions - lost) / regions
        if len(self._sent) < COUNTED_REPORTS or now - self._sent_at > SILENT_S:
            # The others don't know this region's demand.
            share = self._share if self._is_hint_valid(now) else None
            return 1.0 / regions if share is None else min(part, share)
        demands = [
            self._heard[region][0] if region in self._heard else 0.0
            for region, age in zip(others, ages, strict=True)
            if age <= HELD_S
        ]
        share = part * _divide(rate * part, min(self._sent), demands)
        if not lost and max(ages) > SILENT_S:
            share = min(share, 1.0 / regions if self._share is None else self._share)
        self._share = share
        return share

    def _is_hint_valid(self, now: float) -> bool:
        return self._hinted and now - self._began_at <= HELD_S

    def _find_heard_at(self, region: str) -> float:
        heard = self._heard.get(region)
        if heard is not None:
            return heard[1]
        # Its reports went to the previous coordinator.
        return self._began_at if self._hinted else float("-inf")


def _divide(rate: float, own: float, others: list[float]) -> float:
    """
    Return the share of a region with a demand, beside others.

    Each gets its demand and an equal part of the rest. If the sum exceeds the rate, the
    demands are reduced in proportion.
    """
    regions = len(others) + 1
    total = own + sum(others)
    used = own * min(1.0, rate / total) if total > 0.0 else 0.0
    spare = max(0.0, rate - total) / regions
    share = (used + spare) / rate if rate > 0.0 else 1.0 / regions
    return LEAST_SHARE + (1.0 - regions * LEAST_SHARE) * share
