"""
Cancels attempts whose target or host has stopped sending data.

A request that waits behind others is not treated as stalled: while the other side
shows activity on other connections, an attempt may exceed its limit by
``MAX_WAIT_FACTOR``.
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
# is cancelled after its limit times this factor, whatever the activity elsewhere.
MAX_WAIT_FACTOR = 3.0
NO_LIMIT_S = float("inf")


class SilentTargetError(Exception):
    """The other side sent nothing for longer than the request's limit."""


@dataclass(slots=True)
class InactivityTimer:
    """An inactivity timer for one attempt; a stream reuses it for each event."""

    scope: trio.CancelScope
    started_at: float
    limit_s: float
    last_activity: Callable[[], float]

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


class InactivityMonitor:
    """State: the timers of the attempts that wait for data."""

    def __init__(self) -> None:
        self._timers: dict[int, InactivityTimer] = {}
        self._timer_added = trio.Event()

    @contextmanager
    def watch(
        self, key: int, limit_s: float, last_activity: Callable[[], float]
    ) -> Iterator[InactivityTimer]:
        """
        Raise SilentTargetError in the block if the other side stops sending data.

        ``last_activity`` returns the time at which the other side last showed any
        activity, on this or another connection.
        """
        with trio.CancelScope() as scope:
            timer = InactivityTimer(scope, trio.current_time(), limit_s, last_activity)
            self._timers[key] = timer
            self._timer_added.set()
            try:
                yield timer
            finally:
                self._timers.pop(key, None)
        if scope.cancelled_caught:
            raise SilentTargetError(f"no sign for {timer.limit_s:.3f} s")

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
        """Cancel the attempts whose other side has been inactive for too long."""
        for timer in self._timers.values():
            waited_s = now - timer.started_at
            silent_s = now - max(timer.started_at, timer.last_activity())
            max_wait_s = MAX_WAIT_FACTOR * timer.limit_s
            if silent_s > timer.limit_s or waited_s > max_wait_s:
                timer.scope.cancel()
