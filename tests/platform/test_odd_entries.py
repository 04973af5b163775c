"""Entries of other writers: each may cost itself, never the rest of an answer."""

from __future__ import annotations

import base64
from dataclasses import replace
from typing import Any

import h11
import orjson
import pytest
from hypothesis import example, given, strategies

from lycheepath.adapters.catalog_copies import (
    CatalogCopy,
    decode_catalog_copy,
    encode_catalog_copy,
)
from lycheepath.adapters.heartbeats import Heartbeat, decode_heartbeat, encode_heartbeat
from lycheepath.core.addresses import parse_address
from lycheepath.core.catalog.catalog import Catalog
from lycheepath.core.catalog.changes import Snapshot, TargetRemoved, UnreadableEntry
from lycheepath.core.catalog.model import Configuration, TargetEntry
from lycheepath.core.fleet.view import HostRow
from lycheepath.core.placement.model import Placement
from lycheepath.core.serving.requests import Dispatch
from lycheepath.platform.headers import read_request, write_request
from lycheepath.platform.store import StoreAnswerError, read_changes, read_page
from tests.core.placement.test_choice import POOL, choose, make_registry
from tests.odd_values import DEEP, ODD_VALUES, list_paths, replace_value

from .test_headers import REQUEST
from .test_store import CONFIGURATION, ENTRY, make_item, make_page

ENTRY_FIELDS = [*ENTRY, "born", "remaining_ms"]
# Longest text of an entry that a log line holds.
MAX_LOGGED = 400


ODD_ITEMS = [
    b'{"key":"servers/\\ud800","value":"e30="}',
    b'{"key":"servers/\xff","value":"e30="}',
    b'{"key":"servers/","value":"%s"}' % base64.b64encode(orjson.dumps(ENTRY)),
    b'{"key":"servers/a\\nb","value":"%s"}' % base64.b64encode(orjson.dumps(ENTRY)),
    b'{"key":"servers/i-1","value":NaN}',
    b'{"key":"servers/i-1","value":"\xff"}',
    b'{"key":' + DEEP + b',"tombstone":true}',
    b'{"key":"op/evacuate/","value":"e30="}',
    b'{"key":"op/evacuate/\\u0000","value":"e30="}',
    b'{"key":"servers/%s","value":"e30="}' % (b"x" * 100_000),
]


def read_beside_good(key: str, value: bytes) -> Any:
    """Read an item beside a good one, from a page and as a change; return its entry."""
    items = make_item(key, value), make_item("servers/i-2", ENTRY)
    page, _ = read_page(make_page(*items))
    delta = read_changes(orjson.dumps({"events": items, "as_of": 12}))
    assert page.entries == delta.changes
    odd, good = page.entries
    assert isinstance(good, TargetEntry)
    return odd


def check_unreadable(entry: UnreadableEntry) -> None:
    assert len(orjson.dumps([entry.key, entry.reason])) <= MAX_LOGGED
    changes = Catalog().replace(Snapshot((entry,), 5), 0.0, False)
    assert [change.event for change in changes] == ["entry-unreadable"]


def check_usable(entry: TargetEntry) -> None:
    """Check that an entry can be sent to other hosts, chosen and called."""
    copy = CatalogCopy(Snapshot((entry,), 5), 0.0)
    assert decode_catalog_copy(encode_catalog_copy(copy, False)) == copy
    row = HostRow("h-1", 1, 1, "10.0.0.9", "a", "east")
    beat = Heartbeat(row, (), gone_targets=(entry.id,) * 8)
    assert decode_heartbeat(encode_heartbeat(beat)).gone_targets == beat.gone_targets
    parse_address(entry.address).ip.encode("ascii")
    headers = write_request(read_request(REQUEST), Dispatch(entry.id, 1.0, 2))
    h11.Request(method="GET", target="/", headers=headers)
    entry = replace(entry, service="pool", zone="east-a")
    placed = choose(make_registry(entry, pool=replace(POOL, cold_per_s=0.0)))
    if not entry.draining:
        assert isinstance(placed, Placement)
        assert 0.0 <= placed.first_event_s < 1e6


