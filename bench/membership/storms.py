"""
Measures what many failures at once cost the surviving hosts, in memory.

    python -m bench.membership.storms --hosts 440

Two regions of two zones each; every scenario begins with a settled fleet. The
network is that of ``bench.membership.core``, in virtual time.
"""

from __future__ import annotations

import json
import time
from argparse import ArgumentParser
from random import Random
from typing import TYPE_CHECKING, Any

from lycheepath.core.membership.actions import MemberChanged
from lycheepath.core.membership.model import State

from .core import is_complete, make_zones, prime
from .network import Network, Traffic, make_hosts

if TYPE_CHECKING:
    from collections.abc import Callable

REGIONS = 2
SETTLE_S = 15.0
LIMIT_S = 120.0
WINDOW_S = 10.0
RACK_HOSTS = 20
CUT_S = 180.0
RESTARTS_PER_S = 600 / 86_400
SPED_UP = 100


def settle(hosts: int, seed: int) -> Network:
    """Return a fleet that has run for a while."""
    network = Network(make_hosts(hosts, make_zones(REGIONS)), Random(seed))
    for number, host_id in enumerate(network.hosts):
        network.start(host_id, incarnation=10**18 + number)
    prime(network)
    network.run(SETTLE_S)
    network.actions.clear()
    return network


def observe(network: Network, until: Callable[[], bool]) -> dict[str, Any]:
    """Return how long ``until`` took and what it cost a host meanwhile."""
    begun = network.now
    started = time.process_time()
    peak = 0.0
    total = 0.0
    done = False
    while not done and network.now - begun < LIMIT_S:
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
    seconds = network.now - begun
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
    """Return how many hosts that run were held dead by a host of their part."""
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


def lose(network: Network, victims: list[str]) -> dict[str, Any]:
    """Kill ``victims`` at once; done when every host of their region knows."""
    region = network.hosts[victims[0]].region
    for host_id in victims:
        network.kill(host_id)
    left = sum(node.local_member.region == region for node in network.nodes.values())

    def known() -> bool:
        return all(
            node._state.table.live_count == left
            for node in network.nodes.values()
            if node.local_member.region == region
        )

    return observe(network, known)


def lose_zone(hosts: int) -> dict[str, Any]:
    """Half of a region's hosts die at once."""
    network = settle(hosts, seed=1)
    return lose(
        network, [one.id for one in network.hosts.values() if one.zone == "r0z0"]
    )


def lose_rack(hosts: int) -> dict[str, Any]:
    """Twenty hosts of one zone die at once."""
    network = settle(hosts, seed=2)
    zone = [one.id for one in network.hosts.values() if one.zone == "r0z0"]
    return lose(network, zone[:RACK_HOSTS])


def cut_and_heal(hosts: int, within_region: bool) -> dict[str, Any]:
    """Cut two regions, or two zones of one, for minutes; time the heal."""
    network = settle(hosts, seed=3)
    sizes = dict.fromkeys(("r0", "r1"), hosts // REGIONS)

    def part(host_id: str) -> str:
        host = network.hosts[host_id]
        return host.zone if within_region else host.region

    network.passes = lambda source, target: part(source) == part(target)
    network.traffic = {host_id: Traffic() for host_id in network.hosts}
    network.run(CUT_S)
    during = [one.sent_bytes / CUT_S for one in network.traffic.values()]
    network.passes = lambda source, target: True
    network.actions.clear()

    def healed() -> bool:
        ages = [
            network.now - held.observed_at
            for node in network.nodes.values()
            for held in node.regions()
        ]
        return is_complete(network, sizes) and max(ages) < CUT_S / 2

    result = observe(network, healed)
    result["sent_bytes_per_s_during_cut"] = round(sum(during) / len(during))
    return result


def restart_often(hosts: int) -> dict[str, Any]:
    """Restart hosts a hundred times as often as 600 a day over 2,200 hosts."""
    network = settle(hosts, seed=4)
    per_s = RESTARTS_PER_S * hosts / 2200 * SPED_UP
    sizes = dict.fromkeys(("r0", "r1"), hosts // REGIONS)
    network.traffic = {host_id: Traffic() for host_id in network.hosts}
    started = time.process_time()
    begun = network.now
    for number in range(int(60 * per_s)):
        host_id = network.random.choice(sorted(network.nodes))
        network.kill(host_id)
        network.run(0.5 / per_s)
        network.start(host_id, incarnation=2 * 10**18 + number)
        network.run(0.5 / per_s)
    seconds = network.now - begun
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
    settled = network.run(LIMIT_S, lambda: is_complete(network, sizes))
    return {**result, "complete_after": settled}


def main() -> None:
    """Read the command line, measure and print."""
    parser = ArgumentParser()
    parser.add_argument("--hosts", type=int, default=440)
    hosts = parser.parse_args().hosts
    results = {
        "hosts": hosts,
        "rack_lost": lose_rack(hosts),
        "zone_lost": lose_zone(hosts),
        "region_cut_and_healed": cut_and_heal(hosts, within_region=False),
        "zones_cut_and_healed": cut_and_heal(hosts, within_region=True),
        "restarts": restart_often(hosts),
    }
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
