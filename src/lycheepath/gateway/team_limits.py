"""
Keeps the limits of teams over all hosts.

A host asks the team's coordinator in its region for tokens, for several requests at once,
and decides the others itself by its lease or denial. Coordinators report the demand of
their region to those of the other regions. Neither needs the store::

    admission = await team_limits.admit(team, cost)
    if isinstance(admission, Absent): ...    # not run: 429, or 503 if unknown
    team_limits.give_back(admission)         # if the request has not run
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.team_limit_messages import (
    DemandReport,
    LimitQuery,
    LimitReply,
    TeamDemand,
    encode_team_limit_message,
)
from ..core.hosts.rendezvous import rank
from ..core.limits.fleet_limits import IDLE_S, UNDECIDED, LimitRules, RegionLimit
from ..core.limits.leases import TeamLease
from ..core.limits.region_shares import REPORT_INTERVAL_S
from ..core.placement.coordinators import Coordinators
from ..core.placement.returns import ReturnSchedule
from ..core.reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from ..adapters.metrics import Metrics
    from ..adapters.team_limit_messages import TeamLimitMessage
    from ..core.catalog.teams import Team, TeamLimit
    from ..core.limits.fleet_limits import TokenGrant, TokenQuery
    from ..core.limits.leases import LimitLevel
    from .settings import GatewaySettings

# Time to wait for the coordinator until the next in rank is asked, and then for either.
# Replies take 1 ms; busy hosts take some tens.
QUERY_TIMEOUTS_S = (0.025, 0.1)
# Rounds in which a request waits for a query that another request has sent.
MAX_ROUNDS = 32
# Time after its start in which a host grants nothing, as it may not know its peers.
START_S = 0.8
# Shortest and longest time after which a refused caller is asked to return, in seconds.
# Up to a half is added to it when it is written.
MIN_RETURN_S = 0.5
MAX_RETURN_S = 2.6
# Longest interval between the returns of two callers. The region may have tokens for
# this host earlier than its equal part of the rate says.
MAX_INTERVAL_S = 0.25
# Time for which a host keeps what it knows of a team without requests.
KEPT_S = 10.0
# Time for which the reply to a query may still come.
LATE_S = 1.0
# Teams in one datagram.
MAX_REPORTED = 200
# Shortest time between two log lines on denials of a team, in seconds.
LOG_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class FleetHosts:
    """
    The hosts that may coordinate teams.

    ``local`` are those of this region with this one, ``remote`` those of each other
    region, empty while none is reachable. ``presence`` is the part of this region's
    hosts that this one can reach.
    """

    local: tuple[str, ...]
    remote: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    presence: float = 1.0


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that was charged to its team's limit."""

    team: str
    cost: float
    lease: TeamLease | None
    at: float = 0.0


UNLIMITED = Admission("", 0.0, None)


@dataclass(slots=True, eq=False)
class _Pending:
    """A query without reply; ``done`` is set with it."""

    lease: TeamLease
    coordinator: str
    query: TokenQuery
    sent_at: float
    reply: TokenGrant | None = None
    done: trio.Event = field(default_factory=trio.Event)

    @property
    def is_decided(self) -> bool:
        """Whether the answer is a lease or a denial."""
        return self.reply is not None and self.reply.share > 0.0


@dataclass(slots=True)
class _Asking:
    """Requests that wait for one query, and the sum of their costs."""

    waiting: float = 0.0
    done: trio.Event = field(default_factory=trio.Event)


