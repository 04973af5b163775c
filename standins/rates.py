"""Loads at a steady rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def run_at_rate(
    per_second: float, seconds: float, run: Callable[[int], Awaitable[object]]
) -> None:
    """
    Start ``run`` with the numbers from 0 at a steady rate, and wait until all have ended::

        await run_at_rate(20.0, 6.0, ask)
    """
    async with trio.open_nursery() as nursery:
        started = trio.current_time()
        for number in range(int(per_second * seconds)):
            await trio.sleep_until(started + number / per_second)
            nursery.start_soon(run, number)
