"""
Plays planned stops: ``python -m soak.stops --seed 7``.

Hosts are told to end by SIGTERM, one to three at a time, and are started again. Callers
go on at a host that ends until it accepts no more connections, and targets fall silent
for a moment, more than once in a stream. It prints one line, and one for each request
that was broken off, refused or mixed up against the rules (``soak/stop_checks.py``)::

    python -m soak.stops --seed 7 --hosts 9 --seconds 30 --checkout ../older
"""

from __future__ import annotations

import argparse
import random
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from standins.host_processes import launch_host, run_hosts, wait_until_ready
from standins.processes import ROOT, require_running
from standins.site import Site

from .stop_checks import (
    GRACE_S,
    Stop,
    count_outcomes,
    find_violations,
    group_runs,
    is_late,
)
from .stop_load import Records, add_targets, call
from .stop_plan import ZONES, PlannedStop, draw_stops

if TYPE_CHECKING:
    from standins.host_processes import HostProcess

CALLERS_PER_HOST = 5
READY_S = 10.0
POLL_S = 0.02


async def stop_host(host: HostProcess, stop: PlannedStop) -> Stop:
    """Tell a host to end as planned, kill it after the grace; return what it did."""
    process = host.process
    require_running(process)
    if stop.held_after_s:
        process.stop()
        await trio.sleep(stop.held_before_s)
    told_at = trio.current_time()
    process.terminate()

    async def send_later(after_s: float | None, number: signal.Signals) -> None:
        if after_s is not None:
            await trio.sleep_until(told_at + after_s)
            if process.running:
                process.popen.send_signal(number)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_later, stop.held_after_s or None, signal.SIGCONT)
        nursery.start_soon(send_later, stop.twice_after_s, signal.SIGTERM)
        nursery.start_soon(send_later, stop.reload_after_s, signal.SIGHUP)
        while process.running and trio.current_time() < told_at + GRACE_S:
            await trio.sleep(POLL_S)
        nursery.cancel_scope.cancel()
    ended_at, killed = trio.current_time(), process.running
    if killed:
        await process.kill()
    return Stop(host.settings.host, told_at, ended_at, killed, process.popen.returncode)


async def play(
    seed: int, hosts: int, seconds: float, directory: Path, checkout: Path = ROOT
) -> Records:
    """Play the stops of a seed; return what callers, targets and hosts did."""
    records = Records()
    plan = draw_stops(hosts, seconds, seed)
    zones = [ZONES[number % len(ZONES)] for number in range(hosts)]
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        await add_targets(site, records, seed)
        async with run_hosts(site, directory, zones, checkout) as running:
            started_at = trio.current_time()

            async def stop_in_turn(number: int) -> None:
                for stop in plan:
                    if stop.host == number:
                        await trio.sleep_until(started_at + stop.at_s)
                        host = running[number]
                        records.stops.append(await stop_host(host, stop))
                        running[number] = launch_host(
                            host.process.name, directory, checkout
                        )
                        with trio.fail_after(READY_S):
                            await wait_until_ready(running[number])

            async with trio.open_nursery() as calling:
                for number in range(CALLERS_PER_HOST * hosts):
                    draw = random.Random(f"stops/{seed}/caller/{number}")
                    calling.start_soon(call, records, running, number, draw)
                async with trio.open_nursery() as stopping:
                    for number in range(hosts):
                        stopping.start_soon(stop_in_turn, number)
                calling.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    return records


def summarise(seed: int, hosts: int, records: Records, violations: int) -> str:
    """Return one line on a play."""
    runs_of = group_runs(records.runs)
    streams = [each for each in records.requests if each.events]
    late = [each for each in streams if is_late(each, records.stops)]
    return (
        f"seed {seed}: {hosts} hosts, {len(records.stops)} stops,"
        f" {len(records.requests)} requests"
        f" {_write_counts(count_outcomes(records.requests, runs_of))},"
        f" {len(late)} late streams {_write_counts(count_outcomes(late, runs_of))},"
        f" {violations} violations"
    )


def _write_counts(counts: dict[str, int]) -> str:
    return "(" + ", ".join(f"{counts[name]} {name}" for name in sorted(counts)) + ")"


def main() -> int:
    """Play the seed of the command line; return 1 if it broke a rule."""
    # SIGTERM is handled like Ctrl+C, so that a play's processes are ended.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    parser = argparse.ArgumentParser(prog="soak.stops")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--checkout", type=Path, default=ROOT)
    parser.add_argument("--directory", type=Path)
    options = parser.parse_args()
    directory = options.directory or Path(tempfile.mkdtemp(prefix="stops-"))
    directory.mkdir(parents=True, exist_ok=True)
    checkout = options.checkout.resolve()
    records = trio.run(
        play, options.seed, options.hosts, options.seconds, directory, checkout
    )
    violations = list(find_violations(records.stops, records.requests, records.runs))
    print(summarise(options.seed, options.hosts, records, len(violations)))
    for violation in violations:
        print(violation)
    if violations:
        print(f"logs: {directory}")
    return int(bool(violations))


if __name__ == "__main__":
    sys.exit(main())
