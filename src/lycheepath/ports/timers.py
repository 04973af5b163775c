"""
The timer service of a host.

Timers have names, so that late ones can be counted by name. A wake-up that
comes much too late indicates that the process was paused. Pause listeners are
called before any timer fires, so that leases, deadlines and views are checked
first::

    timers.on_pause(lambda pause: leases.invalidate(pause.ended_at))
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
    """The process did not run for ``seconds``, until the time ``ended_at``."""

    seconds: float
    ended_at: float


class Subscription(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Stop the timer."""


class Timers(Protocol):
    """Named timers of the event loop; actions receive the monotonic time."""

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
        """Call ``action`` every ``interval_s``, varied by the fraction ``jitter``."""

    def once(
        self, name: str, delay_s: float, action: Callable[[float], None]
    ) -> Subscription:
        """Call ``action`` once, ``delay_s`` from now."""

    def on_pause(self, listener: Callable[[Pause], None]) -> None:
        """Call ``listener`` whenever a pause of the process is detected."""

    def check_pause(self) -> None:
        """
        Call the listeners now if the process was paused.

        Call this right before an operation that must not act on state from
        before a pause; a task may wake before the timers do.
        """
