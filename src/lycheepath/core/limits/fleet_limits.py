"""
Grants the tokens of a team's limit to the hosts of one region.

One host of each region, the coordinator of the team, holds a bucket with the region's
share of the limit. Hosts ask it for the cost of a request and for what they expect to
need, and get a lease of tokens or a denial::

    region = RegionLimit(team.limit, LimitRules(), since=now, now=now)
    grant = region.grant("host-7", query, others=("west",), presence=1.0, now=now)
    grant.tokens, grant.wait_s    # (2200.0, 0.0) or (0.0, 0.125)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .bucket import TokenBucket
from .fleet_level import FleetLevel
from .region_shares import RegionShares

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..catalog.teams import TeamLimit

# Part of the burst by which the bucket of each region is deeper than the region's share.
# It serves a region whose demand grows until its share has grown, about 1 s later.
REGION_DEPTH = 0.3
# Part of the bucket's depth that hosts may hold in leases beyond the requests that they
# asked for; a half goes by demand, a half equally.
LEASED_PART = 0.4
# Regions for whose debts the slack suffices.
REGIONS = 3
# Part of the slack of the bound by which a region's level may drop below zero, and the
# part of that which a bucket may use again that starts. For three regions, before and
# after a restart, that is all of the slack (630-fleet-limits.md).
DEBT_PART = 0.25
START_DEBT_PART = 1.0 / 3.0
# Shortest time for which a host is denied: that many seconds for each host that asks, so
# that a coordinator gets about 100 queries a second for a team at its limit.
DENIAL_PER_HOST_S = 0.01
MIN_DENIAL_S = 0.02
MAX_DENIAL_S = 0.25
# Time after which a denied host asks again in any case, as shares change meanwhile.
LONGEST_DENIAL_S = 1.0
# Time for which the demand of a host counts after its last query. A host asks again
# after a lease or a denial.
DEMAND_HELD_S = 1.25
# Time without a query after which a bucket isn't needed where another host coordinates.
IDLE_S = 2.0
# Time for which a bucket that starts takes the first total of another host of its region
# for what that host granted before, as the region's coordinator. Its reports come every
# 0.25 s, and one may be lost.
TAKEOVER_S = 0.6


@dataclass(frozen=True, slots=True)
class LimitRules:
    """
    What the deployment allows beyond the limits.

    ``start_part`` is the part of the burst with which a bucket starts, ``slack`` the
    tokens that a window may exceed its bound by.
    """

    start_part: float = 0.25
    slack: float = 110_000.0


@dataclass(frozen=True, slots=True)
class TokenQuery:
    """
    What a host asks for, in tokens.

    ``cost`` is that of the next request, ``need`` what it expects to need, ``cost``
    included. ``demand`` is requested per second, refused requests included. ``charge``
    was used without a lease, ``unused`` is left from lapsed leases. ``share`` is the
    region's share of the limit as the host was last told, 0 if it doesn't know.
    ``waiting`` is the cost of other requests that wait for the answer.
    """

    cost: float
    need: float
    demand: float
    charge: float = 0.0
    unused: float = 0.0
    share: float = 0.0
    waiting: float = 0.0


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """
    A lease of tokens if ``wait_s`` is 0, else the time for which none are granted.

    ``share`` is the region's share of the limit, 0 if the coordinator can't decide.
    """

    tokens: float
    wait_s: float
    share: float


UNDECIDED = TokenGrant(0.0, 0.0, 0.0)


class RegionLimit:
    """
    State: the bucket of one team in one region, and the demand of its hosts.

    ``since`` is when this host began to coordinate the team; nothing is asked before the
    first query, so that the bucket fills from then on.
    """

    def __init__(
        self, limit: TeamLimit, rules: LimitRules, since: float, now: float
    ) -> None:
        self._since = since
        self._began_at = now
        self.limit = limit
        self.shares = RegionShares(now)
        self.asked_at = now
        # Tokens granted since this state began; the others count the differences.
        self.granted = 0.0
        self._returned = 0.0
        self._fleet = FleetLevel(limit, REGIONS * DEBT_PART * rules.slack, now)
        self._substitutes: dict[str, float] = {}
        self._rules = rules
        self._bucket: TokenBucket | None = None
        self._demands: dict[str, tuple[float, float]] = {}

    def set_limit(self, limit: TeamLimit) -> None:
        """Change the limit; the level drops to the new burst with the next query."""
        self.limit = limit

    def grant(
        self,
        host: str,
        query: TokenQuery,
        others: Collection[str],
        presence: float,
        now: float,
    ) -> TokenGrant:
        """
        Answer a host's query.

        ``others`` are the other regions, ``presence`` the part of this region's hosts
        that this one can reach: the rest may be served by another coordinator.
        """
        self.asked_at = now
        self.shares.suggest(query.share, now)
        self._demands[host] = (query.demand, now)
        share = self.shares.find(self.limit.rate, others, now)
        bucket = self._resize(share, presence, query.cost, now)
        share *= presence
        self._apply_corrections(query, bucket, now)
        self._raise(bucket, others, presence, now)
        wait_s = bucket.take(query.cost, now, self._find_debt(query.cost))
        if wait_s > 0.0:
            wait_s = min(LONGEST_DENIAL_S, max(wait_s, self._find_denial_s()))
            return TokenGrant(0.0, wait_s, share)
        most = max(
            self._find_extra(query.demand, now), min(query.waiting, bucket.level)
        )
        extra = min(query.need - query.cost, most)
        if (extra < query.cost and not query.waiting) or extra < 0.0:
            # It would serve no further request here, but may serve one elsewhere.
            extra = 0.0
        bucket.settle(0.0, extra, now)
        tokens = query.cost + extra
        self._record_granted(tokens, now)
        return TokenGrant(tokens, 0.0, share)

    def apply_report(
        self, region: str, host: str, demand: float, granted: float, now: float
    ) -> None:
        """Apply the report of another region's coordinator."""
        self.shares.apply_report(region, demand, now)
        self._fleet.apply_total(host, granted, now)

    def apply_substitute(self, host: str, granted: float, now: float) -> None:
        """
        Charge what another host of the region has granted in place of this one.

        What it granted before this state began isn't charged: the level with which a
        bucket starts allows for that.
        """
        is_new = now - self._began_at <= TAKEOVER_S
        known = self._substitutes.get(host, granted if is_new else 0.0)
        self._substitutes[host] = granted
        tokens = granted - known if granted >= known else granted
        if self._bucket is not None:
            self._bucket.settle(0.0, min(tokens, self._bucket.burst), now)
        self._record_granted(tokens, now)

    def find_demand(self, now: float) -> float:
        """Return the tokens requested per second in this region."""
        since = now - DEMAND_HELD_S
        self._demands = {
            host: known for host, known in self._demands.items() if known[1] >= since
        }
        return sum(demand for demand, _ in self._demands.values())

    def _resize(
        self, share: float, presence: float, cost: float, now: float
    ) -> TokenBucket:
        limit = self.limit
        rate = share * presence * limit.rate
        depth = min(1.0, share + REGION_DEPTH) * presence * limit.burst
        if self._bucket is None:
            # What was granted before isn't known: most of the debt isn't allowed again.
            debt = self._find_debt(cost)
            level = self._rules.start_part * depth
            level -= debt - min(cost, START_DEBT_PART * debt)
            self._bucket = TokenBucket(rate, depth, level, self._since)
            self._fleet.forget(now)
        self._bucket.resize(rate, depth, now)
        return self._bucket

    def _apply_corrections(
        self, query: TokenQuery, bucket: TokenBucket, now: float
    ) -> None:
        charge = min(query.charge, bucket.burst)
        bucket.settle(query.unused, charge, now)
        # The bucket doesn't hold more, so more can't be granted in place of these.
        self._returned = min(self._returned + query.unused, bucket.burst)
        if charge > 0.0:
            self._record_granted(charge, now)

    def _record_granted(self, tokens: float, now: float) -> None:
        # Returned tokens reduce later counts, so that the sum doesn't decrease.
        returned = min(self._returned, tokens)
        self._returned -= returned
        tokens -= returned
        self.granted += tokens
        self._fleet.charge(tokens, now)

    def _raise(
        self,
        bucket: TokenBucket,
        others: Collection[str],
        presence: float,
        now: float,
    ) -> None:
        """Raise the level to this region's part of what all regions have left."""
        if not others:
            return
        self._fleet.resize(self.limit, now)
        if presence < 1.0 or not self.shares.hears(others, now):
            self._fleet.forget(now)
            return
        part = self.shares.find_part(self.find_demand(now))
        left = self._fleet.read(now)
        if left > 0.0:
            bucket.raise_to(part * left, now)

    def _find_debt(self, cost: float) -> float:
        if not self.limit.counts_tokens:
            return cost
        # Small limits don't use more of the slack than one request or a second's rate.
        return min(DEBT_PART * self._rules.slack, max(cost, self.limit.rate))

    def _find_extra(self, demand: float, now: float) -> float:
        """Return the most that a host may lease beyond the request it asked for."""
        bucket = self._bucket
        if bucket is None:
            return 0.0
        total = max(self.find_demand(now), demand)
        part = demand / total if total > 0.0 else 1.0
        equal = 1.0 / max(1, len(self._demands))
        most = LEASED_PART * bucket.burst * (part + equal) / 2.0
        return min(most, bucket.level * part)

    def _find_denial_s(self) -> float:
        denial_s = DENIAL_PER_HOST_S * len(self._demands)
        return min(MAX_DENIAL_S, max(MIN_DENIAL_S, denial_s))
