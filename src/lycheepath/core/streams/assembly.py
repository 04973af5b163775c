"""
Assembly of one caller's answer from the chunks of one or more targets.

Only chunks of the present attempt count, matched by request id and token
number and never by the connection that they came on. When a target dies the
next one resumes from exactly what the caller has, and the answer ends either
whole or with an explicit error::

    stream = AnswerStream()
    stream.start_attempt("r1-0")
    accepted = stream.accept(chunk)
    for token in accepted.tokens:
        await send(token.text)
    if accepted.broken:
        point = stream.start_attempt("r1-1")  # ask another target to resume
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from ..reasons import Reason
    from .chunks import Chunk

MAX_HELD_CHUNKS = 64
MAX_ANSWER_TOKENS = 131_072


class StreamInvariantError(AssertionError):
    """A step that would give a caller a wrong, doubled or missing token."""


class ChunkFault(Enum):
    """What is wrong with a chunk or with the attempt that it belongs to."""

    FOREIGN = "foreign"
    LATE = "late"
    DUPLICATE = "duplicate"
    ALTERED = "altered"
    UNNUMBERED = "unnumbered"
    GAP = "gap"
    SHORT = "short"
    TOO_LONG = "too-long"


BREAKING_FAULTS = frozenset(
    {
        ChunkFault.ALTERED,
        ChunkFault.UNNUMBERED,
        ChunkFault.GAP,
        ChunkFault.SHORT,
        ChunkFault.TOO_LONG,
    }
)


@dataclass(frozen=True, slots=True)
class Token:
    """A token with its number in the answer."""

    sequence: int
    text: str


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """What the caller already has: the text and the number of its tokens."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer ended; the caller has all of it."""

    finish_reason: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The answer ended in an error that the caller is told."""

    reason: Reason
    tokens: int


Outcome: TypeAlias = Complete | Failed


@dataclass(frozen=True, slots=True)
class Accepted:
    """
    What a chunk yielded.

    ``tokens`` go to the caller in this order. ``broken`` says that the
    attempt is of no more use: cancel it and start another or fail.
    """

    tokens: tuple[Token, ...] = ()
    fault: ChunkFault | None = None
    outcome: Outcome | None = None

    @property
    def broken(self) -> bool:
        """Whether the attempt must be given up."""
        return self.fault in BREAKING_FAULTS


@dataclass(slots=True)
class AnswerStream:
    """
    The state of one caller's answer.

    ``max_held`` bounds the chunks that wait for an earlier one; ``faults``
    counts what was dropped.
    """

    max_held: int = MAX_HELD_CHUNKS
    max_tokens: int = MAX_ANSWER_TOKENS
    faults: Counter[ChunkFault] = field(default_factory=Counter)
    outcome: Outcome | None = None
    _texts: list[str] = field(default_factory=list)
    _held: dict[int, str] = field(default_factory=dict)
    _attempt: str = ""
    _first: int = 0
    _earlier: set[str] = field(default_factory=set)
    _end: int | None = None
    _finish_reason: str = ""

    @property
    def text(self) -> str:
        """The text that the caller has so far."""
        return "".join(self._texts)

    @property
    def tokens(self) -> int:
        """The number of tokens that the caller has so far."""
        return len(self._texts)

    def start_attempt(self, request_id: str) -> ResumePoint:
        """
        Turn to a target, the first or the next one, under a new request id.

        Returns where that target has to begin. What an earlier attempt still
        sends is dropped from now on.
        """
        if self.outcome is not None:
            raise StreamInvariantError("an attempt was started after the end")
        if request_id == self._attempt or request_id in self._earlier:
            raise StreamInvariantError("two attempts had the same request id")
        self._give_up_attempt()
        self._attempt = request_id
        self._first = self.tokens
        return ResumePoint(self.text, self.tokens)

    def accept(self, chunk: Chunk) -> Accepted:
        """Take in a chunk; return what the caller gets now."""
        fault = self._find_misplacement(chunk) or self._hold_token(chunk)
        if fault is not None:
            return self._report(fault)
        if chunk.finish_reason:
            fault = self._note_end(chunk)
            if fault is not None:
                return self._report(fault)
        tokens = self._release_tokens()
        if self._end is not None and self.tokens == self._end:
            self._finish(Complete(self._finish_reason, self.tokens))
        return Accepted(tokens, outcome=self.outcome)

    def end_attempt(self, request_id: str) -> bool:
        """
        Note that an attempt's connection ended; say whether to go on.

        ``True`` means that the answer is not whole, so that another attempt
        or an error has to follow.
        """
        if request_id != self._attempt or self.outcome is not None:
            return False
        self._give_up_attempt()
        return True

    def fail(self, reason: Reason) -> Failed:
        """End the answer with an error, unless it is whole already."""
        if isinstance(self.outcome, Complete):
            raise StreamInvariantError("a whole answer was about to be failed")
        failed = Failed(reason, self.tokens)
        if self.outcome is None:
            self._finish(failed)
        return failed

    def _find_misplacement(self, chunk: Chunk) -> ChunkFault | None:
        if chunk.request_id in self._earlier:
            return ChunkFault.LATE
        if not self._attempt or chunk.request_id != self._attempt:
            return ChunkFault.FOREIGN
        if self.outcome is not None:
            return ChunkFault.LATE
        return None

    def _hold_token(self, chunk: Chunk) -> ChunkFault | None:
        if not chunk.text:
            return None
        sequence = chunk.sequence
        if sequence is None:
            return ChunkFault.UNNUMBERED
        known = self._known_text(sequence)
        if known is not None:
            same = known == chunk.text
            return ChunkFault.DUPLICATE if same else ChunkFault.ALTERED
        if sequence < self._first or (self._end is not None and sequence >= self._end):
            return ChunkFault.ALTERED
        if sequence >= self.max_tokens:
            return ChunkFault.TOO_LONG
        if len(self._held) >= self.max_held and sequence != self.tokens:
            return ChunkFault.GAP
        self._held[sequence] = chunk.text
        return None

    def _known_text(self, sequence: int) -> str | None:
        if sequence < self.tokens:
            return self._texts[sequence]
        return self._held.get(sequence)

    def _note_end(self, chunk: Chunk) -> ChunkFault | None:
        end = self._find_end(chunk)
        if self._end not in (None, end) or any(held >= end for held in self._held):
            return ChunkFault.ALTERED
        if end < self.tokens or not self._agrees(chunk.completion_tokens, end):
            return ChunkFault.SHORT
        self._end = end
        self._finish_reason = chunk.finish_reason
        return None

    def _find_end(self, chunk: Chunk) -> int:
        if chunk.text and chunk.sequence is not None:
            return chunk.sequence + 1
        return max(self._held, default=self.tokens - 1) + 1

    def _agrees(self, counted: int | None, end: int) -> bool:
        return counted in (None, end, end - self._first)

    def _release_tokens(self) -> tuple[Token, ...]:
        released: list[Token] = []
        while self.tokens in self._held:
            token = Token(self.tokens, self._held.pop(self.tokens))
            self._texts.append(token.text)
            released.append(token)
        if released and self.tokens != released[-1].sequence + 1:
            raise StreamInvariantError("a token was missing or doubled")
        return tuple(released)

    def _report(self, fault: ChunkFault) -> Accepted:
        self.faults[fault] += 1
        if fault in BREAKING_FAULTS:
            self._give_up_attempt()
        return Accepted(fault=fault, outcome=self.outcome)

    def _give_up_attempt(self) -> None:
        if self._attempt:
            self._earlier.add(self._attempt)
        self._attempt = ""
        self._held.clear()
        self._end = None

    def _finish(self, outcome: Outcome) -> None:
        if self.outcome is not None:
            raise StreamInvariantError("an answer ended twice")
        if isinstance(outcome, Complete) and (self._held or self.tokens != self._end):
            raise StreamInvariantError("an answer ended whole with tokens missing")
        self.outcome = outcome
        self._give_up_attempt()
