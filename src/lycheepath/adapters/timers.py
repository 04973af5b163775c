"""
The timer service on trio.

One task sleeps until the next timer is due, at most ``MAX_SLEEP_S``, and detects a
blocked event loop or a paused process by how late it wakes up. Time for which the
machine was suspended is included where the operating system reports it.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

import trio

from ..ports.timers import Pause

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

# Longest sleep between two wake-ups, and so the resolution of pause detection.
MAX_SLEEP_S = 0.25
# Delay of a wake-up from which the event loop counts as blocked.
BLOCKED_THRESHOLD_S = 0.1
# Delay of a wake-up from which the process counts as paused.
PAUSE_THRESHOLD_S = 1.0


@dataclass(slots=True)
class Timer:
    """One subscription."""

    name: str
    action: Callable[[float], None]
    interval_s: float | None
    jitter: float
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the timer; it never fires again."""
        self.cancelled = True


class TrioTimers:
    """
    Named timers; start ``run`` in the host's nursery.

    ``counters`` holds ``blocked`` (wake-ups late by ``BLOCKED_THRESHOLD_S`` or more),
    ``blocked_ms`` (their sum), ``pauses``, and ``fired_NAME`` for each name.
    """

    def __init__(
        self,
        random: Random,
        clock: Callable[[], float] = trio.current_time,
        suspended: Callable[[], float] | None = None,
    ) -> None:
        self._random = random
        self._clock = clock
        self._suspended = suspended or read_suspended_s
        self._queue: list[tuple[float, int, Timer]] = []
        self._order = count()
        self._listeners: list[Callable[[Pause], None]] = []
        self._added = trio.Event()
        self._last_wake_at: float | None = None
        self._suspended_before_s = self._suspended()
        self.counters: Counter[str] = Counter()
        self.latest_s = 0.0

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock()

    def every(
        self,
        name: str,
        interval_s: float,
        action: Callable[[float], None],
        jitter: float = 0.1,
    ) -> Timer:
        """Call ``action`` every ``interval_s``, varied by up to ``jitter`` of it."""
        timer = Timer(name, action, interval_s, jitter)
        self._schedule(timer, interval_s)
        return timer

    def once(self, name: str, delay_s: float, action: Callable[[float], None]) -> Timer:
        """Call ``action`` once, ``delay_s`` from now."""
        timer = Timer(name, action, None, 0.0)
        self._schedule(timer, delay_s)
        return timer

    def on_pause(self, listener: Callable[[Pause], None]) -> None:
        """Call ``listener`` whenever a pause of the process is detected."""
        self._listeners.append(listener)

    def check_pause(self) -> None:
        """Check for a pause of the process now, and notify the listeners of it."""
        now = self._clock()
        late_s = (
            0.0
            if self._last_wake_at is None
            else now - self._last_wake_at - MAX_SLEEP_S
        )
        self._last_wake_at = now
        self._record_lateness(max(late_s, self._measure_suspension_s()), now)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Fire timers until cancelled."""
        self._last_wake_at = self._clock()
        task_status.started()
        while True:
            self._added = trio.Event()
            wake_at = self._clock() + MAX_SLEEP_S
            if self._queue:
                wake_at = min(wake_at, self._queue[0][0])
            await self._sleep_until(wake_at)
            self._wake(wake_at)

    async def _sleep_until(self, wake_at: float) -> None:
        with trio.move_on_after(max(0.0, wake_at - self._clock())):
            await self._added.wait()

    def _wake(self, wake_at: float) -> None:
        now = self._clock()
        last_wake_at = self._last_wake_at
        self._last_wake_at = now
        reported = last_wake_at is not None and last_wake_at > wake_at
        late_s = 0.0 if reported else now - wake_at
        self._record_lateness(max(late_s, self._measure_suspension_s()), now)
        self._fire(now)

    def _fire(self, now: float) -> None:
        while self._queue and self._queue[0][0] <= now:
            _, _, timer = heappop(self._queue)
            if timer.cancelled:
                continue
            self.counters[f"fired_{timer.name}"] += 1
            timer.action(now)
            if timer.interval_s is not None:
                self._schedule(timer, timer.interval_s)

    def _schedule(self, timer: Timer, delay_s: float) -> None:
        spread = timer.jitter * (2 * self._random.random() - 1)
        at = self._clock() + delay_s * (1 + spread)
        heappush(self._queue, (at, next(self._order), timer))
        self._added.set()

    def _record_lateness(self, late_s: float, now: float) -> None:
        if late_s < BLOCKED_THRESHOLD_S:
            return
        self.counters["blocked"] += 1
        self.counters["blocked_ms"] += int(late_s * 1000)
        self.latest_s = max(self.latest_s, late_s)
        if late_s < PAUSE_THRESHOLD_S:
            return
        self.counters["pauses"] += 1
        for listener in self._listeners:
            listener(Pause(late_s, now))

    def _measure_suspension_s(self) -> float:
        total_s = self._suspended()
        suspended_s = total_s - self._suspended_before_s
        self._suspended_before_s = total_s
        return suspended_s


def read_suspended_s() -> float:
    """Return how long the machine has been suspended since it started."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return 0.0
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
