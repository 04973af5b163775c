from __future__ import annotations

from lycheepath.core.pacing import LONGEST_PACE_S, Pacer


def test_pacer_grows_to_its_bound_and_returns_to_zero() -> None:
    pacer = Pacer()
    for _ in range(20):
        pacer.adjust(1.0)
    assert pacer.pace_s == LONGEST_PACE_S
    assert pacer.adjust(0.4) == LONGEST_PACE_S
    for _ in range(20):
        pacer.adjust(0.1)
    assert pacer.pace_s == 0.0
