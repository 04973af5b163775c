from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

import trio

from lycheepath.adapters.timers import TrioTimers

if TYPE_CHECKING:
    from lycheepath.ports.timers import Pause


async def test_timers_fire_by_name_until_cancelled() -> None:
    timers = TrioTimers(Random(1))
    fired: list[str] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(timers.run)
        done = trio.Event()
        tick = timers.every("tick", 0.01, lambda now: fired.append("tick"))
        timers.once("end", 0.1, lambda now: done.set())
        await done.wait()
        tick.cancel()
        count = len(fired)
        await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    assert count > 1
    assert len(fired) == count
    assert timers.counters["fired_end"] == 1


async def test_timers_report_a_pause_before_they_fire() -> None:
    timers = TrioTimers(Random(1))
    seen: list[object] = []
    timers.on_pause(seen.append)
    async with trio.open_nursery() as nursery:
        await nursery.start(timers.run)
        done = trio.Event()
        timers.once("due", 0.05, lambda now: seen.append("fired"))
        timers.once("end", 0.05, lambda now: done.set())
        time.sleep(1.6)
        await done.wait()
        nursery.cancel_scope.cancel()
    pause, fired = seen
    assert getattr(pause, "seconds", 0) >= 1.0
    assert fired == "fired"
    assert timers.counters["pauses"] == 1
    assert timers.counters["blocked_ms"] >= 1000


async def test_pause_is_reported_once_if_a_task_wakes_before_the_timers() -> None:
    timers = TrioTimers(Random(1))
    pauses: list[Pause] = []
    timers.on_pause(pauses.append)
    async with trio.open_nursery() as nursery:
        await nursery.start(timers.run)
        time.sleep(1.6)
        timers.check_pause()
        assert len(pauses) == 1
        await trio.sleep(0.4)
        nursery.cancel_scope.cancel()
    assert len(pauses) == 1


def test_timers_count_the_suspension_of_the_machine_as_a_pause() -> None:
    suspended = [5.0]
    timers = TrioTimers(Random(1), clock=lambda: 10.0, suspended=lambda: suspended[0])
    pauses: list[Pause] = []
    timers.on_pause(pauses.append)
    timers.check_pause()
    suspended[0] = 65.0
    timers.check_pause()
    assert [pause.seconds for pause in pauses] == [60.0]
