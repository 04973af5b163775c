from __future__ import annotations

from collections import Counter

from lycheepath.core.limits.queue import MAX_WAIT_S, FairQueue, QueuedRequest
from lycheepath.core.reasons import Absent


def build_request(
    name: str, team: str, cost: float = 100.0, priority: int = 5, at: float = 0.0
) -> QueuedRequest:
    return QueuedRequest(name, team, cost, priority, at + 30.0, at)


def serve(queue: FairQueue, now: float) -> QueuedRequest | None:
    request, _ = queue.pop(now)
    if request is not None:
        queue.record_dispatch(request, now)
    return request


def test_queue_shares_tokens_by_weight_under_a_flood_by_one_team() -> None:
    queue = FairQueue({"paying": 2.0})
    for number in range(300):
        assert queue.push(build_request(f"f{number}", "flood", 50.0), 0.0)
    for number in range(60):
        assert queue.push(build_request(f"p{number}", "paying", 200.0), 0.0)
        assert queue.push(build_request(f"q{number}", "quiet", 100.0), 0.0)
    tokens: Counter[str] = Counter()
    for _ in range(100):
        request = serve(queue, 0.1)
        assert request
        tokens[request.team] += round(request.cost_tokens)
    assert abs(tokens["paying"] - 2 * tokens["quiet"]) <= 400
    assert abs(tokens["flood"] - tokens["quiet"]) <= 200


def test_queue_serves_the_highest_priority_first() -> None:
    queue = FairQueue()
    queue.push(build_request("late", "a", priority=7), 0.0)
    queue.push(build_request("urgent", "a", priority=0), 0.0)
    first = serve(queue, 0.0)
    assert first and first.id == "urgent"


def test_queue_is_bounded_in_time() -> None:
    """Requests past the bound are returned as expired and not served."""
    queue = FairQueue()
    for number in range(10):
        queue.push(build_request(f"r{number}", "a"), 0.0)
    request, expired = queue.pop(MAX_WAIT_S + 0.01)
    assert request is None
    assert len(expired) == 10
    assert len(queue) == 0


def test_queue_refuses_at_once_requests_that_would_wait_too_long() -> None:
    queue = FairQueue()
    now = 0.0
    refusal: QueuedRequest | Absent = build_request("none", "a")
    for number in range(2000):
        now += 0.005
        refusal = queue.push(build_request(f"r{number}", "a", at=now), now)
        if isinstance(refusal, Absent):
            break
        if number % 10 == 0:
            serve(queue, now)
    assert isinstance(refusal, Absent)
    assert refusal.retry_after_s > 0.0


def test_a_cheap_request_evicts_a_more_expensive_one_of_its_team() -> None:
    queue = FairQueue()
    now = 0.0
    while queue.push(build_request(f"costly-{now}", "a", 1000.0, at=now), now):
        now += 0.02
        if round(now / 0.02) % 10 == 0:
            serve(queue, now)
    queued = len(queue)
    assert not queue.push(build_request("as-costly", "a", 900.0, at=now), now)
    assert queue.push(build_request("cheap", "a", 100.0, at=now), now)
    assert len(queue) == queued + 1
    _, refused = queue.pop(now)
    assert len(refused) == 1
    assert refused[0].cost_tokens == 1000.0


def test_a_requeued_request_keeps_its_position_and_age() -> None:
    queue = FairQueue()
    queue.push(build_request("first", "a"), 0.0)
    queue.push(build_request("second", "a", at=0.1), 0.1)
    for now in (0.2, 0.3):
        request, _ = queue.pop(now)
        assert request and request.id == "first"
        queue.requeue(request)
    _, expired = queue.pop(MAX_WAIT_S + 0.05)
    assert [item.id for item in expired] == ["first"]


def test_cancel_removes_the_request() -> None:
    queue = FairQueue()
    queue.push(build_request("gone", "a"), 0.0)
    assert queue.cancel("gone")
    assert not queue.cancel("gone")
    assert queue.pop(0.0) == (None, ())
