"""Plays one seed: starts the fleet, does what the plan says, and checks."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from functools import partial
from itertools import cycle
from typing import TYPE_CHECKING

import trio

from standins.site import REGIONS

from .answers import RequestKind, Work
from .callers import Caller, Notebook, Outcome, exchange
from .checks import Evidence, Probe, Trouble, Violation, check_all, read_records
from .fleet import SERVICES, Fleet
from .plan import Disturbance, Fault, FaultKind, Sizes, draw_plan

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from .fleet import HostProcess
    from .proxy import Proxy

# Before the first fault; hosts have met and callers have connections by then.
WARM_S = 2.0
# All must be well again this long after the last fault has ended.
RECOVERY_S = 12.0
# For the requests that all have to be served, after the recovery.
CALM_S = 3.0
# Callers have gone for this long when targets must have stopped their work.
GONE_S = 1.5
# Between two probes of one host on average, and for one probe.
PROBE_EVERY_S = 0.5
PROBE_S = 1.0
# Between two looks at processes and their memory.
WATCH_EVERY_S = 0.1
# Of the requests that targets begin while faults go on.
FAULTY_SHARE = 0.02
CALLERS_PER_HOST = 2
# Of the hosts that a KILL_MANY takes.
MANY_SHARE = 0.5
# The smallest memory of a machine of the first deployments.
MOST_MEMORY_BYTES = 300_000_000


@dataclass(frozen=True, slots=True)
class Result:
    """What a run came to."""

    seed: int
    faults: int
    violations: list[Violation]
    outcomes: list[Outcome]
    memory_bytes: int


@dataclass(slots=True)
class Run:
    """State of a run while it goes on."""

    fleet: Fleet
    seed: int
    notebook: Notebook = field(default_factory=Notebook)
    troubles: list[Trouble] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    memory_bytes: int = 0
    done: bool = False
    calling: bool = True


async def play(sizes: Sizes, seed: int, directory: Path) -> Result:
    """Play a seed's plan against a fleet of its own; files go to ``directory``."""
    plan = draw_plan(sizes, seed)
    async with trio.open_nursery() as nursery:
        run = Run(Fleet(nursery, directory, seed), seed)
        try:
            settled_at = await _play(run, plan, sizes)
        finally:
            with trio.CancelScope(shield=True):
                await run.fleet.close()
        nursery.cancel_scope.cancel()
    violations = check_all(_gather(run, settled_at, directory))
    return Result(seed, len(plan), violations, run.notebook.outcomes, run.memory_bytes)


async def _play(run: Run, plan: tuple[Fault, ...], sizes: Sizes) -> float:
    """Play a plan; return the time at which all had to have recovered."""
    fleet = run.fleet
    fleet.faulty_share = FAULTY_SHARE
    await _start(fleet, sizes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch, run)
        nursery.start_soon(_probe, run)
        async with trio.open_nursery() as callers:
            for caller in _make_callers(run):
                callers.start_soon(caller.run, lambda: run.calling)
            await trio.sleep(WARM_S)
            async with trio.open_nursery() as faults:
                started = trio.current_time()
                for fault in plan:
                    await trio.sleep_until(started + fault.at_s)
                    faults.start_soon(_do, run, fault)
            fleet.sound.touch()
            settled_at = time.monotonic() + RECOVERY_S
            await trio.sleep(RECOVERY_S + CALM_S)
            run.calling = False
        await trio.sleep(GONE_S)
        run.done = True
    return settled_at


