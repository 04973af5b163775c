from __future__ import annotations

from lycheepath.core.environment.model import Issuers, Weights
from lycheepath.core.reasons import Absent, Reason


def test_absent_is_falsy_and_carries_its_reason() -> None:
    absent = Absent(Reason.LIMIT, retry_after_s=1.5)
    assert not absent
    assert absent.reason is Reason.LIMIT


def test_model_default_weights_sum_to_one() -> None:
    assert Weights().cost + Weights().tail_latency == 1
    assert Issuers().hosts == ()
