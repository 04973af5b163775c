from __future__ import annotations

from collections import Counter

from lycheepath.core.environment.model import Environment, Host, Region, Stage, Zone
from lycheepath.core.hosts.selection import (
    HostAnswer,
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


def ask(environment: Environment, members: dict[str, MemberState]) -> dict[str, str]:
    first = {}
    for team in TEAMS:
        answer = hosts_for(team, "caller", "here", environment, members)
        assert isinstance(answer, HostAnswer)
        first[team] = answer.hosts[0]
    return first


def test_hosts_for_keeps_a_team_on_few_hosts_of_different_zones() -> None:
    environment = build_environment(30)
    used: set[str] = set()
    for caller in range(50):
        answer = hosts_for("team", f"caller-{caller}", "here", environment, {})
        assert isinstance(answer, HostAnswer)
        used.update(answer.hosts)
    assert used == set(team_hosts("team", "here", environment))
    assert len({int(host[1:]) % 3 for host in used}) == 3


def test_hosts_for_spreads_a_leaving_hosts_teams_over_the_others() -> None:
    environment = build_environment(30)
    before = ask(environment, {})
    victim, _ = Counter(before.values()).most_common(1)[0]
    after = ask(environment, {victim: MemberState.DRAINING})
    moved = [team for team in TEAMS if before[team] == victim]
    assert all(after[team] != victim for team in TEAMS)
    assert max(Counter(after[team] for team in moved).values()) <= len(moved) / 3
    stayed = [team for team in TEAMS if before[team] != victim]
    assert sum(after[t] != before[t] for t in stayed) <= len(stayed) * 0.1


def test_hosts_for_does_not_herd_when_a_zone_fails() -> None:
    environment = build_environment(30)
    dead = {f"h{number}": MemberState.DEAD for number in range(0, 30, 3)}
    counts = Counter(ask(environment, dead).values())
    assert not counts.keys() & dead.keys()
    assert max(counts.values()) <= 2 * len(TEAMS) / 20


def test_hosts_for_spreads_callers_and_the_times_they_ask_again() -> None:
    environment = build_environment(9)
    answers = [
        hosts_for("team", f"caller-{number}", "here", environment, {})
        for number in range(300)
    ]
    first = Counter(answer.hosts[0] for answer in answers if answer)
    assert max(first.values()) <= 300 / 3 * 1.5
    assert len({round(answer.valid_s) for answer in answers if answer}) >= 10


def test_hosts_for_never_names_a_host_elsewhere() -> None:
    environment = build_environment(3)
    dead = dict.fromkeys(("h0", "h1", "h2"), MemberState.DEAD)
    refusal = hosts_for("team", "caller", "here", environment, dead)
    assert isinstance(refusal, Absent) and refusal.retry_after_s > 0.0
    assert isinstance(hosts_for("team", "caller", "there", environment, {}), Absent)
