"""
The timer service that parts of a host subscribe to.

Timers have names, so that a late one can be counted and found. A wake-up that
comes much too late is a pause of the process: its subscribers are told before
any timer fires, so that leases, deadlines and views are checked first::

    timers.on_pause(lambda pause: leases.distrust(pause.ended_at))
    timers.every("probe", 1.0, probe_next)
    timers.once("drain", 30.0, close)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class Pause:
    """The process did not run for ``seconds`` and woke at ``ended_at``."""

    seconds: float
    ended_at: float


class Subscription(Protocol):
    """A timer that can be called off."""

    def cancel(self) -> None:
        """Never fire again."""


class Timers(Protocol):
    """Named timers on the one loop; actions get the monotonic time."""

    counters: Counter[str]

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def every(
        self,
        name: str,
        interval_s: float,
        action: Callable[[float], None],
        jitter: float = 0.1,
    ) -> Subscription:
        """Call ``action`` every ``interval_s``, give or take ``jitter`` of it."""

    def once(
        self, name: str, delay_s: float, action: Callable[[float], None]
    ) -> Subscription:
        """Call ``action`` once, ``delay_s`` from now."""

    def on_pause(self, listener: Callable[[Pause], None]) -> None:
        """Call ``listener`` whenever the process turns out to have paused."""

    def check_pause(self) -> None:
        """
        Tell the listeners now if the process has paused.

        Call this right before an act that a pause would make wrong; a task
        may wake before the timers do.
        """
