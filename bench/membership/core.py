"""
Measures the membership core in memory: bytes, messages, time and memory.

Run each size in a separate process::

    python -m bench.membership.core --hosts 300 --regions 10
    python -m bench.membership.core --hosts 1000 --regions 1 --primed --loss 0.05

Prints one JSON object. CPU time includes encoding, signing, verifying, decoding
and the in-memory network itself, so it is an upper bound. Bytes include IP and
UDP headers. ``--loads`` adds the exchange of target loads within cells every two
seconds, with 6,800 targets per 2,200 hosts. ``--primed`` starts with complete
member tables.
"""

from __future__ import annotations

import json
import resource
import statistics
import time
from argparse import ArgumentParser
from random import Random
from typing import TYPE_CHECKING, Any

from lycheepath.core.gossip.updates import TargetLoad, pack_target_load
from lycheepath.core.gossip.values import ValueDigest
from lycheepath.core.membership.actions import MemberChanged
from lycheepath.core.membership.rendezvous import (
    cell_of_host,
    cell_of_target,
    computed_pollers,
)
from lycheepath.core.membership.summaries import list_contacts

from .network import Network, Traffic, fetch_values, make_hosts

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Callable

ZONES_PER_REGION = (4, 4, 3, 3, 2, 2, 2, 1, 1, 1)
TARGETS_PER_HOST = 6800 / 2200
LOAD_INTERVAL_S = 2.0
TIMEOUT_S = 90.0


def make_zones(regions: int) -> dict[str, str]:
    """Return the regions by zone: 23 zones for ten regions, else two per region."""
    counts = ZONES_PER_REGION if regions == len(ZONES_PER_REGION) else (2,) * regions
    return {
        f"r{region}z{zone}": f"r{region}"
        for region, count in enumerate(counts)
        for zone in range(count)
    }


def is_complete(network: Network, sizes: dict[str, int]) -> bool:
    """Return whether every host knows all hosts of its region."""
    return all(
        node._state.table.live_count == sizes[node.local_member.region]
        for node in network.nodes.values()
    )


def fill_member_tables(network: Network) -> None:
    """Fill the member tables as if all hosts had run for a while."""
    by_region: dict[str, list[Any]] = {}
    for node in network.nodes.values():
        by_region.setdefault(node.local_member.region, []).append(node.local_member)
    for node in network.nodes.values():
        state = node._state
        for member in by_region[node.local_member.region]:
            if member.id != node.local_member.id:
                state.table.put(member, network.now)
        state.dissemination.pending_updates.clear()


def measure_idle_rates(network: Network, seconds: float) -> dict[str, Any]:
    """Return the mean traffic and CPU time per host without changes."""
    contacts = {
        node.local_member.id
        for node in network.nodes.values()
        if node.local_member.id in list_contacts(node._state)
    }
    for host_id in network.traffic:
        network.traffic[host_id] = Traffic()
    network.bytes_by_kind.clear()
    started = time.process_time()
    network.run(seconds)
    spent = time.process_time() - started
    traffic = {host: network.traffic[host] for host in network.nodes}
    both = {
        host: (one.sent_bytes + one.received_bytes) / seconds
        for host, one in traffic.items()
    }
    messages = sum(one.sent_datagrams for one in traffic.values())
    count = len(traffic)
    return {
        "sent_bytes_per_s": sum(t.sent_bytes for t in traffic.values())
        / count
        / seconds,
        "both_ways_bytes_per_s": sum(both.values()) / count,
        "both_ways_bytes_per_s_max": max(both.values()),
        "both_ways_bytes_per_s_contacts": statistics.mean(
            both[one] for one in contacts
        ),
        "sent_messages_per_s": messages / count / seconds,
        "cpu_ms_per_s": 1000 * spent / count / seconds,
        "cpu_us_per_message": 1e6 * spent / messages,
        "by_kind_bytes_per_s": {
            kind: round(size / count / seconds, 1)
            for kind, size in network.bytes_by_kind.most_common()
        },
    }


def measure_propagation(
    network: Network, observers: set[str], has_learned: Callable[[str], bool]
) -> dict[str, float]:
    """Return the median and maximum time until ``has_learned`` holds per host."""
    started = network.now
    times: dict[str, float] = {}

    def record_times() -> bool:
        for host_id in observers - times.keys():
            if has_learned(host_id):
                times[host_id] = network.now - started
        return len(times) == len(observers)

    network.run(TIMEOUT_S, record_times)
    known = sorted(times.values())
    missing = len(observers) - len(known)
    return {"p50_s": statistics.median(known), "max_s": known[-1], "missing": missing}


