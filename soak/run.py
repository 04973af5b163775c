"""Runs one seed: starts the fleet, applies the planned faults, and checks."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from functools import partial
from itertools import cycle
from typing import TYPE_CHECKING

import trio

from standins.processes import ROOT
from standins.site import REGIONS

from .added_faults import (
    KEPT_IDLE_S,
    cut_hosts,
    hold_up_hosts,
    make_brittle,
    make_keepers,
    silence_targets,
    write_odd_entries,
)
from .answers import RequestKind, Work
from .brittle import FALL_RESTART_S, read_falls, read_times
from .callers import Caller, CallerLog, Outcome, exchange
from .checks import check_all
from .configuration import SERVICES
from .cuts import draw_cuts
from .evidence import AppliedFault, Evidence, Probe, Violation, read_records
from .fatal import FATAL_PART, SHARED_PART
from .fleet import ENTRY_EXPIRY_S, RESTART_S, Fleet
from .plan import (
    ALL_KILLED,
    ALL_KILLED_S,
    Disturbance,
    Fault,
    FaultKind,
    Sizes,
    draw_plan,
)
from .restores import restore_store
from .team_checks import find_shown_keys
from .teams import (
    TeamBook,
    change_keys,
    identify_callers,
    identify_probe,
    send_for_teams,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from .cuts import AppliedCut
    from .fleet import HostProcess
    from .proxy import Proxy
    from .teams import TeamRecords

# Time before the first fault, in which hosts discover each other and callers
# connect.
WARM_UP_S = 2.0
# Time after the end of the last fault by which everything must have recovered.
RECOVERY_S = 12.0
# Period after the recovery in which all requests must be served.
CALM_S = 3.0
# Time after the last caller has disconnected by which targets must have stopped
# their work.
LEAK_GRACE_S = 1.5
# Mean interval between two probes of one host, and the time-out of a probe.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# Interval between checks of processes and their memory.
WATCH_INTERVAL_S = 0.1
# Share of requests that targets answer with a fault until the recovery begins.
FAULTY_SHARE = 0.02
# The same share in runs with several versions, where streams have to break.
CUT_SHARE = 0.4
CALLERS_PER_HOST = 2
# The same number while tries at hosts that are cut off are counted; targets haven't
# enough slots for all of them after the recovery.
CALLERS_PER_CUT_HOST = 4
# Share of hosts that a KILL_MANY kills.
KILL_MANY_SHARE = 0.5
# Memory of the smallest machine of the first deployments.
MAX_MEMORY_BYTES = 300_000_000


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a run; ``teams`` is None without teams."""

    seed: int
    faults: int
    violations: list[Violation]
    outcomes: list[Outcome]
    memory_bytes: int
    teams: TeamRecords | None = None


@dataclass(slots=True)
class Run:
    """State of a run in progress."""

    fleet: Fleet
    seed: int
    caller_log: CallerLog = field(default_factory=CallerLog)
    applied_faults: list[AppliedFault] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    cuts: list[AppliedCut] = field(default_factory=list)
    memory_bytes: int = 0
    with_prompts: bool = False
    takes_up: bool = False
    done: bool = False
    callers_active: bool = True


async def run_seed(sizes: Sizes, seed: int, directory: Path) -> Result:
    """Run a seed's plan against a new fleet; its files go to ``directory``."""
    plan = draw_plan(sizes, seed)
    async with trio.open_nursery() as nursery:
        run = Run(Fleet(nursery, directory, seed), seed)
        try:
            settled_at = await _run_plan(run, plan, sizes)
        finally:
            with trio.CancelScope(shield=True):
                await run.fleet.close()
        nursery.cancel_scope.cancel()
    evidence = _collect_evidence(run, settled_at, directory)
    return Result(
        seed,
        len(plan),
        check_all(evidence),
        run.caller_log.outcomes,
        run.memory_bytes,
        evidence.teams,
    )


