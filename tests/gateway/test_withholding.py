from __future__ import annotations

import pytest

from lycheepath.core.limits.buffers import UNCOUNTED_BYTES, BufferBudget
from lycheepath.gateway.withholding import (
    MIN_READ_BYTES_S,
    NoRoomError,
    SlowDeliveryError,
    WithheldAnswer,
    require_delivery,
)


def test_withheld_answer_counts_until_it_has_been_sent() -> None:
    budget = BufferBudget(1000)
    withheld = WithheldAnswer(budget)
    withheld.add(b"x" * UNCOUNTED_BYTES)
    withheld.add(b"y" * 600)
    assert len(withheld.take()) == UNCOUNTED_BYTES + 600
    assert budget.used_bytes == 600
    withheld.release()
    assert budget.used_bytes == 0


def test_withheld_answer_without_room_is_refused() -> None:
    withheld = WithheldAnswer(BufferBudget(1000))
    with pytest.raises(NoRoomError):
        withheld.add(b"x" * (UNCOUNTED_BYTES + 1001))


def test_whole_answer_is_begun_if_it_can_be_delivered_in_time() -> None:
    require_delivery(1000, send_room=1000, left_s=0.0)
    require_delivery(1000 + MIN_READ_BYTES_S // 2, send_room=1000, left_s=0.5)
    with pytest.raises(SlowDeliveryError):
        require_delivery(1001, send_room=1000, left_s=0.0)
    with pytest.raises(SlowDeliveryError):
        require_delivery(1001 + MIN_READ_BYTES_S // 2, send_room=1000, left_s=0.5)
