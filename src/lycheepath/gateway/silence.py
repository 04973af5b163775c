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

# Between two looks at all sendings.
LOOK_S = 0.1
# A connection may fall silent by itself, while its other side lives.
LONGEST_FACTOR = 3.0


class SilentTargetError(Exception):
    """The other side gave no sign for longer than the request can spare."""


@dataclass(slots=True)
class _Watch:
    scope: trio.CancelScope
    since: float
    limit_s: float
    last_sign: Callable[[], float]


class SilenceWatch:
    """State: the sendings that wait for a sign."""

    def __init__(self) -> None:
        self._watches: dict[int, _Watch] = {}

    @contextmanager
    def guard(
        self, key: int, limit_s: float, last_sign: Callable[[], float]
    ) -> Iterator[None]:
        """
        Raise SilentTargetError in the block if the other side falls silent.

        ``last_sign`` returns when the other side last gave any sign.
        """
        if limit_s == float("inf"):
            yield
            return
        with trio.CancelScope() as scope:
            self._watches[key] = _Watch(scope, trio.current_time(), limit_s, last_sign)
            try:
                yield
            finally:
                self._watches.pop(key, None)
        if scope.cancelled_caught:
            raise SilentTargetError(f"no sign for {limit_s:.3f} s")

    async def run(self) -> None:
        """Look at all sendings again and again, until cancelled."""
        while True:
            await trio.sleep(LOOK_S)
            self.look(trio.current_time())

    def look(self, now: float) -> None:
        """End the sendings whose other side is silent for too long."""
        for watch in self._watches.values():
            waited_s = now - watch.since
            silent_s = now - max(watch.since, watch.last_sign())
            longest_s = LONGEST_FACTOR * watch.limit_s
            if silent_s > watch.limit_s or waited_s > longest_s:
                watch.scope.cancel()