def measure_changes(network: Network) -> dict[str, Any]:
    """Return the propagation times of a configuration, a leave and a death."""
    subject = sorted(network.nodes)[len(network.nodes) // 3]
    node = network.nodes[subject]
    value = ValueDigest("environment/bench", 5, b"d" * 16)
    network.actions.clear()
    network.carry_out(subject, node.set_value(value, network.now))

    def holds_value(host_id: str) -> bool:
        return value in network.nodes[host_id].values()

    def fetch_and_check(host_id: str) -> bool:
        fetch_values(network, value)
        return holds_value(host_id)

    all_hosts = set(network.nodes)
    results: dict[str, Any] = {
        "configuration": measure_propagation(network, all_hosts, fetch_and_check)
    }
    peers = {
        host_id
        for host_id, other in network.nodes.items()
        if other.local_member.region == node.local_member.region and host_id != subject
    }

    def view_of(host_id: str) -> Any:
        return network.nodes[host_id].member(subject)

    network.carry_out(subject, node.start_draining(network.now))
    results["leave"] = measure_propagation(
        network, peers, lambda host: view_of(host).leaving
    )
    network.actions.clear()
    network.kill(subject)
    results["death"] = measure_propagation(
        network, peers, lambda host: not view_of(host).live
    )
    wrongly_dead = {
        action.member.id
        for _, _, action in network.actions
        if isinstance(action, MemberChanged) and action.member.state.name == "DEAD"
    }
    results["wrong_verdicts"] = len(wrongly_dead - {subject})
    return results


class LoadExchange:
    """Target loads, sent by their pollers to the other hosts of the cell."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._stamp = 0
        self._polled_by_host: list[tuple[str, tuple[str, ...], list[str]]] = []
        by_region: dict[str, list[str]] = {}
        for host in network.hosts.values():
            by_region.setdefault(host.region, []).append(host.id)
        for region, hosts in by_region.items():
            self._assign_targets(region, hosts)

    def publish(self) -> None:
        """Publish the loads that each host polled to its cell."""
        for host_id, cell, targets in self._polled_by_host:
            node = self._network.nodes.get(host_id)
            if node is None:
                continue
            for target in targets:
                self._stamp += 1
                load = TargetLoad(target, self._stamp % 16, 0, self._stamp * 64, 40)
                update = pack_target_load(load, self._stamp)
                node.publish_update(update, self._network.now, cell)

    def _assign_targets(self, region: str, hosts: list[str]) -> None:
        count = len(hosts)
        cells: dict[int, list[str]] = {}
        for host_id in hosts:
            cells.setdefault(cell_of_host(host_id, count), []).append(host_id)
        polled: dict[str, list[str]] = {}
        for number in range(round(count * TARGETS_PER_HOST)):
            target = f"{region}-runner-{number}"
            cell = cells.get(cell_of_target(target, count), [])
            for host_id in computed_pollers(target, cell):
                polled.setdefault(host_id, []).append(target)
        for cell_hosts in cells.values():
            for host_id in cell_hosts:
                targets = polled.get(host_id, [])
                self._polled_by_host.append((host_id, tuple(cell_hosts), targets))


def measure(arguments: Namespace) -> dict[str, Any]:
    """Run one measurement and return the options and results."""
    zones = make_zones(arguments.regions)
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    hosts = make_hosts(arguments.hosts, zones)
    network = Network(hosts, Random(arguments.seed), loss=arguments.loss)
    sizes: dict[str, int] = {}
    for number, host in enumerate(hosts.values()):
        sizes[host.region] = sizes.get(host.region, 0) + 1
        network.start(host.id, incarnation=10**18 + number)
    result: dict[str, Any] = {**vars(arguments), "region_sizes": sorted(sizes.values())}
    if arguments.primed:
        fill_member_tables(network)
        network.run(5.0)
    else:
        result["start"] = measure_start(network, sizes)
    if arguments.loads:
        _exchange_loads(network, arguments.settle)
        _interleave_loads(network)
    else:
        network.run(arguments.settle)
    result["rates"] = measure_idle_rates(network, arguments.seconds)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    result["memory_kb_per_host"] = (after_kb - before_kb) / arguments.hosts
    if not arguments.loads:
        result.update(measure_changes(network))
    return result


def measure_start(network: Network, sizes: dict[str, int]) -> dict[str, Any]:
    """Start all hosts at once and measure until all know their region."""
    started = time.process_time()
    started_at = network.now
    done = network.run(TIMEOUT_S, lambda: is_complete(network, sizes))
    seconds = network.now - started_at
    traffic = network.traffic.values()
    count = len(network.nodes)
    return {
        "complete": done,
        "seconds": seconds,
        "both_ways_bytes_per_s": sum(t.sent_bytes + t.received_bytes for t in traffic)
        / count
        / seconds,
        "cpu_ms_per_s": 1000 * (time.process_time() - started) / count / seconds,
    }


def _exchange_loads(network: Network, seconds: float) -> None:
    exchange = LoadExchange(network)
    for _ in range(int(seconds / LOAD_INTERVAL_S)):
        exchange.publish()
        network.run(LOAD_INTERVAL_S)


def _interleave_loads(network: Network) -> None:
    exchange = LoadExchange(network)
    run_network = network.run

    def run(seconds: float, until: Callable[[], bool] | None = None) -> bool:
        for _ in range(int(seconds / LOAD_INTERVAL_S)):
            exchange.publish()
            run_network(LOAD_INTERVAL_S, until)
        return True

    network.run = run  # type: ignore[method-assign]


def main() -> None:
    """Parse the command line, measure and print the results."""
    parser = ArgumentParser()
    parser.add_argument("--hosts", type=int, default=300)
    parser.add_argument("--regions", type=int, default=10)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--settle", type=float, default=10.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--primed", action="store_true")
    parser.add_argument("--loads", action="store_true")
    print(json.dumps(measure(parser.parse_args()), indent=1))


if __name__ == "__main__":
    main()
