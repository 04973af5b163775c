"""
Ends sendings to targets and hosts that have fallen silent.

A request that waits behind others is not silence: while the other side gives
signs on other connections, a sending may take several times as long.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Between two looks at all sendings, while there are any.
LOOK_S = 0.1
# A connection may fall silent by itself, while its other side lives.
LONGEST_FACTOR = 3.0
NO_LIMIT_S = float("inf")


class SilentTargetError(Exception):
    """The other side gave no sign for longer than the request can spare."""


@dataclass(slots=True)
class Guard:
    """A wait for signs of another side; one stands for all waits of a stream."""

    scope: trio.CancelScope
    since: float
    limit_s: float
    last_sign: Callable[[], float]

    def expect(self, limit_s: float) -> None:
        """Begin to wait for a sign that is due within ``limit_s``."""
        self.since = trio.current_time()
        self.limit_s = limit_s

    def rest(self) -> float:
        """Expect nothing while what came is passed on; return the limit until then."""
        limit_s, self.limit_s = self.limit_s, NO_LIMIT_S
        return limit_s

    def resume(self, limit_s: float) -> None:
        """Go on with a wait that ``rest`` put off."""
        self.limit_s = limit_s


class SilenceWatch:
    """State: the sendings that wait for a sign."""

    def __init__(self) -> None:
        self._guards: dict[int, Guard] = {}
        self._work = trio.Event()

    @contextmanager
    def guard(
        self, key: int, limit_s: float, last_sign: Callable[[], float]
    ) -> Iterator[Guard]:
        """
        Raise SilentTargetError in the block if the other side falls silent.

        ``last_sign`` returns when the other side last gave any sign.
        """
        with trio.CancelScope() as scope:
            guard = Guard(scope, trio.current_time(), limit_s, last_sign)
            self._guards[key] = guard
            self._work.set()
            try:
                yield guard
            finally:
                self._guards.pop(key, None)
        if scope.cancelled_caught:
            raise SilentTargetError(f"no sign for {guard.limit_s:.3f} s")

    async def run(self) -> None:
        """Look at all sendings again and again, until cancelled."""
        while True:
            await self._work.wait()
            await trio.sleep(LOOK_S)
            self.look(trio.current_time())
            if not self._guards:
                self._work = trio.Event()

    def look(self, now: float) -> None:
        """End the sendings whose other side is silent for too long."""
        for guard in self._guards.values():
            waited_s = now - guard.since
            silent_s = now - max(guard.since, guard.last_sign())
            longest_s = LONGEST_FACTOR * guard.limit_s
            if silent_s > guard.limit_s or waited_s > longest_s:
                guard.scope.cancel()
