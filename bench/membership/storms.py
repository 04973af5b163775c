"""
Measures the cost of simultaneous failures for the surviving hosts, in memory.

    python -m bench.membership.storms --hosts 440

Simulates two regions of two zones each; every scenario starts with a stable
fleet. Uses the network of ``bench.membership.core`` with virtual time.
"""

from __future__ import annotations

import json
import time
from argparse import ArgumentParser
from random import Random
from typing import TYPE_CHECKING, Any

from lycheepath.core.membership.actions import MemberChanged
from lycheepath.core.membership.model import State

from .core import fill_member_tables, is_complete, make_zones
from .network import Network, Traffic, make_hosts

if TYPE_CHECKING:
    from collections.abc import Callable

REGIONS = 2
SETTLE_S = 15.0
TIMEOUT_S = 120.0
WINDOW_S = 10.0
RACK_HOSTS = 20
CUT_S = 180.0
RESTARTS_PER_S = 600 / 86_400
RESTART_FACTOR = 100


def start_stable_fleet(hosts: int, seed: int) -> Network:
    """Return the network of a fleet that has run for ``SETTLE_S``."""
    network = Network(make_hosts(hosts, make_zones(REGIONS)), Random(seed))
    for number, host_id in enumerate(network.hosts):
        network.start(host_id, incarnation=10**18 + number)
    fill_member_tables(network)
    network.run(SETTLE_S)
    network.actions.clear()
    return network


def measure_recovery(network: Network, until: Callable[[], bool]) -> dict[str, Any]:
    """Run until ``until`` holds; return the time, traffic and CPU time per host."""
    started_at = network.now
    started = time.process_time()
    peak = 0.0
    total = 0.0
    done = False
    while not done and network.now - started_at < TIMEOUT_S:
        network.traffic = {host_id: Traffic() for host_id in network.hosts}
        since = network.now
        done = network.run(WINDOW_S, until)
        rates = [
            (one.sent_bytes + one.received_bytes) / (network.now - since)
            for host_id, one in network.traffic.items()
            if host_id in network.nodes
        ]
        peak = max(peak, *rates)
        total += sum(rates) / len(rates) * (network.now - since)
    seconds = network.now - started_at
    return {
        "done": done,
        "seconds": round(seconds, 1),
        "both_ways_bytes_per_s": round(total / seconds),
        "both_ways_bytes_per_s_max": round(peak),
        "cpu_ms_per_s": round(
            1000 * (time.process_time() - started) / len(network.nodes) / seconds, 2
        ),
        "wrong_verdicts": count_wrong_verdicts(network),
    }


def count_wrong_verdicts(network: Network) -> int:
    """Return how many running hosts a reachable host declared dead."""
    return len(
        {
            action.member.id
            for _, host_id, action in network.actions
            if isinstance(action, MemberChanged)
            and action.member.state is State.DEAD
            and action.member.id in network.nodes
            and network.passes(host_id, action.member.id)
        }
    )


def kill_hosts(network: Network, host_ids: list[str]) -> dict[str, Any]:
    """Kill hosts at once; measure until their region's hosts have detected it."""
    region = network.hosts[host_ids[0]].region
    for host_id in host_ids:
        network.kill(host_id)
    survivors = sum(
        node.local_member.region == region for node in network.nodes.values()
    )

    def all_detected() -> bool:
        return all(
            node._state.table.live_count == survivors
            for node in network.nodes.values()
            if node.local_member.region == region
        )

    return measure_recovery(network, all_detected)


def kill_zone(hosts: int) -> dict[str, Any]:
    """Kill the hosts of one zone, half of a region, at once."""
    network = start_stable_fleet(hosts, seed=1)
    return kill_hosts(
        network, [one.id for one in network.hosts.values() if one.zone == "r0z0"]
    )


def kill_rack(hosts: int) -> dict[str, Any]:
    """Kill ``RACK_HOSTS`` hosts of one zone at once."""
    network = start_stable_fleet(hosts, seed=2)
    zone = [one.id for one in network.hosts.values() if one.zone == "r0z0"]
    return kill_hosts(network, zone[:RACK_HOSTS])


def partition_and_heal(hosts: int, within_region: bool) -> dict[str, Any]:
    """Partition the regions, or the zones, for ``CUT_S``; measure the recovery."""
    network = start_stable_fleet(hosts, seed=3)
    sizes = dict.fromkeys(("r0", "r1"), hosts // REGIONS)

    def find_partition(host_id: str) -> str:
        host = network.hosts[host_id]
        return host.zone if within_region else host.region

    network.passes = lambda source, target: (
        find_partition(source) == find_partition(target)
    )
    network.traffic = {host_id: Traffic() for host_id in network.hosts}
    network.run(CUT_S)
    during = [one.sent_bytes / CUT_S for one in network.traffic.values()]
    network.passes = lambda source, target: True
    network.actions.clear()

    def has_healed() -> bool:
        ages = [
            network.now - held.observed_at
            for node in network.nodes.values()
            for held in node.regions()
        ]
        return is_complete(network, sizes) and max(ages) < CUT_S / 2

    result = measure_recovery(network, has_healed)
    result["sent_bytes_per_s_during_cut"] = round(sum(during) / len(during))
    return result


def restart_continuously(hosts: int) -> dict[str, Any]:
    """Restart hosts at a hundred times the rate of 600 a day per 2,200 hosts."""
    network = start_stable_fleet(hosts, seed=4)
    per_s = RESTARTS_PER_S * hosts / 2200 * RESTART_FACTOR
    sizes = dict.fromkeys(("r0", "r1"), hosts // REGIONS)
    network.traffic = {host_id: Traffic() for host_id in network.hosts}
    started = time.process_time()
    started_at = network.now
    for number in range(int(60 * per_s)):
        host_id = network.random.choice(sorted(network.nodes))
        network.kill(host_id)
        network.run(0.5 / per_s)
        network.start(host_id, incarnation=2 * 10**18 + number)
        network.run(0.5 / per_s)
    seconds = network.now - started_at
    rates = [
        (one.sent_bytes + one.received_bytes) / seconds
        for one in network.traffic.values()
    ]
    result = {
        "restarts_per_s": round(per_s, 3),
        "both_ways_bytes_per_s": round(sum(rates) / len(rates)),
        "cpu_ms_per_s": round(
            1000 * (time.process_time() - started) / hosts / seconds, 2
        ),
    }
    settled = network.run(TIMEOUT_S, lambda: is_complete(network, sizes))
    return {**result, "complete_after": settled}


def main() -> None:
    """Parse the command line, measure and print the results."""
    parser = ArgumentParser()
    parser.add_argument("--hosts", type=int, default=440)
    hosts = parser.parse_args().hosts
    results = {
        "hosts": hosts,
        "rack_lost": kill_rack(hosts),
        "zone_lost": kill_zone(hosts),
        "region_cut_and_healed": partition_and_heal(hosts, within_region=False),
        "zones_cut_and_healed": partition_and_heal(hosts, within_region=True),
        "restarts": restart_continuously(hosts),
    }
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
