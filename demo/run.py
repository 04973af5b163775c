"""
Demonstrates a deployment under failures: ``python -m demo.run``.

Nine hosts in three regions serve chat requests and deposits while a host and a
runner are killed. The exit code is 0 only if no guarantee to a caller was
violated.
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
from .promises import list_failed_deposits, list_violations
from .session import Session
from .table import render_table

CHAT_CALLERS_PER_REGION = 4
KILLED_HOST = "host-kumasi-1"
BEFORE_KILLS_S = 6.0
BETWEEN_KILLS_S = 5.0
TIMEOUT_S = 110.0
SEED = 1
MAX_PRINTED_VIOLATIONS = 20
TICKETED_DEPOSIT = "deposit under a ticket"
KEYED_DEPOSIT = "deposit under an idempotency key"


def main() -> int:
    """Run the demonstration and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_run_demonstration, Path(directory))


async def _run_demonstration(directory: Path) -> int:
    started = time.monotonic()
    with trio.move_on_after(TIMEOUT_S) as scope:
        async with open_fleet(directory) as fleet:
            await start_deployment(fleet)
            _print_progress(f"{len(fleet.processes)} processes are ready", started)
            violations = await _serve_under_failures(fleet, started)
            _print_progress("ending all processes", started)
    if scope.cancelled_caught:
        violations = [f"the demonstration took longer than {TIMEOUT_S:g} s"]
    for line in violations[:MAX_PRINTED_VIOLATIONS]:
        print("BROKEN PROMISE:", line)
    if len(violations) > MAX_PRINTED_VIOLATIONS:
        print(f"... and {len(violations) - MAX_PRINTED_VIOLATIONS} more")
    _print_progress("no promise broke" if not violations else "FAILED", started)
    return 1 if violations else 0


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
        ticketed = await bookings.prepare(session, TICKETED_DEPOSIT)
        if ticketed is not None:
            await _show_resend(fleet, bookings, session, ticketed, started)
        await trio.sleep(BEFORE_KILLS_S)
        await _kill(fleet, KILLED_HOST, started)
        await trio.sleep(BETWEEN_KILLS_S)
        await _kill(fleet, await _find_busiest_runner(fleet), started)
        keyed = Deposit(KEYED_DEPOSIT)
        await _show_resend(fleet, bookings, session, keyed, started)
        chats.stopping = bookings.stopping = True
    rows = {**chats.outcomes, "deposit": list(bookings.outcomes.values())}
    print(render_table(rows, await _list_resumed(fleet)))
    executions = await fleet.count_executions()
    _print_executions(executions, bookings, started)
    all_chats = list(chain(*chats.outcomes.values()))
    return [
        *list_violations(all_chats, bookings.outcomes, executions, killed),
        *list_failed_deposits(bookings.outcomes, (TICKETED_DEPOSIT, KEYED_DEPOSIT)),
    ]


async def _kill(fleet: Fleet, process_name: str, started: float) -> None:
    await fleet.processes[process_name].kill()
    _print_progress(f"killed {process_name} under load", started)


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
    """Complete a deposit, then resend it once through another host."""
    first = await bookings.complete(session, deposit)
    _print_progress(f"{deposit.name}: {first.kind.value}, {first.body}", started)
    other = next(
        host
        for host in fleet.hosts.values()
        if read_region(host.zone) == REGIONS[0]
        and host.callers_address != first.address
    )
    again = await bookings.send(session, deposit, other.callers_address)
    _print_progress(
        f"sent again through {other.id}: {again.kind.value}, {again.body}", started
    )


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
    """Return the ids of resumed requests, without the attempt number after "-"."""
    resumed: set[str] = set()
    for name, target in fleet.targets.items():
        if target.models and fleet.processes[name].running:
            seen = (await fleet.read(name, "/control/seen"))["seen"]
            resumed.update(
                entry["id"].rpartition("-")[0] for entry in seen if entry["resumed_at"]
            )
    return frozenset(resumed)


def _print_executions(
    executions: dict[str, int], bookings: Bookings, started: float
) -> None:
    resent = sum(count > 1 for count in bookings.send_counts.values())
    done = sum(o.kind is Kind.WHOLE for o in bookings.outcomes.values())
    max_executions = max(executions.values(), default=0)
    _print_progress(
        f"{len(bookings.send_counts)} deposits, {resent} of them resent, "
        f"{done} answered as done; "
        f"executions of one deposit: at most {max_executions}",
        started,
    )


def _print_progress(line: str, started: float) -> None:
    print(f"[{time.monotonic() - started:5.1f} s] {line}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
