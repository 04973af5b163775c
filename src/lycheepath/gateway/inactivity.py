"""
Reports attempts whose target or host has stopped sending data.

A silent target may be sound and go on, so nothing is ended here. A request that waits
behind others is not treated as silent: while the other side shows activity on other
connections, an attempt may exceed its limit by ``MAX_WAIT_FACTOR``.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Interval between two checks of all attempts, while there are any.
CHECK_INTERVAL_S = 0.1
# A single connection may stall although its other side is alive. Therefore an attempt
# counts as silent after its limit times this factor, whatever the activity elsewhere.
MAX_WAIT_FACTOR = 3.0
NO_LIMIT_S = float("inf")


@dataclass(slots=True)
class InactivityTimer:
    """
    An inactivity timer for one attempt; a stream reuses it for each event.

    ``report`` is called with the start of a silence that exceeds the limit, and with
    None once it is over.
    """

    started_at: float
    limit_s: float
    last_activity: Callable[[], float]
    report: Callable[[float | None], None]
    silent: bool = False

    def restart(self, limit_s: float) -> None:
        """Start waiting for the next data, which is due within ``limit_s``."""
        self.started_at = trio.current_time()
        self.limit_s = limit_s

    def suspend(self) -> float:
        """Stop the timer while received data is forwarded; return its limit."""
        limit_s, self.limit_s = self.limit_s, NO_LIMIT_S
        return limit_s

    def resume(self, limit_s: float) -> None:
        """Continue the wait that ``suspend`` interrupted, with its old start."""
        self.limit_s = limit_s

    def report_silence(self) -> None:
        """Report that the other side is silent, unless it has no limit."""
        if not self.silent and self.limit_s != NO_LIMIT_S:
            self.silent = True
            self.report(self.started_at)

    def end_silence(self) -> None:
        """Report that the other side goes on, if it was silent."""
        if self.silent:
            self.silent = False
            self.report(None)

    def check(self, now: float) -> None:
        """Report a silence that exceeds the limit, once."""
        waited_s = now - self.started_at
        silent_s = now - max(self.started_at, self.last_activity())
        if silent_s > self.limit_s or waited_s > MAX_WAIT_FACTOR * self.limit_s:
            self.report_silence()


class InactivityMonitor:
    """State: the timers of the attempts that wait for data."""

    def __init__(self) -> None:
        self._timers: dict[int, InactivityTimer] = {}
        self._timer_added = trio.Event()

    @contextmanager
    def watch(
        self,
        key: int,
        limit_s: float,
        last_activity: Callable[[], float],
        report: Callable[[float | None], None],
    ) -> Iterator[InactivityTimer]:
        """
        Report in the block when the other side stops sending data, and goes on.

        ``last_activity`` returns the time at which the other side last showed any
        activity, on this or another connection. ``report`` is called as by
        ``InactivityTimer``. A silence ends with the block, unless that raises.
        """
        timer = InactivityTimer(trio.current_time(), limit_s, last_activity, report)
        self._timers[key] = timer
        self._timer_added.set()
        try:
            yield timer
            timer.end_silence()
        finally:
            self._timers.pop(key, None)

    async def run(self) -> None:
        """Check all attempts periodically until cancelled."""
        discounted = False
        while True:
            await self._timer_added.wait()
            due_at = trio.current_time() + CHECK_INTERVAL_S
            await trio.sleep_until(due_at)
            now = trio.current_time()
            late_s = now - due_at
            if late_s > CHECK_INTERVAL_S:
                self.discount(late_s)
            # What arrived while the process was held up is read before the next check.
            discounted = late_s > CHECK_INTERVAL_S and not discounted
            if not discounted:
                self.check(now)
            if not self._timers:
                self._timer_added = trio.Event()

    def discount(self, held_up_s: float) -> None:
        """Exclude a time in which this process read nothing."""
        for timer in self._timers.values():
            timer.started_at += held_up_s

    def check(self, now: float) -> None:
        """Report the attempts whose other side has been inactive for too long."""
        for timer in list(self._timers.values()):
            timer.check(now)
