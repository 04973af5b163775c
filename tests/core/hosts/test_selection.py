from __future__ import annotations

from collections import Counter

from lycheepath.core.environment.model import Environment, Host, Region, Stage, Zone
from lycheepath.core.hosts.selection import (
    HostSelection,
    MemberState,
    hosts_for,
    team_hosts,
)
from lycheepath.core.reasons import Absent

TEAMS = [f"team-{number}" for number in range(600)]


def build_environment(hosts: int, zones: int = 3) -> Environment:
    return Environment(
        name="test",
        revision=1,
        stage=Stage.TRIAL,
        regions=(Region("here"), Region("there")),
        zones=tuple(Zone(f"z{number}", "here") for number in range(zones)),
        hosts=tuple(
            Host(f"h{number}", f"z{number % zones}", "127.0.0.1:1", "127.0.0.1:2")
            for number in range(hosts)
        ),
        targets=(),
    )


def select_first(
    environment: Environment, members: dict[str, MemberState]
) -> dict[str, str]:
    first = {}
    for team in TEAMS:
        selection = hosts_for(team, "caller", "here", environment, members)
        assert isinstance(selection, HostSelection)
        first[team] = selection.hosts[0]
    return first


def test_hosts_for_keeps_a_team_on_few_hosts_of_different_zones() -> None:
    environment = build_environment(30)
    used: set[str] = set()
    for caller in range(50):
        selection = hosts_for("team", f"caller-{caller}", "here", environment, {})
        assert isinstance(selection, HostSelection)
        used.update(selection.hosts)
    assert used == set(team_hosts("team", "here", environment))
    assert len({int(host[1:]) % 3 for host in used}) == 3


def test_hosts_for_spreads_the_teams_of_a_draining_host_over_the_others() -> None:
    environment = build_environment(30)
    before = select_first(environment, {})
    victim, _ = Counter(before.values()).most_common(1)[0]
    after = select_first(environment, {victim: MemberState.DRAINING})
    moved = [team for team in TEAMS if before[team] == victim]
    assert all(after[team] != victim for team in TEAMS)
    assert max(Counter(after[team] for team in moved).values()) <= len(moved) / 3
    stayed = [team for team in TEAMS if before[team] != victim]
    assert sum(after[t] != before[t] for t in stayed) <= len(stayed) * 0.1


def test_hosts_for_balances_load_when_a_zone_fails() -> None:
    environment = build_environment(30)
    dead = {f"h{number}": MemberState.DEAD for number in range(0, 30, 3)}
    counts = Counter(select_first(environment, dead).values())
    assert not counts.keys() & dead.keys()
    assert max(counts.values()) <= 2 * len(TEAMS) / 20


def test_hosts_for_spreads_callers_and_their_renewals() -> None:
    environment = build_environment(9)
    selections = [
        hosts_for("team", f"caller-{number}", "here", environment, {})
        for number in range(300)
    ]
    first = Counter(selection.hosts[0] for selection in selections if selection)
    assert max(first.values()) <= 300 / 3 * 1.5
    assert (
        len({round(selection.valid_s) for selection in selections if selection}) >= 10
    )


def test_hosts_for_never_returns_a_host_of_another_region() -> None:
    environment = build_environment(3)
    dead = dict.fromkeys(("h0", "h1", "h2"), MemberState.DEAD)
    refusal = hosts_for("team", "caller", "here", environment, dead)
    assert isinstance(refusal, Absent) and refusal.retry_after_s > 0.0
    assert isinstance(hosts_for("team", "caller", "there", environment, {}), Absent)
