from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from lycheepath.gateway.silence import (
    MAX_WAIT_FACTOR,
    InactivityMonitor,
    SilentTargetError,
)

if TYPE_CHECKING:
    from trio.testing import MockClock


async def is_ended(signs: list[float], limit_s: float, for_s: float) -> bool:
    """Return whether the watch ends a sending that would take ``for_s``."""
    monitor = InactivityMonitor()
    started = trio.current_time()

    def last_sign() -> float:
        now = trio.current_time() - started
        return started + max((at for at in signs if at <= now), default=-100.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        try:
            with monitor.watch(1, limit_s, last_sign):
                await trio.sleep(for_s)
        except SilentTargetError:
            return True
        finally:
            nursery.cancel_scope.cancel()
    return False


async def test_watch_ends_a_sending_to_a_silent_target(
    autojump_clock: MockClock,
) -> None:
    assert await is_ended([], 0.5, 10.0)


async def test_watch_waits_for_a_target_that_gives_signs(
    autojump_clock: MockClock,
) -> None:
    assert not await is_ended([0.4, 0.8, 1.2], 0.5, 1.3)


async def test_watch_does_not_wait_for_ever_for_one_connection(
    autojump_clock: MockClock,
) -> None:
    signs = [number * 0.1 for number in range(100)]
    assert await is_ended(signs, 0.5, 0.5 * MAX_WAIT_FACTOR + 1.0)


async def test_watch_lets_a_sending_without_a_limit_go_on(
    autojump_clock: MockClock,
) -> None:
    assert not await is_ended([], float("inf"), 60.0)
