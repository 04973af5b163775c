from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.gossip.updates import (
    POLICIES,
    HeldUpdate,
    QuotaUse,
    TargetLoad,
    UpdateKind,
    UpdateTable,
    hash_name,
    pack_quota_use,
    pack_target_load,
    unpack_quota_use,
    unpack_target_load,
)
from lycheepath.core.membership.dissemination import Disseminator
from lycheepath.core.membership.options import Options

LOAD = TargetLoad("runner-1", running=3, queued=2, kv_free_tokens=640, latency_ms=9)
KEY = hash_name("runner-1")


def test_reports_are_unpacked_as_they_were_packed() -> None:
    assert unpack_target_load(pack_target_load(LOAD, 1), "runner-1") == LOAD
    use = QuotaUse("team", tokens=2**31, requests=7)
    assert unpack_quota_use(pack_quota_use(use, 1), "team") == use
    huge = replace(LOAD, running=10**9, kv_free_tokens=10**12)
    assert unpack_target_load(pack_target_load(huge, 1), "runner-1").running == 0xFFFF


def test_table_keeps_the_latest_observation_whatever_the_order() -> None:
    table = UpdateTable()
    old = replace(pack_target_load(LOAD, stamp=1), age_ms=4000)
    new = replace(pack_target_load(LOAD, stamp=2), age_ms=500)
    assert table.put(new, "a-1", now=100.0) is not None
    assert table.put(old, "a-2", now=100.0) is None
    assert table.put(replace(new, age_ms=0), "a-3", now=100.0) is None
    (held,) = table.get(UpdateKind.TARGET_LOAD, KEY, now=100.0)
    assert (held.update.stamp, held.observed_at) == (2, 99.5)
    assert table.put(new, "a-4", now=103.0) is not None


def test_table_never_returns_expired_updates() -> None:
    table = UpdateTable()
    limit = POLICIES[UpdateKind.TARGET_LOAD].max_age_s
    table.put(pack_target_load(LOAD, stamp=1), "a-1", now=100.0)
    assert table.get(UpdateKind.TARGET_LOAD, KEY, now=99.9 + limit)
    assert not table.get(UpdateKind.TARGET_LOAD, KEY, now=100.0 + limit)
    stale = replace(pack_target_load(LOAD, 2), age_ms=int(limit * 1000))
    assert table.put(stale, "a-1", now=200.0) is None


@pytest.mark.parametrize("kind", UpdateKind)
def test_table_is_bounded_and_sheds_the_oldest(kind: UpdateKind) -> None:
    table = UpdateTable()
    limit = POLICIES[kind].max_items
    update = replace(pack_target_load(LOAD, 1), kind=kind, ttl_s=60)
    for number in range(limit + 10):
        item = replace(update, key=number, stamp=number)
        assert table.put(item, "a-1", now=100.0 + number / limit) is not None
    assert len(list(table.all(kind, now=101.0))) == limit
    assert not table.get(kind, 9, now=101.0)
    assert table.shed == 10


def test_directed_updates_are_bounded_in_items_and_in_bytes_per_second() -> None:
    options = replace(Options(), max_directed_updates=100)
    disseminator = Disseminator(options, now=0.0)
    for number in range(500):
        update = replace(pack_target_load(LOAD, number), key=number)
        disseminator.enqueue_directed(
            HeldUpdate(update, 0.0, "a-1"), (f"a-{number % 20}",)
        )
    assert disseminator.directed_shed == 400
    sent = sum(len(updates) for _, updates in disseminator.take_directed(0.0))
    assert sent == 100
    seconds = 60
    total = 0
    for tenth in range(10 * seconds):
        for number in range(20):
            update = replace(pack_target_load(LOAD, number), key=number)
            held = HeldUpdate(update, tenth / 10, "a-1")
            disseminator.enqueue_directed(held, (f"a-{number}",))
        total += 142 * len(disseminator.take_directed(tenth / 10))
    allowed = options.directed_burst_bytes + seconds * options.directed_bytes_per_s
    assert total <= 1.1 * allowed
