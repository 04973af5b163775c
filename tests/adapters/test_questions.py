from __future__ import annotations

import orjson
import pytest
from hypothesis import given, strategies

from lycheepath.adapters.questions import (
    QUESTION,
    LoadNews,
    Message,
    MessageError,
    Question,
    Reply,
    decode_message,
    encode_message,
    is_message,
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
QUESTIONS = strategies.builds(
    Question, COUNT, TEXT, PARTS, strategies.lists(TEXT, max_size=4).map(tuple)
)
QUOTES = strategies.builds(TargetLoadReport, COUNT, COUNTS, COUNT, SECONDS)
REPLIES = strategies.builds(
    Reply, COUNT, TEXT, strategies.dictionaries(TEXT, QUOTES, max_size=3)
)
LOADS = strategies.builds(TargetLoad, COUNT, COUNTS, SECONDS)
NEWS = strategies.builds(
    LoadNews,
    TEXT,
    strategies.dictionaries(TEXT, LOADS, max_size=3),
    strategies.lists(strategies.tuples(TEXT, PARTS), max_size=3).map(tuple),
)


@given(strategies.one_of(QUESTIONS, REPLIES, NEWS))
def test_message_comes_back_as_it_was_sent(message: Message) -> None:
    fields = orjson.loads(encode_message(message))
    assert is_message(fields[0])
    assert decode_message(fields) == message


@given(strategies.one_of(QUESTIONS, REPLIES, NEWS), strategies.integers(1, 5))
def test_message_that_lacks_fields_is_told_so(message: Message, kept: int) -> None:
    fields = orjson.loads(encode_message(message))
    if kept < len(fields):
        with pytest.raises(MessageError):
            decode_message(fields[:kept])


@pytest.mark.parametrize(
    "fields", [[], [0], [QUESTION], [QUESTION, "x", "h", [], []], [[1], 2, 3]]
)
def test_fields_that_are_no_message_are_told_so(fields: list[object]) -> None:
    with pytest.raises(MessageError):
        decode_message(fields)