async def _start(fleet: Fleet, sizes: Sizes) -> None:
    await fleet.open_store()
    zones = cycle(REGIONS)
    # Targets of both services in each zone before a second of either.
    for number in range(sizes.targets):
        service = SERVICES[(number // len(REGIONS)) % len(SERVICES)]
        await fleet.add_target(service, next(zones))
    zones = cycle(REGIONS)
    for _ in range(sizes.hosts):
        await fleet.add_host(next(zones))
    for host in fleet.hosts:
        fleet.launch_host(host)
    for host in fleet.hosts:
        if not await fleet.wait_ready(host):
            fleet.ends.append(f"{host.name} did not become ready")


def _make_callers(run: Run) -> list[Caller]:
    doors = [host.doors for host in run.fleet.hosts]
    return [
        Caller(run.notebook, doors, home, random.Random(f"{run.seed}/{number}"))
        for number, home in enumerate(doors * CALLERS_PER_HOST)
    ]


async def _do(run: Run, fault: Fault) -> None:
    """Do what a fault says and wait until it has been taken back."""
    fleet = run.fleet
    host = fleet.hosts[fault.subject % len(fleet.hosts)]
    target = fleet.targets[fault.subject % len(fleet.targets)]
    since = time.monotonic()
    actions: dict[FaultKind, tuple[str, Callable[[], Awaitable[None]]]] = {
        FaultKind.KILL_HOST: (host.name, partial(fleet.kill_host, host, fault.for_s)),
        FaultKind.STOP_HOST: (
            host.name,
            partial(fleet.pause, host.process, fault.for_s),
        ),
        FaultKind.END_HOST: (host.name, partial(fleet.end_host, host, fault.for_s)),
        FaultKind.RELOAD_HOST: (host.name, partial(_reload, run, host)),
        FaultKind.KILL_MANY: ("many", partial(_kill_many, run, fault)),
        FaultKind.ROLL: ("many", partial(_roll, run)),
        FaultKind.KILL_TARGET: (
            target.name,
            partial(fleet.restart_target, target, fault.for_s),
        ),
        FaultKind.STOP_TARGET: (
            target.name,
            partial(fleet.pause, target.process, fault.for_s),
        ),
        FaultKind.DRAIN_TARGET: (target.name, partial(fleet.drain_target, target)),
        FaultKind.DISTURB_STORE_LINK: (
            host.name,
            partial(_disturb, host.store_link, fault),
        ),
        FaultKind.DISTURB_CALLER_LINK: (
            host.name,
            partial(_disturb, host.caller_link, fault),
        ),
        FaultKind.DISTURB_TARGET_LINK: (
            target.name,
            partial(_disturb, target.link, fault),
        ),
        FaultKind.FAIL_STORE: ("store", partial(_fail_store, run, fault)),
        FaultKind.COMPACT_STORE: ("store", partial(_compact, run)),
        FaultKind.CONFIGURE: ("configuration", partial(_configure, run)),
        FaultKind.EVACUATE: ("zone", partial(_evacuate, run, fault)),
    }
    subject, act = actions[fault.kind]
    await act()
    until = time.monotonic()
    run.troubles.append(Trouble(fault.kind.value, subject, since, until))


async def _reload(run: Run, host: HostProcess) -> None:
    run.fleet.reload_host(host)


async def _kill_many(run: Run, fault: Fault) -> None:
    hosts = run.fleet.hosts
    first = fault.subject % len(hosts)
    taken = max(1, round(len(hosts) * MANY_SHARE))
    since = time.monotonic()
    killed = [hosts[number % len(hosts)] for number in range(first, first + taken)]
    async with trio.open_nursery() as nursery:
        for host in killed:
            nursery.start_soon(run.fleet.kill_host, host, fault.for_s)
    for host in killed:
        trouble = Trouble(fault.kind.value, host.name, since, time.monotonic())
        run.troubles.append(trouble)


async def _roll(run: Run) -> None:
    """Restart three hosts one after the other, each once the last is ready."""
    for host in run.fleet.hosts[:3]:
        await run.fleet.end_host(host, 0.0)
        await run.fleet.wait_ready(host)


async def _disturb(link: Proxy, fault: Fault) -> None:
    if fault.disturbance is None:
        return
    link.disturb(fault.disturbance, fault.delay_s)
    lasting = fault.for_s if fault.disturbance is not Disturbance.RESET else 0.0
    await trio.sleep(lasting)
    link.heal()


async def _fail_store(run: Run, fault: Fault) -> None:
    run.fleet.store.failing = 503
    await trio.sleep(fault.for_s)
    run.fleet.store.failing = 0


async def _compact(run: Run) -> None:
    run.fleet.store.compact()


async def _configure(run: Run) -> None:
    run.fleet.configure()


async def _evacuate(run: Run, fault: Fault) -> None:
    """Ask that a zone be left alone, and take that back."""
    store = run.fleet.store
    key = f"op/evacuate/{list(REGIONS)[fault.subject % len(REGIONS)]}"
    if key in store.items:
        return
    store.put(key, {})
    await trio.sleep(fault.for_s)
    store.remove(key)


async def _watch(run: Run) -> None:
    """Look after processes that end by themselves, and after their memory."""
    while not run.done:
        run.fleet.note_ends()
        for host in run.fleet.hosts:
            run.memory_bytes = max(run.memory_bytes, run.fleet.read_memory(host))
        await trio.sleep(WATCH_EVERY_S)


async def _probe(run: Run) -> None:
    """Ask hosts in turn whether they know the newest versions."""
    draw = random.Random(run.seed)
    while run.calling:
        await trio.sleep(PROBE_EVERY_S / len(run.fleet.hosts))
        host = draw.choice(run.fleet.hosts)
        newest = max(run.fleet.versions)
        await _probe_version(run, host, draw.randint(max(1, newest - 1), newest))


async def _probe_version(run: Run, host: HostProcess, version: int) -> None:
    work = Work(RequestKind.SAFE, 1)
    now = time.monotonic()
    start = host.starts
    outcome = Outcome(
        run.notebook.next_id(), work, host.name, now, f"v{version}", left=True
    )
    run.notebook.outcomes.append(outcome)
    with trio.move_on_after(PROBE_S):
        try:
            async with await trio.open_tcp_stream(*host.caller_link.address) as stream:
                await exchange(stream, outcome)
        except OSError:
            return
    outcome.ended_at = time.monotonic()
    if outcome.answer.status in (200, 404) and host.starts == start:
        known = outcome.answer.status == 200
        run.probes.append(Probe(now, host.name, start, version, known))


def _gather(run: Run, settled_at: float, directory: Path) -> Evidence:
    executions, running = read_records(directory)
    fleet = run.fleet
    # What was killed could not write the end of what it ran.
    alive = {target.id for target in fleet.targets}
    if run.memory_bytes > MOST_MEMORY_BYTES:
        fleet.ends.append(f"a gateway held {run.memory_bytes >> 20} MB")
    return Evidence(
        outcomes=run.notebook.outcomes,
        named=run.notebook.named,
        executions=executions,
        still_running=[name for name in running if name.split("/")[0] in alive],
        troubles=run.troubles,
        probes=run.probes,
        versions=fleet.versions,
        places=fleet.places,
        gone={host.named: host.gone for host in fleet.hosts},
        ends=fleet.ends,
        settled_at=settled_at,
    )
