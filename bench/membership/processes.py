"""
Measures real host processes on loopback.

    python -m bench.membership.processes --hosts 30 --loss 0.05

Starts the hosts in batches, waits until each knows its region and measures them
without changes. Then measures over several trials how long a configuration, a
leave and a death take to reach all hosts. Packet loss is simulated at the sender.
"""

from __future__ import annotations

import json
import statistics
import time
from argparse import ArgumentParser
from typing import TYPE_CHECKING, Any

from .core import make_zones
from .fleet import Fleet

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Callable

    from .fleet import HostProcess

START_TIMEOUT_S = 120.0
PROPAGATION_TIMEOUT_S = 60.0
POLL_S = 1.0
MAX_STARTING = 8


def region_sizes(fleet: Fleet) -> dict[str, int]:
    """Return the number of hosts of each region."""
    sizes: dict[str, int] = {}
    for host in fleet.hosts.values():
        sizes[host.region] = sizes.get(host.region, 0) + 1
    return sizes


def start_in_batches(fleet: Fleet) -> None:
    """Start all hosts, at most ``MAX_STARTING`` interpreters at a time."""
    for host_id in fleet.hosts:
        fleet.start(host_id)
        fleet.wait(lambda: _count_starting(fleet) < MAX_STARTING, START_TIMEOUT_S)


def _count_starting(fleet: Fleet) -> int:
    return sum(not one.events for one in fleet.running.values())


def wait_until_complete(fleet: Fleet) -> float:
    """Wait until every host knows its region and return the seconds it took."""
    sizes = region_sizes(fleet)
    started = time.monotonic()
    pending = dict(fleet.running)
    while pending and time.monotonic() - started < START_TIMEOUT_S:
        for host_id, one in tuple(pending.items()):
            if one.ask("stats", START_TIMEOUT_S)["live"] >= sizes[one.host.region]:
                del pending[host_id]
        time.sleep(POLL_S / 10)
    if pending:
        raise TimeoutError(f"{len(pending)} hosts did not see all of their region")
    return time.monotonic() - started


def measure_idle(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Return the mean CPU time, traffic and memory of an idle host."""
    before = {
        name: one.ask("stats", START_TIMEOUT_S) for name, one in fleet.running.items()
    }
    time.sleep(seconds)
    after = {
        name: one.ask("stats", START_TIMEOUT_S) for name, one in fleet.running.items()
    }

    def mean(read: Callable[[dict[str, Any]], float]) -> float:
        return statistics.mean(
            (read(after[name]) - read(before[name]))
            / float(after[name]["at"] - before[name]["at"])
            for name in fleet.running
        )

    return {
        "cpu_ms_per_s": 1000 * mean(lambda stats: stats["cpu_s"]),
        "sent_bytes_per_s": mean(lambda stats: stats["traffic"]["sent_bytes"]),
        "received_bytes_per_s": mean(lambda s: s["traffic"]["received_bytes"]),
        "sent_messages_per_s": mean(lambda s: s["traffic"]["sent_datagrams"]),
        "rss_mb": statistics.mean(one["rss_kb"] for one in after.values()) / 1024,
    }


def measure_propagation(
    hosts: list[HostProcess], since: float, matches: Callable[[dict[str, Any]], bool]
) -> list[float]:
    """Return the seconds from ``since`` to each host's first matching event."""
    pending = {one.host.id: one for one in hosts}
    times = []
    end = time.monotonic() + PROPAGATION_TIMEOUT_S
    while pending and time.monotonic() < end:
        for host_id, one in tuple(pending.items()):
            found = [event["at"] for event in tuple(one.events) if matches(event)]
            if found:
                times.append(found[0] - since)
                del pending[host_id]
        time.sleep(POLL_S / 20)
    times.extend([float("inf")] * len(pending))
    return times


def measure_changes(fleet: Fleet, trials: int) -> dict[str, Any]:
    """Return the propagation times of configurations, leaves and deaths."""
    times: dict[str, list[float]] = {"configuration": [], "leave": [], "death": []}
    for trial in range(trials):
        subject = sorted(fleet.running)[trial % len(fleet.running)]
        one = fleet.running[subject]
        peers = [o for o in fleet.others(subject) if o.host.region == one.host.region]
        since = time.monotonic()
        one.tell(do="value", name="environment/bench", revision=trial + 1)
        times["configuration"] += measure_propagation(
            fleet.others(subject),
            since,
            lambda e, r=trial + 1: e.get("revision") == r,  # type: ignore[misc]
        )
        since = time.monotonic()
        one.tell(do="leaving")
        times["leave"] += measure_propagation(
            peers,
            since,
            lambda e, s=subject: e.get("id") == s and e.get("leaving") is True,  # type: ignore[misc]
        )
        since = time.monotonic()
        fleet.kill(subject)
        times["death"] += measure_propagation(
            peers,
            since,
            lambda e, s=subject: e.get("id") == s and e.get("state") == "DEAD",  # type: ignore[misc]
        )
    return {
        name: {
            "p50_s": round(statistics.median(found), 2),
            "max_s": round(max(found), 2),
            "samples": len(found),
        }
        for name, found in times.items()
    }


def measure(arguments: Namespace) -> dict[str, Any]:
    """Run one measurement and return the options and results."""
    with Fleet(arguments.hosts, make_zones(arguments.regions)) as fleet:
        start_in_batches(fleet)
        result: dict[str, Any] = {**vars(arguments)}
        result["start_s"] = round(wait_until_complete(fleet), 2)
        for one in fleet.running.values():
            one.tell(do="loss", share=arguments.loss)
        time.sleep(arguments.settle)
        result["rest"] = measure_idle(fleet, arguments.seconds)
        result.update(measure_changes(fleet, arguments.trials))
        result["wrong_verdicts"] = count_wrong_verdicts(fleet)
        return result


def count_wrong_verdicts(fleet: Fleet) -> int:
    """Return how many times a running host was declared dead."""
    return sum(
        event["event"] == "member"
        and event["state"] == "DEAD"
        and event["id"] in fleet.running
        for one in fleet.running.values()
        for event in tuple(one.events)
    )


def main() -> None:
    """Parse the command line, measure and print the results."""
    parser = ArgumentParser()
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--regions", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--settle", type=float, default=10.0)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--trials", type=int, default=3)
    print(json.dumps(measure(parser.parse_args()), indent=1))


if __name__ == "__main__":
    main()
