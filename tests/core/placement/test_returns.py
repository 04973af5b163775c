from __future__ import annotations

from lycheepath.core.placement.returns import MAX_RETURN_S, ReturnSchedule


def test_refused_callers_return_one_after_the_other() -> None:
    returns = ReturnSchedule()
    waits = [returns.schedule(0.5, 0.5, now=0.0) for _ in range(7)]
    assert waits == [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 0.5]
    assert max(waits) <= MAX_RETURN_S


def test_returns_begin_anew_after_a_quiet_time() -> None:
    returns = ReturnSchedule()
    returns.schedule(0.5, 1.0, now=0.0)
    assert returns.schedule(0.5, 1.0, now=10.0) == 0.5


def test_late_return_is_not_brought_forward() -> None:
    assert ReturnSchedule().schedule(20.0, 1.0, now=0.0) == 20.0
