"""
The timer service on trio.

One task sleeps until the next timer, and no longer than ``BEAT_S``, so that a
blocked loop or a stopped process is seen by how late it wakes. Time spent in
a suspended machine counts as well where the system tells it.
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

BEAT_S = 0.25
BLOCKED_S = 0.1
PAUSE_S = 1.0


@dataclass(slots=True)
class Timer:
    """One subscription."""

    name: str
    action: Callable[[float], None]
    interval_s: float | None
    jitter: float
    cancelled: bool = False

    def cancel(self) -> None:
        """Never fire again."""
        self.cancelled = True


class TrioTimers:
    """
    Named timers; start ``run`` in the host's nursery.

    ``counters`` holds ``blocked`` (wake-ups over ``BLOCKED_S`` late),
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
        self._beat: float | None = None
        self._slept_before = self._suspended()
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
        """Call ``action`` every ``interval_s``, give or take ``jitter`` of it."""
        timer = Timer(name, action, interval_s, jitter)
        self._schedule(timer, interval_s)
        return timer

    def once(self, name: str, delay_s: float, action: Callable[[float], None]) -> Timer:
        """Call ``action`` once, ``delay_s`` from now."""
        timer = Timer(name, action, None, 0.0)
        self._schedule(timer, delay_s)
        return timer

    def on_pause(self, listener: Callable[[Pause], None]) -> None:
        """Call ``listener`` whenever the process turns out to have paused."""
        self._listeners.append(listener)

    def check_pause(self) -> None:
        """Tell the listeners now if the process has paused."""
        now = self._clock()
        late = 0.0 if self._beat is None else now - self._beat - BEAT_S
        self._beat = now
        self._note_lateness(max(late, self._take_suspended()), now)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Fire timers until cancelled."""
        self._beat = self._clock()
        task_status.started()
        while True:
            self._added = trio.Event()
            wanted = self._clock() + BEAT_S
            if self._queue:
                wanted = min(wanted, self._queue[0][0])
            await self._sleep_until(wanted)
            self._wake(wanted)

    async def _sleep_until(self, wanted: float) -> None:
        with trio.move_on_after(max(0.0, wanted - self._clock())):
            await self._added.wait()

    def _wake(self, wanted: float) -> None:
        now = self._clock()
        beat = self._beat
        self._beat = now
        reported = beat is not None and beat > wanted
        late = 0.0 if reported else now - wanted
        self._note_lateness(max(late, self._take_suspended()), now)
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

    def _note_lateness(self, late_s: float, now: float) -> None:
        if late_s < BLOCKED_S:
            return
        self.counters["blocked"] += 1
        self.counters["blocked_ms"] += int(late_s * 1000)
        self.latest_s = max(self.latest_s, late_s)
        if late_s < PAUSE_S:
            return
        self.counters["pauses"] += 1
        for listener in self._listeners:
            listener(Pause(late_s, now))

    def _take_suspended(self) -> float:
        total = self._suspended()
        slept = total - self._slept_before
        self._slept_before = total
        return slept


def read_suspended_s() -> float:
    """Return how long the machine has been suspended since it started."""
    if not hasattr(time, "CLOCK_BOOTTIME"):
        return 0.0
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
