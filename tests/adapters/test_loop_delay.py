from __future__ import annotations

import pytest

from lycheepath.adapters.loop_delay import RECENT_S, LoopDelay


def test_delay_is_reported_while_it_goes_on_and_for_a_while_afterwards() -> None:
    delay = LoopDelay()
    delay.expect(1.0)
    assert delay.find_s(0.9) == 0.0
    assert delay.find_s(1.4) == pytest.approx(0.4)
    assert delay.record(1.5) == pytest.approx(0.5)
    delay.expect(1.6)
    assert delay.record(1.6) == 0.0
    delay.expect(9.0)
    assert delay.find_s(1.7) == pytest.approx(0.5)
    assert delay.find_s(1.5 + RECENT_S + 0.1) == 0.0
