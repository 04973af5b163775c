from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lycheepath.core.reasons import Reason
from lycheepath.core.streams.assembly import (
    AnswerStream,
    ChunkFault,
    Complete,
    Failed,
    StreamInvariantError,
)
from lycheepath.core.streams.chunks import Chunk, read_chunk
from tests.core.randomised import run_machine

ANSWER = tuple(f"w{number} " for number in range(12))
TALLY: Counter[str] = Counter()


def make_chunks(request_id: str, first: int) -> list[Chunk]:
    chunks = [
        Chunk(request_id, number, ANSWER[number])
        for number in range(first, len(ANSWER))
    ]
    chunks.append(Chunk(request_id, None, "", "stop", len(ANSWER)))
    return chunks


def test_stream_resumes_from_what_the_caller_has_received() -> None:
    stream = AnswerStream()
    stream.start_attempt("r-0")
    for chunk in make_chunks("r-0", 0)[:5]:
        stream.accept(chunk)
    assert stream.end_attempt("r-0")
    point = stream.start_attempt("r-1")
    assert (point.text, point.tokens) == ("".join(ANSWER[:5]), 5)
    late = stream.accept(make_chunks("r-0", 0)[5])
    assert (late.tokens, late.fault) == ((), ChunkFault.LATE)
    for chunk in make_chunks("r-1", 5):
        accepted = stream.accept(chunk)
    assert accepted.outcome == Complete("stop", len(ANSWER))
    assert stream.text == "".join(ANSWER)
    with pytest.raises(StreamInvariantError):
        stream.fail(Reason.NO_TARGET)


def test_stream_fails_an_answer_that_ends_short() -> None:
    stream = AnswerStream()
    stream.start_attempt("r-0")
    stream.accept(make_chunks("r-0", 0)[0])
    accepted = stream.accept(Chunk("r-0", None, "", "stop", len(ANSWER)))
    assert accepted.fault is ChunkFault.SHORT
    assert accepted.broken
    assert stream.fail(Reason.NO_TARGET) == Failed(Reason.NO_TARGET, 1)


def test_stream_abandons_an_attempt_with_contradictory_chunks() -> None:
    stream = AnswerStream(max_buffered=2)
    stream.start_attempt("r-0")
    chunks = make_chunks("r-0", 0)
    stream.accept(chunks[0])
    assert stream.accept(replace(chunks[0], text="other ")).broken
    stream.start_attempt("r-1")
    faults = [stream.accept(chunk).fault for chunk in make_chunks("r-1", 2)[:3]]
    assert faults == [None, None, ChunkFault.GAP]


def test_stream_drops_undelivered_tokens_of_an_earlier_attempt() -> None:
    stream = AnswerStream()
    stream.start_attempt("r-0")
    stream.accept(Chunk("r-0", 1, "undelivered "))
    stream.start_attempt("r-1")
    assert not stream.accept(Chunk("r-1", 1, "other ")).fault
    accepted = stream.accept(Chunk("r-1", 0, "first "))
    assert [token.text for token in accepted.tokens] == ["first ", "other "]


@pytest.mark.parametrize(
    "value",
    [None, [], {}, {"id": 1}, {"id": "r", "choices": {}}, {"id": "r", "choices": [1]}],
)
def test_read_chunk_rejects_invalid_values(value: object) -> None:
    assert read_chunk(value) is None


def test_read_chunk_reads_a_token_and_an_end() -> None:
    delta = {"delta": {"content": "w "}, "finish_reason": "stop"}
    value = {"id": "r", "choices": [delta], "sequence": 3}
    usage = {"completion_tokens": 4, "prompt_tokens": 9}
    assert read_chunk({**value, "usage": usage}) == Chunk("r", 3, "w ", "stop", 4)
    assert read_chunk({**value, "sequence": True}) == Chunk("r", None, "w ", "stop")


class StreamMachine(RuleBasedStateMachine):
    """Failing targets and a network that delays, repeats and reorders chunks."""

    def __init__(self) -> None:
        super().__init__()
        self.stream = AnswerStream(max_buffered=4)
        self.delivered: list[str] = []
        self.in_transit: list[Chunk] = []
        self.received: list[Chunk] = []
        self.attempts = 0
        self.current = ""
        self.start()

    def start(self) -> None:
        self.current = f"r-{self.attempts}"
        self.attempts += 1
        point = self.stream.start_attempt(self.current)
        assert point.text == "".join(self.delivered)
        self.in_transit += make_chunks(self.current, point.tokens)

    @precondition(lambda self: self.in_transit)
    @rule(indices=st.lists(st.integers(0, 3), min_size=1, max_size=8))
    def deliver(self, indices: list[int]) -> None:
        for index in indices[: len(self.in_transit)]:
            self.received.append(
                self.in_transit.pop(min(index, len(self.in_transit) - 1))
            )
            self.accept(self.received[-1])

    @precondition(lambda self: self.in_transit)
    @rule(index=st.integers(0, 3))
    def lose_chunk(self, index: int) -> None:
        self.in_transit.pop(min(index, len(self.in_transit) - 1))

    @precondition(lambda self: self.received)
    @rule(index=st.integers(0, 30))
    def deliver_again(self, index: int) -> None:
        self.accept(self.received[index % len(self.received)])

    @rule(number=st.integers(0, 12), is_last=st.booleans())
    def deliver_foreign(self, number: int, is_last: bool) -> None:
        chunk = Chunk("x-0", number, "foreign ", "stop" if is_last else "")
        assert not self.stream.accept(chunk).tokens

    @rule(altered=st.integers(0, 12))
    def deliver_altered(self, altered: int) -> None:
        if altered < self.stream.tokens and self.stream.outcome is None:
            self.accept(Chunk(self.current, altered, "altered "))

    @rule()
    def lose_target(self) -> None:
        if self.stream.end_attempt(self.current):
            TALLY["resumed"] += 1
            self.start()

    def accept(self, chunk: Chunk) -> None:
        TALLY["chunks"] += 1
        accepted = self.stream.accept(chunk)
        self.delivered += [token.text for token in accepted.tokens]
        if accepted.broken:
            TALLY["broken"] += 1
            self.start()

    @invariant()
    def caller_has_a_correct_prefix(self) -> None:
        assert tuple(self.delivered) == ANSWER[: len(self.delivered)]
        if self.stream.outcome is not None:
            assert tuple(self.delivered) == ANSWER
            TALLY["complete"] += 1


def test_stream_machine_gives_each_token_once() -> None:
    run_machine(StreamMachine, TALLY)
    assert TALLY["complete"] and TALLY["resumed"] and TALLY["broken"]
