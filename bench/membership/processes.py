"""
Measures real host processes on loopback.

    python -m bench.membership.processes --hosts 30 --loss 0.05

Starts the hosts, a few at a time, waits until each knows its region, measures them at
rest, then times how long a configuration, a leave and a death take to be
known by all, over several trials. Losses are drawn at the sender.
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

START_S = 120.0
KNOWN_S = 60.0
POLL_S = 1.0
STARTING_AT_ONCE = 8


def region_sizes(fleet: Fleet) -> dict[str, int]:
    """Return the number of hosts of each region."""
    sizes: dict[str, int] = {}
    for host in fleet.hosts.values():
        sizes[host.region] = sizes.get(host.region, 0) + 1
    return sizes


def start_in_batches(fleet: Fleet) -> None:
    """Start all hosts, a few interpreters at a time."""
    for host_id in fleet.hosts:
        fleet.start(host_id)
        fleet.wait(lambda: _count_starting(fleet) < STARTING_AT_ONCE, START_S)


def _count_starting(fleet: Fleet) -> int:
    return sum(not one.events for one in fleet.running.values())


def wait_until_complete(fleet: Fleet) -> float:
    """Return how long it took until every host knew its region."""
    sizes = region_sizes(fleet)
    started = time.monotonic()
    waiting = dict(fleet.running)
    while waiting and time.monotonic() - started < START_S:
        for host_id, one in tuple(waiting.items()):
            if one.ask("stats", START_S)["live"] >= sizes[one.host.region]:
                del waiting[host_id]
        time.sleep(POLL_S / 10)
    if waiting:
        raise TimeoutError(f"{len(waiting)} hosts didn't see their region")
    return time.monotonic() - started


def measure_rest(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Return what a host costs at rest."""
    before = {name: one.ask("stats", START_S) for name, one in fleet.running.items()}
    time.sleep(seconds)
    after = {name: one.ask("stats", START_S) for name, one in fleet.running.items()}

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


def time_known(
    hosts: list[HostProcess], since: float, matches: Callable[[dict[str, Any]], bool]
) -> list[float]:
    """Return for each host how long after ``since`` it reported a match."""
    waiting = {one.host.id: one for one in hosts}
    times = []
    end = time.monotonic() + KNOWN_S
    while waiting and time.monotonic() < end:
        for host_id, one in tuple(waiting.items()):
            found = [event["at"] for event in tuple(one.events) if matches(event)]
            if found:
                times.append(found[0] - since)
                del waiting[host_id]
        time.sleep(POLL_S / 20)
    times.extend([float("inf")] * len(waiting))
    return times


def measure_changes(fleet: Fleet, trials: int) -> dict[str, Any]:
    """Return the times of several configurations, leaves and deaths."""
    times: dict[str, list[float]] = {"configuration": [], "leave": [], "death": []}
    for trial in range(trials):
        subject = sorted(fleet.running)[trial % len(fleet.running)]
        one = fleet.running[subject]
        peers = [o for o in fleet.others(subject) if o.host.region == one.host.region]
        since = time.monotonic()
        one.tell(do="value", name="environment/bench", revision=trial + 1)
        times["configuration"] += time_known(
            fleet.others(subject),
            since,
            lambda e, r=trial + 1: e.get("revision") == r,  # type: ignore[misc]
        )
        since = time.monotonic()
        one.tell(do="leaving")
        times["leave"] += time_known(
            peers,
            since,
            lambda e, s=subject: e.get("id") == s and e.get("leaving") is True,  # type: ignore[misc]
        )
        since = time.monotonic()
        fleet.kill(subject)
        times["death"] += time_known(
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
    """Run one measurement."""
    with Fleet(arguments.hosts, make_zones(arguments.regions)) as fleet:
        start_in_batches(fleet)
        result: dict[str, Any] = {**vars(arguments)}
        result["start_s"] = round(wait_until_complete(fleet), 2)
        for one in fleet.running.values():
            one.tell(do="loss", share=arguments.loss)
        time.sleep(arguments.settle)
        result["rest"] = measure_rest(fleet, arguments.seconds)
        result.update(measure_changes(fleet, arguments.trials))
        result["wrong_verdicts"] = count_wrong_verdicts(fleet)
        return result


def count_wrong_verdicts(fleet: Fleet) -> int:
    """Return how many verdicts fell on hosts that still run."""
    return sum(
        event["event"] == "member"
        and event["state"] == "DEAD"
        and event["id"] in fleet.running
        for one in fleet.running.values()
        for event in tuple(one.events)
    )


def main() -> None:
    """Read the command line, measure and print."""
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