async def _run_plan(run: Run, plan: tuple[Fault, ...], sizes: Sizes) -> float:
    """Run a plan; return the time by which everything must have recovered."""
    fleet = run.fleet
    fleet.faulty_share = FAULTY_SHARE
    fleet.limited_share = sizes.limited_share
    fleet.idle_s = KEPT_IDLE_S if sizes.kept else 0.0
    fleet.brittle_share = sizes.brittle_share
    fleet.older_checkout = sizes.older_checkout
    run.with_prompts = sizes.fatal_per_s > 0.0
    if sizes.versions > 1:
        run.takes_up = True
        fleet.software_versions = sizes.versions
        fleet.faulty_share = CUT_SHARE
    cuts = draw_cuts(
        sizes.hosts, sizes.targets, sizes.seconds, sizes.stranded_share, run.seed
    )
    fleet.cuts_hosts = bool(cuts)
    if sizes.teams:
        fleet.teams = TeamBook(sizes.teams, run.seed)
    await _start(fleet, sizes)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch, run)
        nursery.start_soon(_probe, run)
        async with trio.open_nursery() as callers:
            lasting = CALLERS_PER_HOST * len(fleet.hosts)
            for number, caller in enumerate(_make_callers(run)):
                callers.start_soon(
                    caller.run, partial(_is_active, run, number < lasting)
                )
            await trio.sleep(WARM_UP_S)
            if run.with_prompts:
                callers.start_soon(_send_fatal, run, sizes.fatal_per_s)
            _start_added(run, sizes, callers)
            async with trio.open_nursery() as faults:
                started = trio.current_time()
                if run.takes_up:
                    faults.start_soon(_kill_all, run, sizes.seconds)
                faults.start_soon(cut_hosts, run, cuts)
                if fleet.teams is not None:
                    faults.start_soon(change_keys, run, fleet.teams, sizes.seconds)
                if fleet.brittle_targets:
                    faults.start_soon(make_brittle, run, sizes)
                for fault in plan:
                    await trio.sleep_until(started + fault.at_s)
                    faults.start_soon(_apply_fault, run, fault)
            fleet.faults_off_file.touch()
            settled_at = time.monotonic() + RECOVERY_S
            await trio.sleep(RECOVERY_S + CALM_S)
            run.callers_active = False
        await trio.sleep(LEAK_GRACE_S)
        run.done = True
    return settled_at


async def _start(fleet: Fleet, sizes: Sizes) -> None:
    fleet.store.era = int(sizes.restores)
    await fleet.open_store()
    zones = cycle(REGIONS)
    # Each zone gets one target of every service before it gets a second of any.
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
            fleet.process_failures.append(f"{host.name} did not become ready")


def _start_added(run: Run, sizes: Sizes, nursery: trio.Nursery) -> None:
    """Start what the options add until the faults are off."""
    if sizes.kept:
        for caller in make_keepers(run):
            nursery.start_soon(caller.run, partial(_is_active, run, lasting=True))
        nursery.start_soon(hold_up_hosts, run)
    if sizes.odd_entries:
        nursery.start_soon(write_odd_entries, run)
    if sizes.restores:
        nursery.start_soon(restore_store, run)
    if sizes.silent:
        nursery.start_soon(silence_targets, run)
    if run.fleet.teams is not None:
        nursery.start_soon(send_for_teams, run, run.fleet.teams, sizes.seconds)


def _is_active(run: Run, lasting: bool) -> bool:
    """Whether a caller goes on: some only until the faults are off."""
    if lasting:
        return run.callers_active
    return not run.fleet.faults_off_file.exists()


def _make_callers(run: Run) -> list[Caller]:
    endpoints = [host.endpoints for host in run.fleet.hosts]
    per_host = CALLERS_PER_CUT_HOST if run.fleet.cuts_hosts else CALLERS_PER_HOST
    callers = [
        Caller(
            run.caller_log,
            endpoints,
            home,
            random.Random(f"{run.seed}/{number}"),
            run.with_prompts,
            run.takes_up,
        )
        for number, home in enumerate(endpoints * per_host)
    ]
    identify_callers(run, callers)
    return callers


