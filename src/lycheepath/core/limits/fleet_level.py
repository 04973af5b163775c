"""
What one region knows of a team's bucket over all regions.

Shares of regions follow demand a second late. Meanwhile the tokens that one region leaves
unused serve another: each counts what all have granted, as they report it, and raises its
own level to its part of what the fleet has left::

    level = FleetLevel(limit, now)
    level.apply_total("west-3", granted_total, now)
    level.charge(tokens, now)                 # granted here
    level.read(now)                           # left for all regions
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .bucket import TokenBucket

if TYPE_CHECKING:
    from ..catalog.teams import TeamLimit

# Part of the burst by which the level drops below zero, beside the regions' debts.
MAX_OVERUSE = 0.5


class FleetLevel:
    """
    State: the tokens left for all regions, and the totals that others reported.

    ``debt`` is the sum by which the levels of regions may drop below zero.
    """

    def __init__(self, limit: TeamLimit, debt: float, now: float) -> None:
        self._debt = debt
        # A new coordinator doesn't know what was granted before.
        self._bucket = TokenBucket(limit.rate, limit.burst, 0.0, now)
        self._totals: dict[str, float] = {}

    def resize(self, limit: TeamLimit, now: float) -> None:
        """Change the limit."""
        self._bucket.resize(limit.rate, limit.burst, now)

    def charge(self, tokens: float, now: float) -> None:
        """Count tokens that were granted in this region."""
        self._bucket.settle(0.0, tokens, now)
        # The stored tokens of all regions exceed the burst: once they are used, what a
        # region leaves unused later is still to be counted.
        lowest = -MAX_OVERUSE * self._bucket.burst - self._debt
        self._bucket.raise_to(lowest, now)

    def apply_total(self, host: str, total: float, now: float) -> None:
        """Count what the coordinator of another region has granted since its start."""
        known = self._totals.get(host)
        self._totals[host] = total
        if known is not None:
            self.charge(total - known if total >= known else total, now)

    def forget(self, now: float) -> None:
        """Count nothing as left, while another region's grants aren't known."""
        self._bucket.settle(0.0, max(0.0, self._bucket.read(now)), now)

    def read(self, now: float) -> float:
        """Return the tokens left, negative if more than the limit was granted."""
        return self._bucket.read(now)
