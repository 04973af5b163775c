from __future__ import annotations

from collections import Counter

from lycheepath.core.placement.coordinators import MOST_MISSES, MUTED_S, Coordinators

HOSTS = [f"host-{n}" for n in range(30)]


def make_keepers(own: str = "host-0") -> Coordinators:
    keepers = Coordinators(own)
    keepers.set_hosts(HOSTS)
    return keepers


def test_keeper_is_the_same_for_all_hosts_and_targets_are_spread() -> None:
    others = [make_keepers(own) for own in HOSTS]
    counts: Counter[str] = Counter()
    for number in range(300):
        found = {keepers.find(f"i-{number}", 0.0) for keepers in others}
        assert len(found) == 1
        counts.update(found)
    assert max(counts.values()) < 25


def test_keeper_that_is_silent_twice_is_passed_over_for_a_while() -> None:
    keepers = make_keepers()
    first = keepers.find("i-7", 0.0)
    assert not keepers.record_timeout(first, 0.0)
    assert keepers.find("i-7", 0.0) == first
    assert keepers.record_timeout(first, 0.1)
    second = keepers.find("i-7", 0.2)
    assert second != first
    assert keepers.find("i-7", 0.1 + MUTED_S) == first
    # Once more is enough until it answers.
    assert keepers.record_timeout(first, 1.2)
    keepers.record_answer(first)
    assert keepers.find("i-7", 1.3) == first
    assert not keepers.record_timeout(first, 1.4)


def test_host_keeps_to_itself_where_all_keepers_are_silent() -> None:
    keepers = make_keepers("host-x")
    for _ in range(MOST_MISSES):
        for host in HOSTS:
            keepers.record_timeout(host, 0.0)
    assert keepers.find("i-7", 0.5) == "host-x"


def test_host_that_has_gone_keeps_nothing() -> None:
    keepers = make_keepers()
    first = keepers.find("i-7", 0.0)
    keepers.set_hosts(host for host in HOSTS if host != first)
    assert keepers.find("i-7", 0.0) != first


def test_target_keeps_its_keeper_while_others_come_and_go() -> None:
    keepers = make_keepers()
    before = {n: keepers.find(f"i-{n}", 0.0) for n in range(300)}
    keepers.set_hosts([*HOSTS, "host-new"])
    moved = sum(keepers.find(f"i-{n}", 0.0) != held for n, held in before.items())
    assert 0 < moved < 30
