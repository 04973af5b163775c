from __future__ import annotations

import random

import pytest

from lycheepath.core.catalog.freshness import (
    EAGER_PERIOD_S,
    INTERVAL_S,
    READERS_PER_REGION,
    STALE_S,
    AvailableUpdate,
    CatalogStatus,
    Freshness,
    rank_reader,
)

HELD = CatalogStatus(7, 90, 0.0)
TICK_S = 0.1


def test_readers_of_a_region_are_the_same_for_all_and_few() -> None:
    hosts = [f"host-{number}" for number in range(30)]
    shuffled = random.Random(1).sample(hosts, 30)
    ranks = [rank_reader(host, shuffled, "east") for host in hosts]
    assert ranks == [rank_reader(host, hosts, "east") for host in hosts]
    assert sorted(rank for rank in ranks if rank is not None) == list(range(30))
    assert rank_reader("host-31", hosts, "east") is None


@pytest.mark.parametrize(
    ("told", "news"),
    [
        (CatalogStatus(8, 90, 0.1), AvailableUpdate.CONFIGURATION),
        (CatalogStatus(8, 95, 0.1), AvailableUpdate.CONFIGURATION),
        (CatalogStatus(7, 91, 9.0), AvailableUpdate.CHANGES),
        (CatalogStatus(7, 90, 0.1), AvailableUpdate.NONE),
        (CatalogStatus(6, 80, 0.1), AvailableUpdate.NONE),
    ],
)
def test_news_is_what_the_other_host_has_more(
    told: CatalogStatus, news: AvailableUpdate
) -> None:
    assert Freshness(0.0).apply_status(HELD, told, 10.0) is news


def test_knowledge_is_as_fresh_as_that_of_whoever_knows_nothing_more() -> None:
    fresh = Freshness(0.0)
    fresh.record_current_at(5.0)
    fresh.apply_status(HELD, CatalogStatus(7, 90, 0.4), 10.0)
    assert fresh.age_s(10.0) == pytest.approx(0.4)
    fresh.apply_status(HELD, CatalogStatus(7, 90, 8.0), 10.0)
    assert fresh.age_s(10.0) == pytest.approx(0.4)
    fresh.apply_status(HELD, CatalogStatus(7, 91, 0.0), 10.0)
    assert fresh.age_s(10.0) == pytest.approx(0.4)


def test_host_that_knows_nothing_reads_at_once() -> None:
    assert Freshness(0.0).wait_s(None, 0.0) <= 0.0
    assert Freshness(0.0).wait_s(25, 0.0) <= 0.0


def test_host_whose_reading_fails_does_not_read_without_pause() -> None:
    fresh = Freshness(0.0)
    later = EAGER_PERIOD_S + 1.0
    fresh.record_read(later)
    assert fresh.wait_s(25, later) == pytest.approx(INTERVAL_S)


def play_region(hosts: int, seconds: float, silent: frozenset[int]) -> list[int]:
    """Return how often each host read; the silent ones neither read nor tell."""
    fresh = [Freshness(-EAGER_PERIOD_S) for _ in range(hosts)]
    reads = [0] * hosts
    for state in fresh:
        state.record_read(0.0)
        state.record_current_at(0.0)
    for tick in range(1, int(seconds / TICK_S)):
        now = tick * TICK_S
        for number, state in enumerate(fresh):
            if number in silent or state.wait_s(number, now) > 0.0:
                continue
            state.record_read(now)
            state.record_current_at(now)
            reads[number] += 1
        for number, state in enumerate(fresh):
            if number in silent:
                continue
            told = CatalogStatus(7, 90, state.age_s(now))
            for other in fresh:
                other.apply_status(HELD, told, now)
    return reads


def test_only_the_readers_of_a_region_read() -> None:
    reads = play_region(30, 20.0, frozenset())
    assert all(count >= 18 for count in reads[:READERS_PER_REGION])
    assert not any(reads[READERS_PER_REGION:])


def test_next_in_rank_reads_for_all_while_the_readers_are_silent() -> None:
    """The load on the store stays that of a few hosts, whoever fails."""
    reads = play_region(30, 20.0, frozenset(range(READERS_PER_REGION)))
    assert 20.0 / (STALE_S + 0.5) <= sum(reads) <= 40
    assert not any(reads[READERS_PER_REGION + 4 :])