async def _apply_fault(run: Run, fault: Fault) -> None:
    """Apply a fault and wait until it has ended."""
    fleet = run.fleet
    host = fleet.hosts[fault.subject % len(fleet.hosts)]
    target = fleet.targets[fault.subject % len(fleet.targets)]
    since = time.monotonic()
    actions: dict[FaultKind, tuple[str, Callable[[], Awaitable[None]]]] = {
        FaultKind.KILL_HOST: (
            host.name,
            partial(fleet.kill_host, host, fault.duration_s),
        ),
        FaultKind.STOP_HOST: (
            host.name,
            partial(fleet.pause, host.process, fault.duration_s),
        ),
        FaultKind.END_HOST: (
            host.name,
            partial(fleet.end_host, host, fault.duration_s),
        ),
        FaultKind.RELOAD_HOST: (host.name, partial(_reload, run, host)),
        FaultKind.KILL_MANY: ("many", partial(_kill_many, run, fault)),
        FaultKind.ROLL: ("many", partial(_roll, run)),
        FaultKind.KILL_TARGET: (
            target.name,
            partial(fleet.restart_target, target, fault.duration_s),
        ),
        FaultKind.STOP_TARGET: (
            target.name,
            partial(fleet.pause, target.process, fault.duration_s),
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
    run.applied_faults.append(AppliedFault(fault.kind.value, subject, since, until))


async def _reload(run: Run, host: HostProcess) -> None:
    run.fleet.reload_host(host)


async def _kill_many(run: Run, fault: Fault) -> None:
    hosts = run.fleet.hosts
    first = fault.subject % len(hosts)
    taken = max(1, round(len(hosts) * KILL_MANY_SHARE))
    since = time.monotonic()
    killed = [hosts[number % len(hosts)] for number in range(first, first + taken)]
    async with trio.open_nursery() as nursery:
        for host in killed:
            nursery.start_soon(run.fleet.kill_host, host, fault.duration_s)
    for host in killed:
        applied = AppliedFault(fault.kind.value, host.name, since, time.monotonic())
        run.applied_faults.append(applied)


async def _kill_all(run: Run, seconds: float) -> None:
    """Kill all hosts at once, a few times in a run."""
    draw = random.Random(f"all/{run.seed}")
    started = trio.current_time()
    for at_s in sorted(draw.uniform(0.0, seconds) for _ in range(ALL_KILLED)):
        await trio.sleep_until(started + at_s)
        since = time.monotonic()
        after_s = draw.uniform(*ALL_KILLED_S)
        async with trio.open_nursery() as nursery:
            for host in run.fleet.hosts:
                nursery.start_soon(run.fleet.kill_host, host, after_s)
        for host in run.fleet.hosts:
            fault = AppliedFault("kill-all", host.name, since, time.monotonic())
            run.applied_faults.append(fault)


async def _roll(run: Run) -> None:
    """Restart three hosts in sequence, each once the previous one is ready."""
    for host in run.fleet.hosts[:3]:
        await run.fleet.end_host(host, 0.0)
        await run.fleet.wait_ready(host)


async def _disturb(link: Proxy, fault: Fault) -> None:
    if fault.disturbance is None:
        return
    link.disturb(fault.disturbance, fault.delay_s)
    duration_s = fault.duration_s if fault.disturbance is not Disturbance.RESET else 0.0
    await trio.sleep(duration_s)
    link.heal()


async def _fail_store(run: Run, fault: Fault) -> None:
    run.fleet.store.failing = 503
    await trio.sleep(fault.duration_s)
    run.fleet.store.failing = 0


async def _compact(run: Run) -> None:
    run.fleet.store.compact()


async def _configure(run: Run) -> None:
    run.fleet.configure()


async def _evacuate(run: Run, fault: Fault) -> None:
    """Request the evacuation of a zone, and cancel it after the duration."""
    store = run.fleet.store
    key = f"op/evacuate/{list(REGIONS)[fault.subject % len(REGIONS)]}"
    if key in store.items:
        return
    store.put(key, {})
    await trio.sleep(fault.duration_s)
    store.remove(key)


async def _watch(run: Run) -> None:
    """Record unexpected exits and the peak memory of the gateways."""
    while not run.done:
        run.fleet.record_unexpected_exits()
        for host in run.fleet.hosts:
            run.memory_bytes = max(run.memory_bytes, run.fleet.read_memory(host))
        await trio.sleep(WATCH_INTERVAL_S)


async def _probe(run: Run) -> None:
    """Probe random hosts for the routes of the two newest versions."""
    draw = random.Random(run.seed)
    while run.callers_active:
        await trio.sleep(PROBE_INTERVAL_S / len(run.fleet.hosts))
        host = draw.choice(run.fleet.hosts)
        newest = max(run.fleet.versions)
        await _probe_version(run, host, draw.randint(max(1, newest - 1), newest))


async def _probe_version(run: Run, host: HostProcess, version: int) -> None:
    work = Work(RequestKind.SAFE, 1)
    now = time.monotonic()
    start = host.starts
    outcome = Outcome(
        run.caller_log.next_id(), work, host.name, now, f"v{version}", disconnected=True
    )
    if not await _send_once(run, host, outcome):
        return
    if outcome.answer.status in (200, 404) and host.starts == start:
        known = outcome.answer.status == 200
        run.probes.append(Probe(now, host.name, start, version, known))


async def _send_fatal(run: Run, per_s: float) -> None:
    """Send requests with a fatal part to random hosts until the faults are off."""
    draw = random.Random(f"fatal/{run.seed}")
    async with trio.open_nursery() as nursery:
        while not run.fleet.faults_off_file.exists():
            await trio.sleep(draw.expovariate(per_s))
            nursery.start_soon(_ask_fatal, run, draw.choice(run.fleet.hosts))


async def _ask_fatal(run: Run, host: HostProcess) -> None:
    outcome = Outcome(
        run.caller_log.next_id(),
        Work(RequestKind.RESUMED, 3),
        host.name,
        time.monotonic(),
        disconnected=True,
        parts=(SHARED_PART, FATAL_PART),
    )
    await _send_once(run, host, outcome)


async def _send_once(run: Run, host: HostProcess, outcome: Outcome) -> bool:
    """Send one request on a new connection; return False if there was none."""
    identify_probe(run, outcome)
    run.caller_log.outcomes.append(outcome)
    with trio.move_on_after(PROBE_TIMEOUT_S):
        try:
            async with await trio.open_tcp_stream(*host.caller_link.address) as stream:
                await exchange(stream, outcome)
        except OSError:
            return False
    outcome.ended_at = time.monotonic()
    return True


def _collect_evidence(run: Run, settled_at: float, directory: Path) -> Evidence:
    executions, running, limits = read_records(directory)
    fleet = run.fleet
    # A target that was killed could not record the end of its requests.
    alive = {target.id for target in fleet.targets}
    if run.memory_bytes > MAX_MEMORY_BYTES:
        fleet.process_failures.append(f"a gateway held {run.memory_bytes >> 20} MB")
    for name, at in fleet.fatal_ends:
        # The end is noticed a moment later than it is, and lasts until the restart.
        until = at + ENTRY_EXPIRY_S + RESTART_S
        fault = AppliedFault("fatal-end", name, at - WATCH_INTERVAL_S * 2, until)
        run.applied_faults.append(fault)
    for name, at in fleet.falls:
        fault = AppliedFault(
            "fall", name, at - WATCH_INTERVAL_S * 2, at + FALL_RESTART_S
        )
        run.applied_faults.append(fault)
    return Evidence(
        outcomes=run.caller_log.outcomes,
        directory_answers=run.caller_log.directory_answers,
        executions=executions,
        limits=limits,
        still_running=[name for name in running if name.split("/")[0] in alive],
        applied_faults=run.applied_faults,
        probes=run.probes,
        versions=fleet.versions,
        locations=fleet.locations,
        downtimes={host.public_address: host.downtimes for host in fleet.hosts},
        process_failures=fleet.process_failures,
        older_hosts=frozenset(h.name for h in fleet.hosts if h.checkout != ROOT),
        cuts=run.cuts,
        brittle_times=read_times(fleet.brittle_file),
        brittle_targets=len(fleet.brittle_targets),
        falls=read_falls(directory),
        teams=fleet.teams.make_records(find_shown_keys(fleet.teams, directory))
        if fleet.teams is not None
        else None,
        settled_at=settled_at,
    )
