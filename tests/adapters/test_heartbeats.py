from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.adapters.heartbeats import (
    FORMAT,
    BeatError,
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from lycheepath.core.catalog.freshness import CatalogStatus
from lycheepath.core.fleet.view import HostRow
from lycheepath.core.placement.region_waits import Queue

TEXT = strategies.text(max_size=12)
COUNT = strategies.integers(0, 2**52)
SECONDS = strategies.integers(0, 59_999).map(lambda ms: ms / 1000)
ROWS = strategies.builds(
    HostRow, TEXT, COUNT, COUNT, TEXT, TEXT, TEXT, strategies.booleans(), SECONDS
)
STATUSES = strategies.builds(CatalogStatus, COUNT, COUNT, SECONDS, COUNT)
HEARTBEATS = strategies.builds(
    Heartbeat,
    ROWS,
    strategies.lists(ROWS, max_size=4).map(tuple),
    strategies.dictionaries(
        strategies.builds(Queue, TEXT, COUNT),
        strategies.integers(0, 9999).map(lambda ms: ms / 1000),
        max_size=3,
    ),
    strategies.lists(TEXT, max_size=3).map(tuple),
    STATUSES,
)


@given(HEARTBEATS)
def test_heartbeat_is_decoded_as_it_was_encoded(heartbeat: Heartbeat) -> None:
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


@given(strategies.binary(max_size=300))
def test_bytes_that_are_no_heartbeat_are_rejected(data: bytes) -> None:
    with pytest.raises(BeatError):
        decode_heartbeat(data)


@given(HEARTBEATS, strategies.data())
def test_truncated_heartbeat_is_rejected(
    heartbeat: Heartbeat, data: strategies.DataObject
) -> None:
    encoded = encode_heartbeat(heartbeat)
    size = data.draw(strategies.integers(0, len(encoded) - 1))
    with pytest.raises(BeatError):
        decode_heartbeat(encoded[:size])


@given(
    strategies.recursive(
        strategies.none() | strategies.booleans() | strategies.integers() | TEXT,
        lambda inner: strategies.lists(inner, max_size=9),
        max_leaves=30,
    )
)
def test_other_json_raises_only_beat_errors(value: object) -> None:
    import orjson

    try:
        data = orjson.dumps([FORMAT, *value] if isinstance(value, list) else value)
    except TypeError:
        return
    try:
        decode_heartbeat(data)
    except BeatError:
        return
