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


def test_stream_resumes_from_what_the_caller_has() -> None:
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


def test_stream_breaks_off_rather_than_ending_short() -> None:
    stream = AnswerStream()
    stream.start_attempt("r-0")
    stream.accept(make_chunks("r-0", 0)[0])
    accepted = stream.accept(Chunk("r-0", None, "", "stop", len(ANSWER)))
    assert accepted.fault is ChunkFault.SHORT
    assert accepted.broken
    assert stream.fail(Reason.NO_TARGET) == Failed(Reason.NO_TARGET, 1)


def test_stream_gives_up_a_target_that_contradicts_itself() -> None:
    stream = AnswerStream(max_held=2)
    stream.start_attempt("r-0")
    chunks = make_chunks("r-0", 0)
    stream.accept(chunks[0])
    assert stream.accept(replace(chunks[0], text="other ")).broken
    stream.start_attempt("r-1")
    faults = [stream.accept(chunk).fault for chunk in make_chunks("r-1", 2)[:3]]
    assert faults == [None, None, ChunkFault.GAP]


def test_stream_mixes_no_undelivered_tokens_of_two_targets() -> None:
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
def test_read_chunk_refuses_what_is_no_chunk(value: object) -> None:
    assert read_chunk(value) is None


def test_read_chunk_reads_a_token_and_an_end() -> None:
    delta = {"delta": {"content": "w "}, "finish_reason": "stop"}
    value = {"id": "r", "choices": [delta], "sequence": 3}
    usage = {"completion_tokens": 4, "prompt_tokens": 9}
    assert read_chunk({**value, "usage": usage}) == Chunk("r", 3, "w ", "stop", 4)
    assert read_chunk({**value, "sequence": True}) == Chunk("r", None, "w ", "stop")


class StreamMachine(RuleBasedStateMachine):
    """Targets that die, and a network that delays, repeats and mixes chunks."""

    def __init__(self) -> None:
        super().__init__()
        self.stream = AnswerStream(max_held=4)
        self.delivered: list[str] = []
        self.waiting: list[Chunk] = []
        self.seen: list[Chunk] = []
        self.attempts = 0
        self.current = ""
        self.start()

    def start(self) -> None:
        self.current = f"r-{self.attempts}"
        self.attempts += 1
        point = self.stream.start_attempt(self.current)
        assert point.text == "".join(self.delivered)
        self.waiting += make_chunks(self.current, point.tokens)

    @precondition(lambda self: self.waiting)
    @rule(places=st.lists(st.integers(0, 3), min_size=1, max_size=8))
    def deliver(self, places: list[int]) -> None:
        for place in places[: len(self.waiting)]:
            self.seen.append(self.waiting.pop(min(place, len(self.waiting) - 1)))
            self.take(self.seen[-1])

    @precondition(lambda self: self.waiting)
    @rule(place=st.integers(0, 3))
    def lose_chunk(self, place: int) -> None:
        self.waiting.pop(min(place, len(self.waiting) - 1))

    @precondition(lambda self: self.seen)
    @rule(place=st.integers(0, 30))
    def deliver_again(self, place: int) -> None:
        self.take(self.seen[place % len(self.seen)])

    @rule(number=st.integers(0, 12), ending=st.booleans())
    def deliver_foreign(self, number: int, ending: bool) -> None:
        chunk = Chunk("x-0", number, "foreign ", "stop" if ending else "")
        assert not self.stream.accept(chunk).tokens

    @rule(altered=st.integers(0, 12))
    def deliver_altered(self, altered: int) -> None:
        if altered < self.stream.tokens and self.stream.outcome is None:
            self.take(Chunk(self.current, altered, "altered "))

    @rule()
    def lose_target(self) -> None:
        if self.stream.end_attempt(self.current):
            TALLY["resumed"] += 1
            self.start()

    def take(self, chunk: Chunk) -> None:
        TALLY["chunks"] += 1
        accepted = self.stream.accept(chunk)
        self.delivered += [token.text for token in accepted.tokens]
        if accepted.broken:
            TALLY["broken"] += 1
            self.start()

    @invariant()
    def caller_has_a_true_prefix(self) -> None:
        assert tuple(self.delivered) == ANSWER[: len(self.delivered)]
        if self.stream.outcome is not None:
            assert tuple(self.delivered) == ANSWER
            TALLY["whole"] += 1


def test_stream_machine_gives_each_token_once() -> None:
    run_machine(StreamMachine, TALLY)
    assert TALLY["whole"] and TALLY["resumed"] and TALLY["broken"]
