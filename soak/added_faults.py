"""Faults of a run's options, which go on beside the faults of its plan."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING

import trio

from .brittle import (
    BRITTLE_KINDS,
    CALLER_PAUSE_S,
    CALLERS_PER_SLOT,
    draw_times,
    write_times,
)
from .callers import Caller
from .configuration import SERVICES
from .cuts import AppliedCut
from .evidence import HOLD_UP, AppliedFault
from .fleet import TARGET_SLOTS
from .odd_entries import (
    INTERVAL_S,
    REMOVED_AFTER_S,
    REMOVED_SHARE,
    draw_odd_entry,
)
from .teams import identify_callers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .brittle import BrittleTime
    from .cuts import Cut
    from .fleet import HostProcess
    from .plan import Sizes
    from .run import Run


# Time for which a sound target is silent, and mean time until the next one is.
SILENT_S = 1.3
SILENT_INTERVAL_S = 1.0
# Time for which a host is held up, and mean time until the next one is.
HOLD_UP_S = (0.3, 0.6)
HOLD_UP_INTERVAL_S = 2.0
# Callers that keep their connections, for each host, and the idle limit of hosts then.
KEPT_PER_HOST = 4
KEPT_IDLE_S = 2.0


async def cut_hosts(run: Run, cuts: Sequence[Cut]) -> None:
    """Cut hosts off from targets, one cut after the other."""
    fleet = run.fleet
    started = trio.current_time()
    for cut in cuts:
        await trio.sleep_until(started + cut.at_s)
        hosts = [fleet.hosts[number].name for number in cut.hosts]
        links = [fleet.targets[number].link for number in cut.targets]
        since = time.monotonic()
        for link in links:
            for host in hosts:
                link.cut(host, cut.kind)
        await trio.sleep(cut.duration_s)
        for link in links:
            for host in hosts:
                link.rejoin(host)
        whole = len(links) == len(fleet.targets)
        applied = AppliedCut(frozenset(hosts), since, time.monotonic(), whole)
        run.cuts.append(applied)


async def make_brittle(run: Run, sizes: Sizes) -> None:
    """Let targets be brittle at times, with more requests than they have slots for."""
    times = draw_times(sizes.seconds, sizes.brittle_share, run.seed)
    started = time.monotonic()
    write_times(run.fleet.brittle_file, times, started)
    slots = TARGET_SLOTS * len(run.fleet.brittle_targets)
    callers = round(CALLERS_PER_SLOT * slots)
    for number, brittle in enumerate(times):
        await trio.sleep(started + brittle.since - time.monotonic())
        async with trio.open_nursery() as nursery:
            for caller in _make_extra_callers(run, number, callers):
                nursery.start_soon(caller.run, partial(_is_before, started, brittle))


async def silence_targets(run: Run) -> None:
    """Pause a target now and then, which is no fault, until the faults are off."""
    draw = random.Random(f"silent/{run.seed}")
    async with trio.open_nursery() as nursery:
        while not run.fleet.faults_off_file.exists():
            await trio.sleep(draw.expovariate(1.0 / SILENT_INTERVAL_S))
            target = draw.choice(run.fleet.targets)
            nursery.start_soon(run.fleet.pause, target.process, SILENT_S)


async def hold_up_hosts(run: Run) -> None:
    """Pause a host for a moment now and then, until the faults are off."""
    draw = random.Random(f"hold-up/{run.seed}")
    async with trio.open_nursery() as nursery:
        while not run.fleet.faults_off_file.exists():
            await trio.sleep(draw.expovariate(1.0 / HOLD_UP_INTERVAL_S))
            host = draw.choice(run.fleet.hosts)
            duration_s = draw.uniform(*HOLD_UP_S)
            nursery.start_soon(_hold_up, run, host, duration_s)


async def _hold_up(run: Run, host: HostProcess, duration_s: float) -> None:
    since = time.monotonic()
    await run.fleet.pause(host.process, duration_s, excuses=False)
    fault = AppliedFault(HOLD_UP, host.name, since, time.monotonic())
    run.applied_faults.append(fault)


def make_keepers(run: Run) -> list[Caller]:
    """Return the callers that keep their connections."""
    endpoints = [host.endpoints for host in run.fleet.hosts]
    keepers = [
        Caller(
            run.caller_log,
            endpoints,
            home,
            random.Random(f"kept/{run.seed}/{number}"),
            run.with_prompts,
            idle_s=KEPT_IDLE_S,
        )
        for number, home in enumerate(endpoints * KEPT_PER_HOST)
    ]
    identify_callers(run, keepers)
    return keepers


async def write_odd_entries(run: Run) -> None:
    """Leave odd entries among those of the targets until the faults are off."""
    draw = random.Random(f"odd/{run.seed}")
    number = 0
    async with trio.open_nursery() as nursery:
        while not run.fleet.faults_off_file.exists():
            await trio.sleep(draw.uniform(*INTERVAL_S))
            number += 1
            key, data = draw_odd_entry(draw, number, SERVICES)
            run.fleet.store.put(key, data)
            if draw.random() < REMOVED_SHARE:
                after_s = draw.uniform(*REMOVED_AFTER_S)
                nursery.start_soon(_remove_entry, run, key, after_s)


async def _remove_entry(run: Run, key: str, after_s: float) -> None:
    await trio.sleep(after_s)
    run.fleet.store.remove(key)


def _make_extra_callers(run: Run, number: int, callers: int) -> list[Caller]:
    endpoints = [host.endpoints for host in run.fleet.hosts]
    extra = [
        Caller(
            run.caller_log,
            endpoints,
            endpoints[each % len(endpoints)],
            random.Random(f"brittle/{run.seed}/{number}/{each}"),
            run.with_prompts,
            kinds=BRITTLE_KINDS,
            max_pause_s=CALLER_PAUSE_S,
        )
        for each in range(callers)
    ]
    identify_callers(run, extra)
    return extra


def _is_before(started: float, brittle: BrittleTime) -> bool:
    return time.monotonic() < started + brittle.until