class TeamLimits:
    """
    State: leases by team, the limits coordinated here, and pending queries.

    ``find_team`` looks a team up in the configuration in force, ``send`` sends a
    datagram to a host of any region.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        now: Callable[[], float],
        next_number: Callable[[], int],
        find_team: Callable[[str], Team | None],
        send: Callable[[str, bytes], Awaitable[None]],
        metrics: Metrics,
    ) -> None:
        host = self._host = settings.host
        self._region = settings.region
        bounds = settings.bounds
        self._rules = LimitRules(bounds.limit_over, bounds.limit_slack)
        self._now = now
        self._next_number = next_number
        self._find_team = find_team
        self._send_data = send
        self._metrics = metrics
        self._started_at = now()
        # When this host may have begun to coordinate a team.
        self._unchanged_since = self._started_at + START_S
        self._hosts = FleetHosts((host,))
        self._coordinators = Coordinators(host)
        self._leases: dict[str, TeamLease] = {}
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._asking: dict[str, _Asking] = {}
        self._pending: dict[int, _Pending] = {}
        self._limits: dict[str, RegionLimit] = {}
        self._returns: dict[str, ReturnSchedule] = {}
        self._denial_logged_at: dict[str, float] = {}
        # The host that last reported on a team from another region.
        self._reporters: dict[tuple[str, str], str] = {}

    def set_hosts(self, hosts: FleetHosts) -> None:
        """Set the hosts that may coordinate teams."""
        # A region that is out of reach for long may still serve.
        if hosts.local != self._hosts.local:
            self._unchanged_since = max(self._unchanged_since, self._now())
            self._ranked.clear()
        remote = dict.fromkeys(self._hosts.remote, ()) | dict(hosts.remote)
        self._hosts = FleetHosts(hosts.local, remote, hosts.presence)
        self._coordinators.set_hosts(hosts.local)

    async def run(self) -> None:
        """Report demand until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            await self.report()

    async def admit(self, team: Team, cost: float) -> Admission | Absent:
        """Charge a request to its team's limit; return why it must not run."""
        if team.limit is None:
            return UNLIMITED
        now = self._now()
        self._find_lease(team.name, team.limit, now).record_demand(cost, now)
        if now - self._started_at < START_S:
            # Hosts grant nothing yet, and callers that are refused lose a try.
            await trio.sleep(self._started_at + START_S - now)
        for _ in range(MAX_ROUNDS):
            now = self._now()
            lease = self._find_lease(team.name, team.limit, now)
            if lease.take(cost, now):
                return Admission(team.name, cost, lease, now)
            denial_s = lease.find_denial_s(now)
            if denial_s > 0.0:
                return self._deny(team.name, lease, cost, denial_s)
            if lease.is_unanswered(now):
                return self._admit_alone(team.name, lease, cost)
            await self._await_tokens(team.name, lease, cost)
        return self._refuse_unknown(team.name)

    def give_back(self, admission: Admission) -> None:
        """Return the tokens of a request that has not run and never will."""
        lease = admission.lease
        if lease is not None and self._leases.get(admission.team) is lease:
            lease.give_back(admission.cost, admission.at, self._now())

    def find_level(self, name: str) -> LimitLevel | None:
        """Return what this host knows of a team's limit, None if nothing; only reads."""
        team, lease = self._find_team(name), self._leases.get(name)
        if team is None or lease is None or lease.limit != team.limit:
            return None
        return lease.describe(self._now())

    async def handle_message(self, message: TeamLimitMessage) -> None:
        """Answer a query, or apply a reply or a report."""
        if isinstance(message, LimitQuery):
            grant = self._grant(message.host, message.team, message.query)
            reply = LimitReply(message.number, self._host, grant)
            await self._send(message.host, reply)
        elif isinstance(message, LimitReply):
            self._apply_reply(message)
        else:
            self._apply_report(message)

    async def report(self) -> None:
        """Report demand to other regions, and drop what isn't needed any more."""
        now = self._now()
        await self._return_tokens(now)
        self._drop_unused(now)
        messages: defaultdict[str, list[TeamDemand]] = defaultdict(list)
        for name, limit in self._limits.items():
            first = self._coordinators.find_first(name)
            if first != self._host:
                if limit.granted > 0.0:
                    messages[first].append(TeamDemand(name, 0.0, limit.granted))
            elif limit.find_demand(now) > 0.0 or limit.shares.has_demand(now - IDLE_S):
                demand = TeamDemand(name, limit.find_demand(now), limit.granted)
                limit.shares.record_sent(demand.demand, now)
                for host in self._list_remote(name):
                    messages[host].append(demand)
        for host, demands in messages.items():
            for begin in range(0, len(demands), MAX_REPORTED):
                part = tuple(demands[begin : begin + MAX_REPORTED])
                await self._send(host, DemandReport(self._host, self._region, part))

    def _find_lease(self, name: str, limit: TeamLimit, now: float) -> TeamLease:
        lease = self._leases.get(name)
        if lease is None or lease.limit != limit:
            lease = self._leases[name] = TeamLease(limit, now)
        return lease

    async def _await_tokens(self, name: str, lease: TeamLease, cost: float) -> None:
        """Ask for tokens, or wait until another request has done so."""
        asking = self._asking.get(name)
        if asking is not None:
            asking.waiting += cost
            await asking.done.wait()
            return
        asking = self._asking[name] = _Asking()
        try:
            # Requests that arrive together are counted in one query.
            await trio.lowlevel.checkpoint()
            await self._ask(name, lease, cost, asking)
        finally:
            del self._asking[name]
            asking.done.set()

    async def _ask(
        self, name: str, lease: TeamLease, cost: float, asking: _Asking
    ) -> None:
        """Ask the coordinator, and the next in rank if it doesn't answer soon."""
        asked: list[_Pending] = []
        for timeout_s in QUERY_TIMEOUTS_S:
            now = self._now()
            tried = [pending.coordinator for pending in asked]
            coordinator = self._pick_coordinator(name, tried, now)
            if coordinator is None:
                break
            query = lease.make_query(coordinator, cost, asking.waiting, now)
            # A late answer of the first also ends the wait for the second.
            done = asked[-1].done if asked else trio.Event()
            if done.is_set():
                done = trio.Event()
            pending = _Pending(lease, coordinator, query, now, done=done)
            asked.append(pending)
            await self._query(name, pending, timeout_s)
            reply = next((each.reply for each in asked if each.is_decided), None)
            if reply is not None:
                result = "denied" if reply.wait_s > 0.0 else "granted"
                if reply.wait_s > 0.0:
                    self._log_denial(name, reply.wait_s, coordinator)
                self._metrics.count("team_limit_queries_total", result=result)
                return
            self._metrics.count("team_limit_queries_total", result="unanswered")
        lease.record_unanswered(self._now())

    def _log_denial(self, name: str, wait_s: float, coordinator: str) -> None:
        now = self._now()
        since = self._denial_logged_at.get(name)
        if since is None or now - since >= LOG_INTERVAL_S:
            self._denial_logged_at[name] = now
            record_event(
                "team-limit-denied",
                team=name,
                for_s=round(wait_s, 3),
                coordinator=coordinator,
            )

    def _pick_coordinator(self, name: str, tried: list[str], now: float) -> str | None:
        """
        Return the team's coordinator, or the next in rank if it didn't answer.

        No others substitute it: each begins with tokens that the first may have granted.
        """
        ranked = self._ranked.get(name)
        if ranked is None:
            ranked = rank(name, self._hosts.local)[: len(QUERY_TIMEOUTS_S)]
            self._ranked[name] = ranked
        if tried:
            return next((host for host in ranked if host not in tried), None)
        first = self._coordinators.find_reachable(name, now)
        return first if first in ranked else None

    async def _query(self, name: str, pending: _Pending, timeout_s: float) -> None:
        """Send a query, and wait for the answer for a time."""
        coordinator, query = pending.coordinator, pending.query
        if coordinator == self._host:
            self._apply_answer(pending, self._grant(self._host, name, query))
            return
        number = self._next_number()
        self._pending[number] = pending
        await self._send(coordinator, LimitQuery(number, self._host, name, query))
        with trio.move_on_after(timeout_s):
            await pending.done.wait()
        if pending.reply is None:
            self._coordinators.record_timeout(coordinator, self._now())

    def _apply_reply(self, message: LimitReply) -> None:
        pending = self._pending.pop(message.number, None)
        if pending is not None:
            self._apply_answer(pending, message.grant)

    def _apply_answer(self, pending: _Pending, grant: TokenGrant) -> None:
        """Apply an answer; also a late grant is a lease."""
        pending.reply = grant
        pending.done.set()
        if pending.is_decided:
            self._coordinators.record_answer(pending.coordinator)
            pending.lease.apply_grant(pending.query, grant, self._now())

    def _apply_report(self, report: DemandReport) -> None:
        now = self._now()
        for each in report.demands:
            limit = self._find_limit(each.team, now)
            if limit is None:
                continue
            if report.region == self._region:
                limit.apply_substitute(report.host, each.granted, now)
            else:
                limit.apply_report(
                    report.region, report.host, each.demand, each.granted, now
                )
                self._reporters[each.team, report.region] = report.host

    def _grant(self, host: str, name: str, query: TokenQuery) -> TokenGrant:
        now = self._now()
        if now - self._started_at < START_S:
            return UNDECIDED
        limit = self._find_limit(name, now)
        if limit is None:
            return UNDECIDED
        hosts = self._hosts
        return limit.grant(host, query, tuple(hosts.remote), hosts.presence, now)

    def _find_limit(self, name: str, now: float) -> RegionLimit | None:
        """Return the state of a team's limit by the configuration in force."""
        team = self._find_team(name)
        if team is None or team.limit is None:
            return None
        limit = self._limits.get(name)
        if limit is None:
            first = self._coordinators.find_first(name) == self._host
            since = self._unchanged_since if first else now
            limit = RegionLimit(team.limit, self._rules, since, now)
            self._limits[name] = limit
        elif limit.limit != team.limit:
            limit.set_limit(team.limit)
        return limit

    def _admit_alone(
        self, name: str, lease: TeamLease, cost: float
    ) -> Admission | Absent:
        """Admit a request by this host's own part of the limit, without a coordinator."""
        now = self._now()
        coordinator = self._coordinators.find_first(name)
        part = lease.find_share(now) / len(self._hosts.local)
        if lease.take_alone(coordinator, cost, part, now):
            return Admission(name, cost, lease, now)
        return self._refuse_unknown(name)

    def _refuse_unknown(self, name: str) -> Absent:
        detail = f"the use of team {name}'s limit isn't known"
        return Absent(Reason.OWNER_UNREACHABLE, MIN_RETURN_S, detail)

    def _deny(
        self, name: str, lease: TeamLease, cost: float, denial_s: float
    ) -> Absent:
        now = self._now()
        self._metrics.count("team_limit_denials_total")
        rate = lease.limit.rate * lease.find_share(now) / len(self._hosts.local)
        interval_s = min(MAX_INTERVAL_S, cost / rate if rate > 0.0 else MAX_RETURN_S)
        returns = self._returns.setdefault(name, ReturnSchedule())
        wait_s = returns.schedule(max(MIN_RETURN_S, denial_s), interval_s, now)
        detail = f"team {name} is at its limit"
        return Absent(Reason.LIMIT, min(MAX_RETURN_S, wait_s), detail)

    def _list_remote(self, name: str) -> set[str]:
        """Return the hosts of other regions that need the demand for a team."""
        hosts = {rank(name, ready)[0] for ready in self._hosts.remote.values() if ready}
        # While views differ, the region may use another coordinator.
        for region in self._hosts.remote:
            reporter = self._reporters.get((name, region))
            if reporter is not None:
                hosts.add(reporter)
        return hosts

    async def _return_tokens(self, now: float) -> None:
        """Give tokens of lapsed leases back, as callers may have moved elsewhere."""
        for name, lease in list(self._leases.items()):
            query = lease.return_unused(now)
            coordinator = self._coordinators.find_reachable(name, now)
            if query is None or coordinator is None:
                continue
            if coordinator == self._host:
                self._grant(self._host, name, query)
            else:
                number = self._next_number()
                message = LimitQuery(number, self._host, name, query)
                await self._send(coordinator, message)

    def _drop_unused(self, now: float) -> None:
        for name, limit in list(self._limits.items()):
            first = self._coordinators.find_first(name) == self._host
            if self._find_team(name) is None or (
                not first and now - limit.asked_at > IDLE_S
            ):
                del self._limits[name]
        for name, lease in list(self._leases.items()):
            if now - lease.demand.changed_at > KEPT_S:
                del self._leases[name]
                self._returns.pop(name, None)
                self._denial_logged_at.pop(name, None)
        for number, pending in list(self._pending.items()):
            if now - pending.sent_at > LATE_S:
                del self._pending[number]

    async def _send(self, host: str, message: TeamLimitMessage) -> None:
        await self._send_data(host, encode_team_limit_message(message))
