from __future__ import annotations

import base64
from typing import Any

import orjson
import pytest
from hypothesis import given, strategies

from lycheepath.core.catalog.changes import (
    Evacuation,
    EvacuationEnded,
    TargetRemoved,
    UnreadableEntry,
)
from lycheepath.core.catalog.model import Configuration, RouteKind, TargetEntry
from lycheepath.platform.store import (
    StoreAnswerError,
    page_path,
    read_changes,
    read_configuration_item,
    read_page,
)

ENTRY = {
    "service": "books",
    "address": "10.0.0.1:80",
    "zone": "accra-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 1500,
    "seq": 4,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Books.Example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "priority": 1,
            "traffic_split": [
                {"service": "old", "weight": 90},
                {"service": "new", "weight": 10},
            ],
            "max_attempts": 2,
            "resumable": True,
            "gap_aim_ms": 400,
            "home_regions": ["accra"],
        }
    ],
    "services": [
        {
            "name": "old",
            "max_connections": 630,
            "cold_per_s": 3.5,
            "engine": {"slots": 128, "kv_cache_tokens": 4000, "stride": 7},
        }
    ],
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000},
}


def make_item(key: str, value: Any) -> dict[str, Any]:
    data = value if isinstance(value, bytes) else orjson.dumps(value)
    text = base64.b64encode(data).decode()
    return {"key": key, "value": text, "revision": 3, "create_rev": 3, "lease": 0}


def make_page(*items: Any, more: bool = False) -> bytes:
    return orjson.dumps({"items": items, "has_more": more, "as_of": 12})


def test_page_holds_targets_configuration_and_evacuations() -> None:
    page, after = read_page(
        make_page(
            make_item("op/config", CONFIGURATION),
            make_item("op/evacuate/accra-a", {}),
            make_item("servers/i-1", ENTRY),
            make_item("another/key", b"?"),
            more=True,
        )
    )
    configuration, evacuation, target = page.entries
    assert isinstance(configuration, Configuration)
    route = configuration.routes[0]
    assert (route.host, route.kind, route.urgency) == (
        "books.example",
        RouteKind.STREAM,
        1,
    )
    assert [share.weight for share in route.services] == [90.0, 10.0]
    assert (route.timeout_s, route.aim_s, route.gap_aim_s) == (4.0, 0.8, 0.4)
    assert configuration.limits.body_bytes == 1000
    assert configuration.limits.idle_s == 15.0
    assert evacuation == Evacuation("accra-a")
    assert isinstance(target, TargetEntry)
    assert (target.cold_s, target.draining, target.born_ms) == (1.5, False, 0)
    assert page.revision == 12
    assert page_path(after).endswith("after=another%2Fkey")


@pytest.mark.parametrize(
    "value",
    [
        b"not json",
        [],
        {**ENTRY, "state": "asleep"},
        {**ENTRY, "zone": 5},
        {**ENTRY, "slots": "6"},
        {**ENTRY, "address": "nowhere"},
        {name: field for name, field in ENTRY.items() if name != "service"},
    ],
)
def test_entry_that_cannot_be_read_names_no_target(value: Any) -> None:
    page, _ = read_page(
        make_page(make_item("servers/i-1", value), make_item("servers/i-2", ENTRY))
    )
    unreadable, target = page.entries
    assert isinstance(unreadable, UnreadableEntry)
    assert unreadable.key == "servers/i-1"
    assert isinstance(target, TargetEntry)


def test_changes_tell_what_was_removed() -> None:
    events = [
        {"key": "servers/i-1", "revision": 4, "tombstone": True},
        {"key": "op/evacuate/accra-a", "revision": 5, "tombstone": True},
        make_item("servers/i-2", {**ENTRY, "state": "draining", "remaining_ms": 2000}),
    ]
    delta = read_changes(orjson.dumps({"events": events, "as_of": 9}))
    assert delta.changes[:2] == (TargetRemoved("i-1"), EvacuationEnded("accra-a"))
    target = delta.changes[2]
    assert isinstance(target, TargetEntry)
    assert (target.draining, target.leaves_in_s) == (True, 2.0)
    assert delta.revision == 9


@given(strategies.binary(max_size=200))
def test_other_bytes_are_told_so(data: bytes) -> None:
    for read in (read_page, read_changes):
        with pytest.raises(StoreAnswerError):
            read(data)


@given(
    strategies.dictionaries(
        strategies.sampled_from(sorted(ENTRY)),
        strategies.none()
        | strategies.integers(-(2**53), 2**53)
        | strategies.text(max_size=5),
    )
)
def test_entries_of_other_writers_never_raise(change: dict[str, Any]) -> None:
    page, _ = read_page(make_page(make_item("servers/i-1", ENTRY | change)))
    assert len(page.entries) == 1


def test_configuration_is_read_alone() -> None:
    item = make_item("op/config", CONFIGURATION) | {"as_of": 40}
    found = read_configuration_item(orjson.dumps(item))
    assert found.version == CONFIGURATION["version"]
    with pytest.raises(StoreAnswerError):
        read_configuration_item(orjson.dumps(item | {"value": "%"}))
    with pytest.raises(StoreAnswerError):
        read_configuration_item(b"{}")
