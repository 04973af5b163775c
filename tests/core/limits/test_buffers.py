from __future__ import annotations

from lycheepath.core.limits.buffers import UNCOUNTED_BYTES, BufferBudget, BufferShare


def test_small_bodies_are_held_though_the_budget_is_used_up() -> None:
    budget = BufferBudget(0)
    assert BufferShare(budget).hold(UNCOUNTED_BYTES)
    assert not BufferShare(budget).hold(UNCOUNTED_BYTES + 1)


def test_bodies_together_stay_within_the_budget() -> None:
    budget = BufferBudget(1000)
    shares = [BufferShare(budget) for _ in range(4)]
    assert [share.hold(UNCOUNTED_BYTES + 400) for share in shares] == [
        True,
        True,
        False,
        False,
    ]
    assert budget.used_bytes == 800
    shares[0].release()
    assert shares[2].hold(UNCOUNTED_BYTES + 400)


def test_growing_body_takes_only_what_is_added() -> None:
    budget = BufferBudget(1000)
    share = BufferShare(budget)
    for size in range(0, 1001, 100):
        assert share.hold(UNCOUNTED_BYTES + size)
    assert budget.used_bytes == 1000
    assert not share.hold(UNCOUNTED_BYTES + 1001)
    share.release()
    share.release()
    assert budget.used_bytes == 0
