"""
Admission by cost in tokens, for each team, at one host.

The cost of a request is its prompt plus the tokens that it may generate; the
real cost replaces it afterwards::

    admission = limiter.admit("team-a", 1200, priority=5, now=now)
    if isinstance(admission, Absent):
        return refuse(admission.retry_after_s)
    ...
    limiter.settle(admission, real_tokens, now)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..hosts.selection import MemberState, is_usable, team_hosts
from ..reasons import Absent, Reason
from .bucket import TokenBucket
from .shares import cut_report, divide_limit

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..environment.model import Environment, Limit
    from .shares import UseReport

DEFAULT_TEAM = "*"
MAX_TEAMS = 4_096
MAX_REPORTED_TEAMS = 32
USE_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class Admission:
    """A granted request: the team, the cost taken for it and its priority."""

    team: str
    cost_tokens: float
    priority: int


@dataclass(slots=True)
class _Team:
    limit: Limit
    hosts: tuple[str, ...]
    tokens: TokenBucket
    requests: TokenBucket
    use_per_s: float = 0.0
    used_at: float = 0.0


class Limiter:
    """
    State: the buckets of the teams that this host has met.

    Teams are dropped in the order of their last use beyond ``MAX_TEAMS``; a
    dropped team starts again with a full burst of its share.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self._environment: Environment | None = None
        self._limits: dict[str, Limit] = {}
        self._regions: Mapping[str, tuple[str, ...]] = {}
        self._teams: dict[str, _Team] = {}
        self._unusable: frozenset[str] = frozenset()
        self._reports: dict[str, UseReport] = {}

    def apply_environment(
        self, environment: Environment, team_regions: Mapping[str, tuple[str, ...]]
    ) -> None:
        """
        Put a document in force.

        ``team_regions`` names the regions in which the directory lists
        clients of a team; a team that it does not name is shared over all.
        """
        self._environment = environment
        self._limits = {limit.team: limit for limit in environment.limits}
        self._regions = team_regions
        for team in list(self._teams):
            if self._find_limit(team) is None:
                del self._teams[team]
        self._share_again()

    def update_members(self, members: Mapping[str, MemberState]) -> None:
        """
        Take in which hosts are dead or leaving.

        Their shares go to the other hosts of the team; when a team has none
        left, to those that its callers fall back to in other regions.
        """
        unusable = frozenset(host for host in members if not is_usable(host, members))
        if unusable != self._unusable:
            self._unusable = unusable
            for host in unusable:
                self._reports.pop(host, None)
            self._share_again()

    def hosts_of(self, team: str) -> tuple[str, ...]:
        """Return the hosts that count the team's limit."""
        return self._find_hosts(team)

    def enforces_limit(self, team: str) -> bool:
        """Whether this host is one that counts the team's limit."""
        return self._find_limit(team) is None or self.host in self._find_hosts(team)

    def admit(
        self, team: str, cost_tokens: float, priority: int, now: float
    ) -> Admission | Absent:
        """Take the cost from the team's share, or say when to come back."""
        limit = self._find_limit(team)
        if limit is None:
            return Admission(team, cost_tokens, priority)
        state = self._touch(team, limit, now)
        if self.host not in state.hosts:
            return Absent(
                Reason.LIMIT, detail=f"use the team's hosts: {', '.join(state.hosts)}"
            )
        self._resize(team, state, now)
        wait = state.requests.take(1.0, now)
        if wait == 0.0:
            wait = state.tokens.take(cost_tokens, now)
            if wait > 0.0:
                state.requests.settle(1.0, 0.0, now)
        if wait > 0.0:
            return Absent(Reason.LIMIT, wait, f"team {team} is over its limit")
        _count_use(state, cost_tokens, now)
        return Admission(team, cost_tokens, max(priority, limit.priority))

    def settle(self, admission: Admission, real_tokens: float, now: float) -> None:
        """Replace the cost taken for a request by what it really was."""
        state = self._teams.get(admission.team)
        if state is not None:
            state.tokens.settle(admission.cost_tokens, real_tokens, now)
            _count_use(state, real_tokens - admission.cost_tokens, now)

    def report_use(self, now: float) -> UseReport:
        """Return what this host lately admitted, for the other hosts."""
        use = {
            team: _decay_use(state, now)
            for team, state in self._teams.items()
            if len(state.hosts) > 1
        }
        return cut_report(use, MAX_REPORTED_TEAMS, now)

    def apply_report(self, host: str, report: UseReport) -> None:
        """Take in what another host admitted; an older report is ignored."""
        held = self._reports.get(host)
        if held is None or held.measured_at <= report.measured_at:
            self._reports[host] = report

    def _find_limit(self, team: str) -> Limit | None:
        return self._limits.get(team) or self._limits.get(DEFAULT_TEAM)

    def _find_hosts(self, team: str) -> tuple[str, ...]:
        if self._environment is None:
            return ()
        regions = tuple(region.id for region in self._environment.regions)
        home = self._regions.get(team) or regions
        hosts = self._find_usable(team, home, self._environment)
        if hosts:
            return hosts
        return self._find_usable(team, regions, self._environment)

    def _find_usable(
        self, team: str, regions: Iterable[str], environment: Environment
    ) -> tuple[str, ...]:
        return tuple(
            host
            for region in regions
            for host in team_hosts(team, region, environment)
            if host not in self._unusable
        )

    def _share_again(self) -> None:
        for team, state in self._teams.items():
            state.limit = self._find_limit(team) or state.limit
            state.hosts = self._find_hosts(team)

    def _touch(self, team: str, limit: Limit, now: float) -> _Team:
        state = self._teams.pop(team, None)
        if state is None:
            state = self._open(team, limit, now)
        self._teams[team] = state
        return state

    def _open(self, team: str, limit: Limit, now: float) -> _Team:
        if len(self._teams) >= MAX_TEAMS:
            del self._teams[next(iter(self._teams))]
        hosts = self._find_hosts(team)
        count = max(1, len(hosts))
        burst = limit.burst_tokens / count
        requests = limit.requests_per_s / count
        return _Team(
            limit=limit,
            hosts=hosts,
            tokens=TokenBucket(limit.tokens_per_s / count, burst, burst, now),
            requests=TokenBucket(requests, max(1.0, requests), max(1.0, requests), now),
            used_at=now,
        )

    def _resize(self, team: str, state: _Team, now: float) -> None:
        limit = state.limit
        count = max(1, len(state.hosts))
        rate = divide_limit(
            team, limit.tokens_per_s, self.host, state.hosts, self._reports, now
        )
        state.tokens.resize(rate, limit.burst_tokens / count, now)
        scale = rate / limit.tokens_per_s if limit.tokens_per_s > 0 else 0.0
        requests = limit.requests_per_s * scale
        state.requests.resize(requests, max(1.0, requests), now)


def _count_use(state: _Team, tokens: float, now: float) -> None:
    state.use_per_s = max(0.0, _decay_use(state, now) + tokens / USE_WINDOW_S)
    state.used_at = now


def _decay_use(state: _Team, now: float) -> float:
    elapsed = max(0.0, now - state.used_at)
    return float(state.use_per_s * 2.718281828 ** (-elapsed / USE_WINDOW_S))
