from __future__ import annotations

import pytest

from lycheepath.core.placement.region_waits import OWN_S, TOLD_S, Queue, RegionWaits

POOL = Queue("pool", 0)


def test_own_mean_follows_what_is_found_and_ends_without_news() -> None:
    waits = RegionWaits()
    assert waits.local_waits(0.0) == {}
    waits.observe(POOL, 0.4, 0.0)
    assert waits.find_own_s(POOL, 0.1) == 0.4
    for step in range(20):
        waits.observe(POOL, 0.1, 0.1 * step)
    assert waits.local_waits(2.0)[POOL] == pytest.approx(0.1, abs=0.01)
    assert waits.local_waits(2.0 + OWN_S) == {}
    assert waits.find_own_s(POOL, 2.0 + OWN_S) == 0.0


def test_word_of_another_region_counts_for_that_region_and_a_while() -> None:
    waits = RegionWaits()
    waits.apply_report("west", POOL, 0.5, 0.0)
    assert waits.find_s("west", POOL, 1.0) == 0.5
    assert waits.find_s("north", POOL, 1.0) == 0.0
    assert waits.find_s("west", Queue("books", 0), 1.0) == 0.0
    waits.apply_report("west", POOL, 0.0, 1.0)
    assert 0.0 < waits.find_s("west", POOL, 1.0) < 0.5
    assert waits.find_s("west", POOL, 1.0 + TOLD_S) == 0.0
    # After a pause the first word counts whole.
    waits.apply_report("west", POOL, 0.2, 9.0)
    assert waits.find_s("west", POOL, 9.0) == 0.2


def test_requests_of_one_urgency_tell_nothing_of_the_wait_of_others() -> None:
    """Engines read urgent prompts first; the others may wait for seconds."""
    waits = RegionWaits()
    waits.apply_report("west", Queue("pool", 2), 3.0, 0.0)
    assert waits.find_s("west", POOL, 0.1) == 0.0
    waits.observe(Queue("pool", 2), 3.0, 0.0)
    assert waits.find_own_s(POOL, 0.1) == 0.0
    assert waits.local_waits(0.1) == {Queue("pool", 2): 3.0}
