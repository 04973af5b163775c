"""
Shows a deployment at work: ``python -m demo.run``.

Nine hosts in three regions serve chats and take deposits while a host and a
runner are killed. The exit code is 0 only if no promise to a caller broke.
"""

from __future__ import annotations

import random
import sys
import tempfile
import time
from itertools import chain
from pathlib import Path

import trio

from standins.caller import Kind
from standins.fleet import Fleet, open_fleet, read_region

from .bookings import Bookings
from .chats import Chats
from .deployment import REGIONS, start_deployment
from .promises import list_broken_promises
from .session import Session
from .table import render_table

CHAT_CALLERS_PER_REGION = 4
KILLED_HOST = "host-kumasi-1"
KILLED_RUNNER = "runner-accra-1"
BEFORE_KILLS_S = 6.0
BETWEEN_KILLS_S = 5.0
AFTER_KILLS_S = 8.0
LIMIT_S = 110.0
SEED = 1


def main() -> int:
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_demonstrate, Path(directory))


async def _demonstrate(directory: Path) -> int:
    started = time.monotonic()
    with trio.move_on_after(LIMIT_S) as limit:
        async with open_fleet(directory) as fleet:
            await start_deployment(fleet)
            _say(f"{len(fleet.processes)} processes are ready", started)
            broken = await _serve_under_failures(fleet, started)
            _say("ending all processes", started)
    if limit.cancelled_caught:
        broken = [f"the demonstration took longer than {LIMIT_S:g} s"]
    for line in broken:
        print("BROKEN PROMISE:", line)
    _say("no promise broke" if not broken else "FAILED", started)
    return 1 if broken else 0


async def _serve_under_failures(fleet: Fleet, started: float) -> list[str]:
    chats, bookings = Chats(), Bookings()
    randomness = random.Random(SEED)
    killed = frozenset({fleet.hosts[KILLED_HOST].callers_address})
    async with trio.open_nursery() as nursery:
        for region in REGIONS:
            for number in range(CHAT_CALLERS_PER_REGION):
                session = _open_session(fleet, region, randomness)
                nursery.start_soon(chats.run_caller, session, f"{region}-{number}")
            session = _open_session(fleet, region, randomness)
            nursery.start_soon(bookings.run_caller, session, region)
        await _show_resend(fleet, bookings, randomness, started)
        await trio.sleep(BEFORE_KILLS_S)
        for victim in (KILLED_HOST, KILLED_RUNNER):
            await fleet.processes[victim].kill()
            _say(f"killed {victim} under load", started)
            await trio.sleep(BETWEEN_KILLS_S)
        await trio.sleep(AFTER_KILLS_S)
        chats.stopping = bookings.stopping = True
    rows = {**chats.outcomes, "deposit": list(bookings.outcomes.values())}
    print(render_table(rows, await _list_resumed(fleet)))
    executions = await fleet.count_executions()
    _say_executions(executions, bookings, started)
    all_chats = list(chain(*chats.outcomes.values()))
    return list_broken_promises(all_chats, bookings.outcomes, executions, killed)


async def _show_resend(
    fleet: Fleet, bookings: Bookings, randomness: random.Random, started: float
) -> None:
    """Lose the answer to a deposit, then resend it through another host."""
    session = _open_session(fleet, REGIONS[0], randomness)
    key = "shown-deposit"
    outcome = await bookings.deposit(session, key)
    _say(f"deposit: {outcome.kind.value} {outcome.body}", started)
    hosts = [h for h in fleet.hosts.values() if read_region(h.zone) == REGIONS[0]]
    others = [h for h in hosts if h.callers_address != outcome.address]
    resent = await bookings.send(session, key, others[0].callers_address)
    _say(f"resent through {others[0].id}: {resent.kind.value} {resent.body}", started)


def _open_session(fleet: Fleet, region: str, randomness: random.Random) -> Session:
    contacts = [
        host.callers_address
        for host in fleet.hosts.values()
        if read_region(host.zone) == region
    ]
    return Session(
        fleet.caller(region=region), contacts, random.Random(randomness.random())
    )


async def _list_resumed(fleet: Fleet) -> frozenset[str]:
    resumed: set[str] = set()
    for name, target in fleet.targets.items():
        if target.models and fleet.processes[name].running:
            seen = (await fleet.read(name, "/control/seen"))["seen"]
            resumed.update(entry["id"] for entry in seen if entry["resumed_at"])
    return frozenset(resumed)


def _say_executions(
    executions: dict[str, int], bookings: Bookings, started: float
) -> None:
    resent = sum(count > 1 for count in bookings.sent.values())
    done = sum(o.kind is Kind.WHOLE for o in bookings.outcomes.values())
    most = max(executions.values(), default=0)
    _say(
        f"{len(bookings.sent)} deposits, {resent} of them resent, {done} answered as "
        f"done; executions of one deposit: at most {most}",
        started,
    )


def _say(line: str, started: float) -> None:
    print(f"[{time.monotonic() - started:5.1f} s] {line}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