@given(strategies.sampled_from(ENTRY_FIELDS), ODD_VALUES)
@example("state", DEEP)
@example("slots", b"1e300")
def test_odd_field_costs_its_entry_only(field: str, odd: bytes) -> None:
    entry = read_beside_good("servers/i-1", replace_value(ENTRY, (field,), odd))
    if isinstance(entry, TargetEntry):
        check_usable(entry)
    else:
        check_unreadable(entry)


@given(ODD_VALUES | strategies.binary(max_size=50))
def test_odd_value_costs_its_entry_only(value: bytes) -> None:
    check_unreadable(read_beside_good("servers/i-1", value))
    check_unreadable(read_beside_good("op/config", value))


@given(strategies.sampled_from(list_paths(CONFIGURATION)), ODD_VALUES)
@example(("routes", 0, "name"), DEEP)
@example(("version",), b"1e300")
def test_odd_configuration_keeps_the_one_in_force(
    path: tuple[Any, ...], odd: bytes
) -> None:
    found = read_beside_good("op/config", replace_value(CONFIGURATION, path, odd))
    catalog = Catalog()
    page, _ = read_page(make_page(make_item("op/config", CONFIGURATION)))
    catalog.replace(page, 0.0, False)
    in_force = catalog.routes
    catalog.replace(Snapshot((found,), 13), 1.0, False)
    if isinstance(found, UnreadableEntry):
        check_unreadable(found)
        assert catalog.routes is in_force
        return
    assert isinstance(found, Configuration)
    copy = CatalogCopy(Snapshot((found,), 5), 0.0)
    assert decode_catalog_copy(encode_catalog_copy(copy, True)) == copy


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slots", 0),
        ("slots", 1e18),
        ("slots", 6.5e300),
        ("seq", 1e300),
        ("born", -1),
        ("cold_left_ms", 1e300),
        ("remaining_ms", "nan"),
        ("remaining_ms", True),
        ("address", "10.0.0.1:65536"),
        ("address", "10.0.0.1:0"),
        ("address", "a..b:80"),
        ("zone", "a\x00"),
        ("service", "x" * 201),
    ],
)
def test_entry_out_of_range_is_unreadable(field: str, value: Any) -> None:
    item = orjson.dumps(ENTRY | {field: value})
    assert isinstance(read_beside_good("servers/i-1", item), UnreadableEntry)


@pytest.mark.parametrize(
    "odd",
    [
        b"7",
        b"null",
        b"{}",
        b'{"key":7,"value":"e30="}',
        b'{"value":"e30="}',
        b'{"key":"servers/i-1"}',
        b'{"key":"servers/i-1","value":' + DEEP + b"}",
        b'{"key":7,"tombstone":true}',
        *ODD_ITEMS,
    ],
)
def test_odd_item_costs_itself_only(odd: bytes) -> None:
    good = orjson.dumps(make_item("servers/i-2", ENTRY))
    listed = b'[%s,%s],"as_of":12}' % (odd, good)
    for entries in (
        read_page(b'{"items":' + listed)[0].entries,
        read_changes(b'{"events":' + listed).changes,
    ):
        *unreadable, target = entries
        assert isinstance(target, TargetEntry)
        for entry in unreadable:
            assert isinstance(entry, UnreadableEntry)
            check_unreadable(entry)


def test_tombstone_of_an_odd_key_ends_nothing_else() -> None:
    events = [{"key": "servers/i-1", "tombstone": True}, {"tombstone": True}]
    delta = read_changes(orjson.dumps({"events": events, "as_of": 9}))
    assert delta.changes[0] == TargetRemoved("i-1")
    assert isinstance(delta.changes[1], UnreadableEntry)


@pytest.mark.parametrize("last", [7, {}, {"key": ["x"]}])
def test_page_that_names_no_key_to_go_on_after_is_rejected(last: Any) -> None:
    with pytest.raises(StoreAnswerError):
        read_page(make_page(last, more=True))
