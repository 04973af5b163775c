from __future__ import annotations

from collections import Counter

from lycheepath.core.placement.coordinators import (
    EXCLUSION_S,
    MAX_TIMEOUTS,
    Coordinators,
)

HOSTS = [f"host-{n}" for n in range(30)]


def make_coordinators(self_id: str = "host-0") -> Coordinators:
    coordinators = Coordinators(self_id)
    coordinators.set_hosts(HOSTS)
    return coordinators


def test_coordinator_is_the_same_for_all_hosts_and_targets_are_spread() -> None:
    others = [make_coordinators(self_id) for self_id in HOSTS]
    counts: Counter[str] = Counter()
    for number in range(300):
        found = {coordinators.find(f"i-{number}", 0.0) for coordinators in others}
        assert len(found) == 1
        counts.update(found)
    assert max(counts.values()) < 25


def test_coordinator_that_does_not_answer_twice_is_excluded_for_a_while() -> None:
    coordinators = make_coordinators()
    first = coordinators.find("i-7", 0.0)
    assert not coordinators.record_timeout(first, 0.0)
    assert coordinators.find("i-7", 0.0) == first
    assert coordinators.record_timeout(first, 0.1)
    second = coordinators.find("i-7", 0.2)
    assert second != first
    assert coordinators.find("i-7", 0.1 + EXCLUSION_S) == first
    # A single unanswered query excludes it again until it answers.
    assert coordinators.record_timeout(first, 1.2)
    coordinators.record_answer(first)
    assert coordinators.find("i-7", 1.3) == first
    assert not coordinators.record_timeout(first, 1.4)


def test_host_is_its_own_coordinator_if_no_other_answers() -> None:
    coordinators = make_coordinators("host-x")
    for _ in range(MAX_TIMEOUTS):
        for host in HOSTS:
            coordinators.record_timeout(host, 0.0)
    assert coordinators.find("i-7", 0.5) == "host-x"


def test_removed_host_coordinates_no_target() -> None:
    coordinators = make_coordinators()
    first = coordinators.find("i-7", 0.0)
    coordinators.set_hosts(host for host in HOSTS if host != first)
    assert coordinators.find("i-7", 0.0) != first


def test_most_targets_keep_their_coordinator_when_a_host_is_added() -> None:
    coordinators = make_coordinators()
    before = {n: coordinators.find(f"i-{n}", 0.0) for n in range(300)}
    coordinators.set_hosts([*HOSTS, "host-new"])
    moved = sum(coordinators.find(f"i-{n}", 0.0) != held for n, held in before.items())
    assert 0 < moved < 30
