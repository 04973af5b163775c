from __future__ import annotations

from collections import Counter

from lycheepath.core.limits.queue import MAX_WAIT_S, FairQueue, QueuedRequest
from lycheepath.core.reasons import Absent


def build_waiting(
    name: str, team: str, cost: float = 100.0, priority: int = 5, at: float = 0.0
) -> QueuedRequest:
    return QueuedRequest(name, team, cost, priority, at + 30.0, at)


def serve(queue: FairQueue, now: float) -> QueuedRequest | None:
    waiting, _ = queue.pop(now)
    if waiting is not None:
        queue.record_dispatch(waiting, now)
    return waiting


def test_queue_shares_tokens_by_weight_whatever_a_team_floods() -> None:
    queue = FairQueue({"paying": 2.0})
    for number in range(300):
        assert queue.push(build_waiting(f"f{number}", "flood", 50.0), 0.0)
    for number in range(60):
        assert queue.push(build_waiting(f"p{number}", "paying", 200.0), 0.0)
        assert queue.push(build_waiting(f"q{number}", "quiet", 100.0), 0.0)
    tokens: Counter[str] = Counter()
    for _ in range(100):
        waiting = serve(queue, 0.1)
        assert waiting
        tokens[waiting.team] += round(waiting.cost_tokens)
    assert abs(tokens["paying"] - 2 * tokens["quiet"]) <= 400
    assert abs(tokens["flood"] - tokens["quiet"]) <= 200


def test_queue_serves_urgent_work_first() -> None:
    queue = FairQueue()
    queue.push(build_waiting("late", "a", priority=7), 0.0)
    queue.push(build_waiting("urgent", "a", priority=0), 0.0)
    first = serve(queue, 0.0)
    assert first and first.id == "urgent"


def test_queue_is_bounded_in_time() -> None:
    """Nothing is served after the bound, and what is late is handed back."""
    queue = FairQueue()
    for number in range(10):
        queue.push(build_waiting(f"r{number}", "a"), 0.0)
    waiting, expired = queue.pop(MAX_WAIT_S + 0.01)
    assert waiting is None
    assert len(expired) == 10
    assert len(queue) == 0


def test_queue_refuses_at_once_what_would_wait_too_long() -> None:
    queue = FairQueue()
    now = 0.0
    refusal: QueuedRequest | Absent = build_waiting("none", "a")
    for number in range(2000):
        now += 0.005
        refusal = queue.push(build_waiting(f"r{number}", "a", at=now), now)
        if isinstance(refusal, Absent):
            break
        if number % 10 == 0:
            serve(queue, now)
    assert isinstance(refusal, Absent)
    assert refusal.retry_after_s > 0.0


def test_a_cheap_newcomer_takes_a_dearer_teammates_place() -> None:
    queue = FairQueue()
    now = 0.0
    while queue.push(build_waiting(f"dear-{now}", "a", 1000.0, at=now), now):
        now += 0.02
        if round(now / 0.02) % 10 == 0:
            serve(queue, now)
    queued = len(queue)
    assert not queue.push(build_waiting("as-dear", "a", 900.0, at=now), now)
    assert queue.push(build_waiting("cheap", "a", 100.0, at=now), now)
    assert len(queue) == queued + 1
    _, refused = queue.pop(now)
    assert len(refused) == 1
    assert refused[0].cost_tokens == 1000.0


def test_put_back_keeps_place_and_age() -> None:
    queue = FairQueue()
    queue.push(build_waiting("first", "a"), 0.0)
    queue.push(build_waiting("second", "a", at=0.1), 0.1)
    for now in (0.2, 0.3):
        waiting, _ = queue.pop(now)
        assert waiting and waiting.id == "first"
        queue.requeue(waiting)
    _, expired = queue.pop(MAX_WAIT_S + 0.05)
    assert [item.id for item in expired] == ["first"]


def test_cancel_frees_the_place() -> None:
    queue = FairQueue()
    queue.push(build_waiting("gone", "a"), 0.0)
    assert queue.cancel("gone")
    assert not queue.cancel("gone")
    assert queue.pop(0.0) == (None, ())
