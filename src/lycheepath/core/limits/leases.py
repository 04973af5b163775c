"""
What one host knows of a team's limit: its lease, a denial, and its own use.

Requests are decided here without a message while a lease or a denial lasts::

    lease = TeamLease(team.limit, now)
    lease.record_demand(cost, now)
    if not lease.take(cost, now) and not lease.find_denial_s(now):
        query = lease.make_query(coordinator, cost, waiting, now)
        lease.apply_grant(query, grant, now)
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, exp
from typing import TYPE_CHECKING

from .bucket import TokenBucket
from .fleet_limits import TokenQuery

if TYPE_CHECKING:
    from ..catalog.teams import TeamLimit
    from .fleet_limits import TokenGrant

# Time after which unused tokens of a lease lapse, in seconds, and the time for which a
# host asks in advance. The coordinator bounds what hosts hold together.
LEASE_S = 1.0
# Requests for which a host asks at least, so that one with few requests doesn't send a
# query for each.
MIN_REQUESTS = 4
# Time over which demand is averaged.
AVERAGED_S = 0.5
# Time after an unanswered query in which no other is sent.
UNANSWERED_S = 0.1
# Seconds of its part of the rate that a host without a coordinator may save up.
SAVED_S = 8.0
# Time for which the region's share is used without a coordinator.
SHARE_HELD_S = 8.0


@dataclass(frozen=True, slots=True)
class LimitLevel:
    """
    What this host knows of the use of a team's limit.

    ``left`` is what the team may use here without asking others, ``denied_s`` the time
    for which its requests are still refused here. ``region_share`` is the region's part
    of the limit as this host was last told, None if it doesn't know.
    """

    left: float
    denied_s: float = 0.0
    region_share: float | None = None


class DemandMeter:
    """State: tokens requested per second, averaged with exponential weights."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self.changed_at = now

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were requested."""
        self._rate = self.read(now) + tokens / AVERAGED_S
        self.changed_at = now

    def read(self, now: float) -> float:
        """Return the tokens requested per second."""
        return self._rate * exp(-max(0.0, now - self.changed_at) / AVERAGED_S)


class TeamLease:
    """State: one team's tokens at one host. A changed limit needs a new lease."""

    def __init__(self, limit: TeamLimit, now: float) -> None:
        self.limit = limit
        self.demand = DemandMeter(now)
        self._left = 0.0
        self._lapses_at = now
        self._denied_until = now
        self._unanswered_until = now
        self._unused = 0.0
        self._charge = 0.0
        self._charged_for = ""
        self._share = 0.0
        self._share_at = float("-inf")
        self._alone: TokenBucket | None = None

    def record_demand(self, cost: float, now: float) -> None:
        """Count a request, whether it will be admitted or not."""
        self.demand.add(cost, now)

    def take(self, cost: float, now: float) -> bool:
        """Take the cost of a request from the lease; return whether it covers that."""
        self._lapse(now)
        if self._left < cost:
            return False
        self._left -= cost
        return True

    def give_back(self, cost: float, taken_at: float, now: float) -> None:
        """
        Take back the cost of a request that did not run.

        Tokens that were taken longer ago than a lease lasts go back to the coordinator,
        whose bucket may have filled up meanwhile: used here, they would come on top.
        """
        self._lapse(now)
        if now - taken_at > LEASE_S:
            self._unused += cost
            return
        if self._left <= 0.0:
            self._lapses_at = now + LEASE_S
        self._left += cost

    def find_denial_s(self, now: float) -> float:
        """Return how long the coordinator will grant nothing, 0 if it may."""
        return max(0.0, self._denied_until - now)

    def is_unanswered(self, now: float) -> bool:
        """Whether a query was unanswered so lately that no other is sent."""
        return now < self._unanswered_until

    def find_share(self, now: float) -> float:
        """Return the region's share of the limit, 0 if it isn't known."""
        return self._share if now - self._share_at <= SHARE_HELD_S else 0.0

    def describe(self, now: float) -> LimitLevel:
        """Return what is known here of the limit's use; changes nothing."""
        left = self._left if now < self._lapses_at else 0.0
        return LimitLevel(left, self.find_denial_s(now), self.find_share(now) or None)

    def make_query(
        self, coordinator: str, cost: float, waiting: float, now: float
    ) -> TokenQuery:
        """Return the query for a request, beside others that wait for the reply."""
        self._lapse(now)
        demand = self.demand.read(now)
        unused, self._unused = self._unused, 0.0
        # Messages don't carry small fractions of a token.
        missing = float(ceil(max(0.0, cost - self._left)))
        ahead = max(waiting + LEASE_S * demand, MIN_REQUESTS * cost)
        charge = self._charge if coordinator == self._charged_for else 0.0
        return TokenQuery(
            cost=missing,
            need=missing + ahead,
            demand=demand,
            charge=charge,
            unused=unused,
            share=self.find_share(now),
            waiting=waiting,
        )

    def return_unused(self, now: float) -> TokenQuery | None:
        """Return a query that gives lapsed tokens back and asks for none, if any."""
        self._lapse(now)
        if self._unused <= 0.0:
            return None
        unused, self._unused = self._unused, 0.0
        return TokenQuery(0.0, 0.0, self.demand.read(now), unused=unused)

    def apply_grant(self, query: TokenQuery, grant: TokenGrant, now: float) -> None:
        """Apply the answer to a query, in time or late."""
        self._share, self._share_at = grant.share, now
        self._charge = max(0.0, self._charge - query.charge)
        self._unanswered_until = now
        self._alone = None
        if grant.wait_s > 0.0:
            self._denied_until = now + grant.wait_s
            return
        self._lapse(now)
        self._denied_until = now
        self._left += grant.tokens
        self._lapses_at = now + LEASE_S

    def record_unanswered(self, now: float) -> None:
        """Record that no coordinator has answered."""
        self._unanswered_until = now + UNANSWERED_S

    def take_alone(
        self, coordinator: str, cost: float, part: float, now: float
    ) -> bool:
        """
        Take the cost from this host's own part of the limit, without a coordinator.

        ``part`` is the host's part of the rate. The coordinator is told of it once it
        answers again, as it may have granted the same tokens to others.
        """
        rate = part * self.limit.rate
        if self._alone is None:
            self._alone = TokenBucket(rate, SAVED_S * rate, 0.0, now)
        self._alone.resize(rate, SAVED_S * rate, now)
        if cost > self._alone.burst or self._alone.take(cost, now) > 0.0:
            return False
        if coordinator != self._charged_for:
            self._charge, self._charged_for = 0.0, coordinator
        self._charge += cost
        return True

    def _lapse(self, now: float) -> None:
        if now >= self._lapses_at and self._left > 0.0:
            self._unused += self._left
            self._left = 0.0
