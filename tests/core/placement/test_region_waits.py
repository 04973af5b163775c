from __future__ import annotations

import pytest

from lycheepath.core.placement.region_waits import (
    LOCAL_TTL_S,
    REMOTE_TTL_S,
    Queue,
    RegionWaits,
)

POOL = Queue("pool", 0)


def test_local_mean_follows_observations_and_expires() -> None:
    waits = RegionWaits()
    assert waits.local_waits(0.0) == {}
    waits.observe(POOL, 0.4, 0.0)
    assert waits.find_local_s(POOL, 0.1) == 0.4
    for step in range(20):
        waits.observe(POOL, 0.1, 0.1 * step)
    assert waits.local_waits(2.0)[POOL] == pytest.approx(0.1, abs=0.01)
    assert waits.local_waits(2.0 + LOCAL_TTL_S) == {}
    assert waits.find_local_s(POOL, 2.0 + LOCAL_TTL_S) == 0.0


def test_report_counts_for_its_region_and_a_limited_time() -> None:
    waits = RegionWaits()
    waits.apply_report("west", POOL, 0.5, 0.0)
    assert waits.find_remote_s("west", POOL, 1.0) == 0.5
    assert waits.find_remote_s("north", POOL, 1.0) == 0.0
    assert waits.find_remote_s("west", Queue("books", 0), 1.0) == 0.0
    waits.apply_report("west", POOL, 0.0, 1.0)
    assert 0.0 < waits.find_remote_s("west", POOL, 1.0) < 0.5
    assert waits.find_remote_s("west", POOL, 1.0 + REMOTE_TTL_S) == 0.0
    # The first report after an expiry counts in full.
    waits.apply_report("west", POOL, 0.2, 9.0)
    assert waits.find_remote_s("west", POOL, 9.0) == 0.2


def test_waits_of_different_priorities_are_independent() -> None:
    """Engines read prompts of high priority first; others may wait for seconds."""
    waits = RegionWaits()
    waits.apply_report("west", Queue("pool", 2), 3.0, 0.0)
    assert waits.find_remote_s("west", POOL, 0.1) == 0.0
    waits.observe(Queue("pool", 2), 3.0, 0.0)
    assert waits.find_local_s(POOL, 0.1) == 0.0
    assert waits.local_waits(0.1) == {Queue("pool", 2): 3.0}
