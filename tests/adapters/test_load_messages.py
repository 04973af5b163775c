from __future__ import annotations

import orjson
import pytest
from hypothesis import given, strategies

from lycheepath.adapters.load_messages import (
    LOAD_QUERY,
    LoadMessage,
    LoadQuery,
    LoadReply,
    LoadUpdate,
    MessageError,
    decode_message,
    encode_message,
    is_load_message,
)
from lycheepath.core.placement.load_reports import TargetLoadReport
from lycheepath.core.placement.loads import TargetLoad
from lycheepath.core.serving.requests import PromptPart

TEXT = strategies.text(max_size=12)
COUNT = strategies.integers(0, 2**52)
COUNTS = strategies.dictionaries(strategies.integers(0, 9), COUNT, max_size=3)
SECONDS = strategies.integers(0, 99_999).map(lambda n: n / 10_000)
PARTS = strategies.lists(strategies.builds(PromptPart, TEXT, COUNT), max_size=3).map(
    tuple
)
QUERIES = strategies.builds(
    LoadQuery, COUNT, TEXT, PARTS, strategies.lists(TEXT, max_size=4).map(tuple)
)
QUOTES = strategies.builds(TargetLoadReport, COUNT, COUNTS, COUNT, SECONDS)
REPLIES = strategies.builds(
    LoadReply, COUNT, TEXT, strategies.dictionaries(TEXT, QUOTES, max_size=3)
)
LOADS = strategies.builds(TargetLoad, COUNT, COUNTS, SECONDS)
UPDATES = strategies.builds(
    LoadUpdate,
    TEXT,
    strategies.dictionaries(TEXT, LOADS, max_size=3),
    strategies.lists(strategies.tuples(TEXT, PARTS), max_size=3).map(tuple),
)


@given(strategies.one_of(QUERIES, REPLIES, UPDATES))
def test_message_is_decoded_as_it_was_encoded(message: LoadMessage) -> None:
    fields = orjson.loads(encode_message(message))
    assert is_load_message(fields[0])
    assert decode_message(fields) == message


@given(strategies.one_of(QUERIES, REPLIES, UPDATES), strategies.integers(1, 5))
def test_message_that_lacks_fields_is_rejected(message: LoadMessage, kept: int) -> None:
    fields = orjson.loads(encode_message(message))
    if kept < len(fields):
        with pytest.raises(MessageError):
            decode_message(fields[:kept])


@pytest.mark.parametrize(
    "fields", [[], [0], [LOAD_QUERY], [LOAD_QUERY, "x", "h", [], []], [[1], 2, 3]]
)
def test_fields_that_are_no_message_are_rejected(fields: list[object]) -> None:
    with pytest.raises(MessageError):
        decode_message(fields)
