from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.adapters.beats import FORMAT, Beat, BeatError, decode_beat, encode_beat
from lycheepath.core.catalog.freshness import CatalogStatus
from lycheepath.core.fleet.view import HostRow
from lycheepath.core.placement.region_waits import Queue

TEXT = strategies.text(max_size=12)
COUNT = strategies.integers(0, 2**52)
SECONDS = strategies.integers(0, 59_999).map(lambda ms: ms / 1000)
ROWS = strategies.builds(
    HostRow, TEXT, COUNT, COUNT, TEXT, TEXT, TEXT, strategies.booleans(), SECONDS
)
KNOWLEDGE = strategies.builds(CatalogStatus, COUNT, COUNT, SECONDS)
BEATS = strategies.builds(
    Beat,
    ROWS,
    strategies.lists(ROWS, max_size=4).map(tuple),
    strategies.dictionaries(
        strategies.builds(Queue, TEXT, COUNT),
        strategies.integers(0, 9999).map(lambda ms: ms / 1000),
        max_size=3,
    ),
    strategies.lists(
        strategies.tuples(COUNT, strategies.lists(TEXT, max_size=3).map(tuple)),
        max_size=3,
    ).map(tuple),
    strategies.lists(TEXT, max_size=3).map(tuple),
    KNOWLEDGE,
)


@given(BEATS)
def test_beat_comes_back_as_it_was_sent(beat: Beat) -> None:
    assert decode_beat(encode_beat(beat)) == beat


@given(strategies.binary(max_size=300))
def test_bytes_that_are_no_beat_are_told_so(data: bytes) -> None:
    with pytest.raises(BeatError):
        decode_beat(data)


@given(BEATS, strategies.data())
def test_beat_that_is_cut_short_is_told_so(
    beat: Beat, data: strategies.DataObject
) -> None:
    whole = encode_beat(beat)
    size = data.draw(strategies.integers(0, len(whole) - 1))
    with pytest.raises(BeatError):
        decode_beat(whole[:size])


@given(
    strategies.recursive(
        strategies.none() | strategies.booleans() | strategies.integers() | TEXT,
        lambda inner: strategies.lists(inner, max_size=9),
        max_leaves=30,
    )
)
def test_other_json_is_told_so(value: object) -> None:
    import orjson

    try:
        data = orjson.dumps([FORMAT, *value] if isinstance(value, list) else value)
    except TypeError:
        return
    try:
        decode_beat(data)
    except BeatError:
        return
