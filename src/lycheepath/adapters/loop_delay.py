"""
How late the event loop wakes up, because it was blocked or the process was held up.

A periodic task states when it is to be woken and reports when it was::

    delay.expect(now + interval_s)
    await trio.sleep(interval_s)
    late_s = delay.record(now)
    delay.find_s(now)    # the largest delay of the last second
"""

from __future__ import annotations

# Delay from which the event loop counts as held up, in seconds.
HELD_UP_S = 0.1
# Time for which a delay is reported, in seconds.
RECENT_S = 1.0


class LoopDelay:
    """State: when the loop is due, and its largest recent delay."""

    def __init__(self) -> None:
        self._due_at = float("inf")
        self._largest_s = 0.0
        self._largest_at = float("-inf")

    def expect(self, due_at: float) -> None:
        """Record when the periodic task is to be woken."""
        self._due_at = due_at

    def record(self, now: float) -> float:
        """Record that the periodic task was woken; return how late, in seconds."""
        late_s = max(0.0, now - self._due_at)
        if late_s >= self._largest_s or now - self._largest_at > RECENT_S:
            self._largest_s, self._largest_at = late_s, now
        return late_s

    def find_s(self, now: float) -> float:
        """Return the largest delay of the last second, one that goes on included."""
        recent_s = self._largest_s if now - self._largest_at <= RECENT_S else 0.0
        return max(recent_s, now - self._due_at, 0.0)
