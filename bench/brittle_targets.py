"""
Overloads brittle targets through gateways, callers and targets in separate processes.

Targets state that they are brittle and fall over when they turn too much away. This
process runs the store and the targets; each gateway and all callers together have one of
their own. The line printed has what was served of the capacity, the falls, and the share
of a core that each process used::

    python -m bench.brittle_targets --hosts 6 --factor 1.5 --work-s 0.3
"""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from pathlib import Path
from tempfile import mkdtemp
from typing import Any

import orjson
import trio

from standins.brittle_target import BrittleFleet
from standins.host_processes import read_hosts, run_hosts
from standins.site import Site, make_route

from .separate_callers import (
    MEET_S,
    Measured,
    announce_ready,
    measure_callers,
)


async def _measure(options: Namespace) -> dict[str, Any]:
    directory = Path(options.logs or mkdtemp(prefix="brittle-targets-"))
    directory.mkdir(exist_ok=True)
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        fleet = _make_fleet(site, options)
        site.configure(make_route("books", "unsafe", target_latency_ms=1000))
        zones = ["east-a"] * options.hosts
        async with run_hosts(site, directory, zones, meet_s=MEET_S) as hosts:
            await nursery.start(fleet.run)
            measured = await measure_callers(
                "bench.brittle_targets", options, hosts, directory
            )
            fleet.ended_at = measured.started_at + options.seconds
        nursery.cancel_scope.cancel()
    return _describe(fleet, options, measured) | {"logs": str(directory)}


def _make_fleet(site: Site, options: Namespace) -> BrittleFleet:
    return BrittleFleet(site, "books", count=options.targets, work_s=options.work_s)


def _describe(
    fleet: BrittleFleet, options: Namespace, measured: Measured
) -> dict[str, Any]:
    return {
        "hosts": options.hosts,
        "requests_per_s": round(options.factor * fleet.rate, 1),
        "served_share": round(fleet.find_served_share(options.factor), 3),
        "falls": len(fleet.falls),
        "allowed_falls": fleet.count_allowed_falls(),
        "turned_away_by_targets": fleet.turned_away,
        **measured.describe(),
    }


async def _call(options: Namespace) -> None:
    """Send the load to the gateways of a directory, and print the answers' statuses."""
    hosts = read_hosts(Path(options.call))
    async with trio.open_nursery() as nursery:
        fleet = _make_fleet(Site(nursery), options)
        announce_ready()
        statuses = await fleet.load(hosts, options.factor, options.seconds)
    result = {"statuses": {str(status): n for status, n in sorted(statuses.items())}}
    print(orjson.dumps(result).decode(), flush=True)


def _read_options() -> Namespace:
    parser = ArgumentParser(prog="python -m bench.brittle_targets", description=__doc__)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--targets", type=int, default=6)
    parser.add_argument("--factor", type=float, default=1.5, help="of the capacity")
    parser.add_argument("--work-s", type=float, default=0.3, help="of each request")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--logs", default="", help="folder for the processes' logs")
    parser.add_argument("--call", default="", help="used for the callers' process")
    return parser.parse_args()


if __name__ == "__main__":
    options = _read_options()
    if options.call:
        trio.run(_call, options)
    else:
        print(orjson.dumps(trio.run(_measure, options)).decode())
