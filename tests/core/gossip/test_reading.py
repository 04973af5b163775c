from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from bench.membership.network import make_hosts
from lycheepath.core.gossip.reading import plan_reading
from lycheepath.core.membership.rendezvous import computed_readers

PLATFORM_CALLS_PER_S = 2000
NAMES = 3
ZONES = {f"z{number}": f"r{number % 10}" for number in range(23)}


@pytest.mark.parametrize("known", [True, False])
def test_reads_of_a_starting_fleet_stay_below_the_rate_limit_of_the_platform(
    known: bool,
) -> None:
    hosts = tuple(make_hosts(2200, ZONES).values())
    random = Random(3)
    calls: Counter[int] = Counter()
    rare_calls_per_s = 0.0
    for host in hosts:
        listed = hosts if known else ()
        plan = plan_reading(host.id, host.zone, listed, frozenset(), NAMES, random)
        calls[int(plan.first_read_s)] += NAMES
        rare_calls_per_s += NAMES / plan.poll_interval_s
    assert max(calls.values()) < PLATFORM_CALLS_PER_S
    assert rare_calls_per_s < PLATFORM_CALLS_PER_S / 10


def test_another_host_reads_when_a_reader_is_down() -> None:
    hosts = tuple(make_hosts(60, ZONES).values())
    zone = hosts[0].zone
    before = computed_readers(hosts, zone)
    rest = [host for host in hosts if host.id != before[0]]
    after = computed_readers(rest, zone)
    assert before[1] in after
    assert len(after) == len(before)
    plan = plan_reading(after[1], zone, hosts, frozenset(before[:1]), 1, Random(1))
    assert plan.watches
