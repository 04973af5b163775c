from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import trio

from lycheepath.gateway.inactivity import (
    MAX_WAIT_FACTOR,
    InactivityMonitor,
)

if TYPE_CHECKING:
    from trio.testing import MockClock


async def is_reported(activity: list[float], limit_s: float, duration_s: float) -> bool:
    """Return whether an attempt that takes ``duration_s`` is reported as silent."""
    monitor = InactivityMonitor()
    reported: list[float | None] = []
    started = trio.current_time()

    def last_activity() -> float:
        now = trio.current_time() - started
        return started + max((at for at in activity if at <= now), default=-100.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        with monitor.watch(1, limit_s, last_activity, reported.append):
            await trio.sleep(duration_s)
        nursery.cancel_scope.cancel()
    # A silence is reported once, with its start, and so is its end.
    assert reported in ([], [started, None])
    return bool(reported)


async def test_monitor_reports_an_attempt_at_an_inactive_target(
    autojump_clock: MockClock,
) -> None:
    assert await is_reported([], 0.5, 10.0)


async def test_monitor_waits_for_a_target_that_shows_activity(
    autojump_clock: MockClock,
) -> None:
    assert not await is_reported([0.4, 0.8, 1.2], 0.5, 1.3)


async def test_monitor_bounds_the_wait_for_one_connection(
    autojump_clock: MockClock,
) -> None:
    activity = [number * 0.1 for number in range(100)]
    assert await is_reported(activity, 0.5, 0.5 * MAX_WAIT_FACTOR + 1.0)


async def test_monitor_never_reports_an_attempt_without_a_limit(
    autojump_clock: MockClock,
) -> None:
    assert not await is_reported([], float("inf"), 60.0)


async def test_monitor_reports_nothing_that_arrived_while_the_process_was_held_up() -> (
    None
):
    monitor = InactivityMonitor()
    left, right = trio.socket.socketpair()
    limit_s = 0.3
    received = []
    reported: list[float | None] = []
    with left, right:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            with monitor.watch(
                1, limit_s, lambda: float("-inf"), reported.append
            ) as timer:
                for _ in range(3):
                    await trio.sleep(0.05)
                    os.write(left.fileno(), b"event")
                    time.sleep(limit_s + 0.2)
                    await trio.lowlevel.wait_readable(right)
                    received.append(await right.recv(5))
                    await trio.sleep(0.0)
                    timer.restart(limit_s)
            nursery.cancel_scope.cancel()
    assert received == [b"event"] * 3
    assert not reported


async def test_silence_that_another_host_reports_counts_once_and_only_with_a_limit() -> (
    None
):
    monitor = InactivityMonitor()
    reported: list[float | None] = []
    for limit_s in (0.5, float("inf")):
        with monitor.watch(1, limit_s, lambda: float("-inf"), reported.append) as timer:
            timer.report_silence()
            timer.report_silence()
            started = timer.started_at
        if limit_s == 0.5:
            assert reported == [started, None]
            reported.clear()
    assert not reported
