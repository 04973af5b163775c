from __future__ import annotations

import pytest

from lycheepath.core.serving.startup import (
    HELD_SHARE,
    MAX_HOLD_S,
    STARTUP_S,
    find_hold_s,
)


def test_request_is_held_by_a_host_that_has_just_started() -> None:
    assert find_hold_s(0.1, 60.0) == MAX_HOLD_S
    assert find_hold_s(0.1, 1.0) == pytest.approx(HELD_SHARE)
    assert find_hold_s(0.1, -1.0) == 0.0


def test_nothing_is_held_once_the_host_has_started() -> None:
    assert find_hold_s(STARTUP_S + 0.1, 60.0) == 0.0
