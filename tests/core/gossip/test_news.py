from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.gossip.updates import (
    POLICIES,
    HeldUpdate,
    NewsTable,
    QuotaUse,
    TargetLoad,
    UpdateKind,
    hash_name,
    pack_quota_use,
    pack_target_load,
    read_quota_use,
    unpack_target_load,
)
from lycheepath.core.membership.options import Options
from lycheepath.core.membership.spreading import Spreading

LOAD = TargetLoad("runner-1", running=3, queued=2, kv_free_tokens=640, latency_ms=9)
KEY = hash_name("runner-1")


def test_reports_come_back_as_they_were_packed() -> None:
    assert unpack_target_load(pack_target_load(LOAD, 1), "runner-1") == LOAD
    use = QuotaUse("team", tokens=2**31, requests=7)
    assert read_quota_use(pack_quota_use(use, 1), "team") == use
    huge = replace(LOAD, running=10**9, kv_free_tokens=10**12)
    assert unpack_target_load(pack_target_load(huge, 1), "runner-1").running == 0xFFFF


def test_table_keeps_the_latest_observation_whatever_the_order() -> None:
    table = NewsTable()
    old = replace(pack_target_load(LOAD, stamp=1), age_ms=4000)
    new = replace(pack_target_load(LOAD, stamp=2), age_ms=500)
    assert table.put(new, "a-1", now=100.0) is not None
    assert table.put(old, "a-2", now=100.0) is None
    assert table.put(replace(new, age_ms=0), "a-3", now=100.0) is None
    (held,) = table.get(UpdateKind.TARGET_LOAD, KEY, now=100.0)
    assert (held.update.stamp, held.observed_at) == (2, 99.5)
    assert table.put(new, "a-4", now=103.0) is not None


def test_table_never_shows_news_beyond_its_age() -> None:
    table = NewsTable()
    limit = POLICIES[UpdateKind.TARGET_LOAD].max_age_s
    table.put(pack_target_load(LOAD, stamp=1), "a-1", now=100.0)
    assert table.get(UpdateKind.TARGET_LOAD, KEY, now=99.9 + limit)
    assert not table.get(UpdateKind.TARGET_LOAD, KEY, now=100.0 + limit)
    stale = replace(pack_target_load(LOAD, 2), age_ms=int(limit * 1000))
    assert table.put(stale, "a-1", now=200.0) is None


@pytest.mark.parametrize("kind", UpdateKind)
def test_table_is_bounded_and_sheds_the_oldest(kind: UpdateKind) -> None:
    table = NewsTable()
    limit = POLICIES[kind].max_items
    news = replace(pack_target_load(LOAD, 1), kind=kind, ttl_s=60)
    for number in range(limit + 10):
        item = replace(news, key=number, stamp=number)
        assert table.put(item, "a-1", now=100.0 + number / limit) is not None
    assert len(list(table.all(kind, now=101.0))) == limit
    assert not table.get(kind, 9, now=101.0)
    assert table.shed == 10


def test_directed_news_is_bounded_in_items_and_in_bytes_a_second() -> None:
    options = replace(Options(), max_directed=100)
    spreading = Spreading(options, now=0.0)
    for number in range(500):
        news = replace(pack_target_load(LOAD, number), key=number)
        spreading.direct_news(HeldUpdate(news, 0.0, "a-1"), (f"a-{number % 20}",))
    assert spreading.directed_shed == 400
    sent = sum(len(news) for _, news in spreading.take_directed(0.0))
    assert sent == 100
    seconds = 60
    total = 0
    for tenth in range(10 * seconds):
        for number in range(20):
            news = replace(pack_target_load(LOAD, number), key=number)
            held = HeldUpdate(news, tenth / 10, "a-1")
            spreading.direct_news(held, (f"a-{number}",))
        total += 142 * len(spreading.take_directed(tenth / 10))
    allowed = options.directed_burst_bytes + seconds * options.directed_bytes_per_s
    assert total <= 1.1 * allowed
