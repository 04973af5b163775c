from __future__ import annotations

from lycheepath.core.gossip.pending_updates import UpdateQueue


def make_queue(limit: int = 10) -> UpdateQueue[str]:
    return UpdateQueue(limit)


def test_updates_are_ordered_by_priority_then_by_transmissions() -> None:
    queue = make_queue()
    queue.add("late", "late", size=10, priority=5)
    queue.add("urgent", "urgent", size=10, priority=0)
    queue.add("also", "also", size=10, priority=0)
    assert queue.take(room=10, transmissions=3) == ["urgent"]
    assert queue.take(room=10, transmissions=3) == ["also"]
    assert queue.take(room=30, transmissions=3) == ["urgent", "also", "late"]


def test_updates_are_dropped_after_their_transmissions() -> None:
    queue = make_queue()
    queue.add("one", "one", size=10, priority=0)
    taken = [queue.take(room=100, transmissions=3) for _ in range(5)]
    assert taken == [["one"], ["one"], ["one"], [], []]


def test_updates_on_one_subject_replace_each_other() -> None:
    queue = make_queue()
    queue.add("one", "old", size=10, priority=0)
    queue.take(room=100, transmissions=3)
    queue.add("one", "new", size=10, priority=0)
    assert queue.take(room=100, transmissions=3) == ["new"]
    assert len(queue) == 1


def test_a_full_queue_sheds_the_lowest_priority() -> None:
    queue = make_queue(limit=3)
    for name, priority in (("a", 0), ("b", 5), ("c", 1), ("d", 0)):
        queue.add(name, name, size=10, priority=priority)
    assert queue.shed == 1
    assert queue.take(room=100, transmissions=9) == ["a", "d", "c"]


def test_an_update_too_large_for_the_room_does_not_block_others() -> None:
    queue = make_queue()
    queue.add("big", "big", size=500, priority=0)
    queue.add("small", "small", size=10, priority=5)
    assert queue.take(room=100, transmissions=9) == ["small"]
