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

from .bookings import Bookings, Deposit
from .chats import Chats
from .deployment import REGIONS, start_deployment
from .promises import list_broken_promises, list_missing
from .session import Session
from .table import render_table

CHAT_CALLERS_PER_REGION = 4
KILLED_HOST = "host-kumasi-1"
BEFORE_KILLS_S = 6.0
BETWEEN_KILLS_S = 5.0
LIMIT_S = 110.0
SEED = 1
LINES_SHOWN = 20
SHOWN_TICKETED = "deposit under a ticket"
SHOWN_KEYED = "deposit under an idempotency key"


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
    for line in broken[:LINES_SHOWN]:
        print("BROKEN PROMISE:", line)
    if len(broken) > LINES_SHOWN:
        print(f"... and {len(broken) - LINES_SHOWN} more")
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
        session = _open_session(fleet, REGIONS[0], randomness)
        ticketed = await bookings.prepare(session, SHOWN_TICKETED)
        if ticketed is not None:
            await _show_resend(fleet, bookings, session, ticketed, started)
        await trio.sleep(BEFORE_KILLS_S)
        await _kill(fleet, KILLED_HOST, started)
        await trio.sleep(BETWEEN_KILLS_S)
        await _kill(fleet, await _find_busiest_runner(fleet), started)
        keyed = Deposit(SHOWN_KEYED)
        await _show_resend(fleet, bookings, session, keyed, started)
        chats.stopping = bookings.stopping = True
    rows = {**chats.outcomes, "deposit": list(bookings.outcomes.values())}
    print(render_table(rows, await _list_resumed(fleet)))
    executions = await fleet.count_executions()
    _say_executions(executions, bookings, started)
    all_chats = list(chain(*chats.outcomes.values()))
    return [
        *list_broken_promises(all_chats, bookings.outcomes, executions, killed),
        *list_missing(bookings.outcomes, (SHOWN_TICKETED, SHOWN_KEYED)),
    ]


async def _kill(fleet: Fleet, victim: str, started: float) -> None:
    await fleet.processes[victim].kill()
    _say(f"killed {victim} under load", started)


async def _find_busiest_runner(fleet: Fleet) -> str:
    running: dict[str, int] = {}
    for name, target in fleet.targets.items():
        if target.models:
            running[name] = (await fleet.read(name, "/v1/load"))["running"]
    return max(running, key=running.__getitem__)


async def _show_resend(
    fleet: Fleet,
    bookings: Bookings,
    session: Session,
    deposit: Deposit,
    started: float,
) -> None:
    """Make a deposit, then send it once more through another host."""
    first = await bookings.complete(session, deposit)
    _say(f"{deposit.name}: {first.kind.value}, {first.body}", started)
    other = next(
        host
        for host in fleet.hosts.values()
        if read_region(host.zone) == REGIONS[0]
        and host.callers_address != first.address
    )
    again = await bookings.send(session, deposit, other.callers_address)
    _say(f"sent again through {other.id}: {again.kind.value}, {again.body}", started)


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
    """Return the requests that engines resumed; a host numbers its attempts."""
    resumed: set[str] = set()
    for name, target in fleet.targets.items():
        if target.models and fleet.processes[name].running:
            seen = (await fleet.read(name, "/control/seen"))["seen"]
            resumed.update(
                entry["id"].rpartition("-")[0] for entry in seen if entry["resumed_at"]
            )
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
