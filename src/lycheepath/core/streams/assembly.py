"""
Assembly of one caller's answer from the chunks of one or more targets.

Only chunks of the current attempt are accepted. They are matched by request id
and token number, never by the connection on which they arrived. If a target
fails, the next one resumes from exactly what the caller has received, and the
answer ends either complete or with an explicit error::

    stream = AnswerStream()
    stream.start_attempt("r1-0")
    accepted = stream.accept(chunk)
    for token in accepted.tokens:
        await send(token.text)
    if accepted.broken:
        point = stream.start_attempt("r1-1")  # resume at another target
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from ..reasons import Reason
    from .chunks import Chunk

MAX_BUFFERED_CHUNKS = 64
MAX_ANSWER_TOKENS = 131_072


class StreamInvariantError(AssertionError):
    """A step would give the caller a wrong, duplicated or missing token."""


class ChunkFault(Enum):
    """Why a chunk, or the attempt that it belongs to, is faulty."""

    FOREIGN = "foreign"
    LATE = "late"
    DUPLICATE = "duplicate"
    ALTERED = "altered"
    UNNUMBERED = "unnumbered"
    GAP = "gap"
    SHORT = "short"
    TOO_LONG = "too-long"


FATAL_FAULTS = frozenset(
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
    """What the caller has received: the text and the number of its tokens."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Complete:
    """The answer ended, and the caller has received all of it."""

    finish_reason: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The answer ended with an error that is sent to the caller."""

    reason: Reason
    tokens: int


Outcome: TypeAlias = Complete | Failed


@dataclass(frozen=True, slots=True)
class Accepted:
    """
    The result of accepting a chunk.

    ``tokens`` are to be sent to the caller in this order. If ``broken`` is set,
    the attempt must be cancelled and followed by another one or by an error.
    """

    tokens: tuple[Token, ...] = ()
    fault: ChunkFault | None = None
    outcome: Outcome | None = None

    @property
    def broken(self) -> bool:
        """Whether the attempt must be abandoned."""
        return self.fault in FATAL_FAULTS


@dataclass(slots=True)
class AnswerStream:
    """
    The state of the answer to one request.

    ``max_buffered`` bounds the chunks that are buffered until an earlier one
    arrives; ``faults`` counts the dropped chunks.
    """

    max_buffered: int = MAX_BUFFERED_CHUNKS
    max_tokens: int = MAX_ANSWER_TOKENS
    faults: Counter[ChunkFault] = field(default_factory=Counter)
    outcome: Outcome | None = None
    _texts: list[str] = field(default_factory=list)
    _buffered: dict[int, str] = field(default_factory=dict)
    _attempt: str = ""
    _attempt_start: int = 0
    _earlier_attempts: set[str] = field(default_factory=set)
    _end: int | None = None
    _finish_reason: str = ""

    @property
    def text(self) -> str:
        """The text that the caller has received so far."""
        return "".join(self._texts)

    @property
    def tokens(self) -> int:
        """The number of tokens that the caller has received so far."""
        return len(self._texts)

    def start_attempt(self, request_id: str) -> ResumePoint:
        """
        Start an attempt at the first or next target, under a new request id.

        Returns the point from which that target must resume. From now on,
        chunks of earlier attempts are dropped.
        """
        if self.outcome is not None:
            raise StreamInvariantError("an attempt was started after the end")
        if request_id == self._attempt or request_id in self._earlier_attempts:
            raise StreamInvariantError("two attempts had the same request id")
        self._abandon_attempt()
        self._attempt = request_id
        self._attempt_start = self.tokens
        return ResumePoint(self.text, self.tokens)

    def accept(self, chunk: Chunk) -> Accepted:
        """Accept a chunk; return the tokens to send to the caller now."""
        fault = self._check_attempt(chunk) or self._buffer_token(chunk)
        if fault is not None:
            return self._record_fault(fault)
        if chunk.finish_reason:
            fault = self._record_end(chunk)
            if fault is not None:
                return self._record_fault(fault)
        tokens = self._release_tokens()
        if self._end is not None and self.tokens == self._end:
            self._finish(Complete(self._finish_reason, self.tokens))
        return Accepted(tokens, outcome=self.outcome)

    def end_attempt(self, request_id: str) -> bool:
        """
        Record that an attempt's connection ended; return whether to continue.

        ``True`` means that the answer is incomplete, so that another attempt
        or an error must follow.
        """
        if request_id != self._attempt or self.outcome is not None:
            return False
        self._abandon_attempt()
        return True

    def fail(self, reason: Reason) -> Failed:
        """
        End the answer with an error.

        Raises ``StreamInvariantError`` if it is already complete.
        """
        if isinstance(self.outcome, Complete):
            raise StreamInvariantError("a complete answer was about to be failed")
        failed = Failed(reason, self.tokens)
        if self.outcome is None:
            self._finish(failed)
        return failed

    def _check_attempt(self, chunk: Chunk) -> ChunkFault | None:
        if chunk.request_id in self._earlier_attempts:
            return ChunkFault.LATE
        if not self._attempt or chunk.request_id != self._attempt:
            return ChunkFault.FOREIGN
        if self.outcome is not None:
            return ChunkFault.LATE
        return None

    def _buffer_token(self, chunk: Chunk) -> ChunkFault | None:
        if not chunk.text:
            return None
        sequence = chunk.sequence
        if sequence is None:
            return ChunkFault.UNNUMBERED
        known = self._known_text(sequence)
        if known is not None:
            same = known == chunk.text
            return ChunkFault.DUPLICATE if same else ChunkFault.ALTERED
        if sequence < self._attempt_start or (
            self._end is not None and sequence >= self._end
        ):
            return ChunkFault.ALTERED
        if sequence >= self.max_tokens:
            return ChunkFault.TOO_LONG
        if len(self._buffered) >= self.max_buffered and sequence != self.tokens:
            return ChunkFault.GAP
        self._buffered[sequence] = chunk.text
        return None

    def _known_text(self, sequence: int) -> str | None:
        if sequence < self.tokens:
            return self._texts[sequence]
        return self._buffered.get(sequence)

    def _record_end(self, chunk: Chunk) -> ChunkFault | None:
        end = self._find_end(chunk)
        if self._end not in (None, end) or any(
            sequence >= end for sequence in self._buffered
        ):
            return ChunkFault.ALTERED
        if end < self.tokens or not self._matches_count(chunk.completion_tokens, end):
            return ChunkFault.SHORT
        self._end = end
        self._finish_reason = chunk.finish_reason
        return None

    def _find_end(self, chunk: Chunk) -> int:
        if chunk.text and chunk.sequence is not None:
            return chunk.sequence + 1
        return max(self._buffered, default=self.tokens - 1) + 1

    def _matches_count(self, counted: int | None, end: int) -> bool:
        return counted in (None, end, end - self._attempt_start)

    def _release_tokens(self) -> tuple[Token, ...]:
        released: list[Token] = []
        while self.tokens in self._buffered:
            token = Token(self.tokens, self._buffered.pop(self.tokens))
            self._texts.append(token.text)
            released.append(token)
        if released and self.tokens != released[-1].sequence + 1:
            raise StreamInvariantError("a token was missing or duplicated")
        return tuple(released)

    def _record_fault(self, fault: ChunkFault) -> Accepted:
        self.faults[fault] += 1
        if fault in FATAL_FAULTS:
            self._abandon_attempt()
        return Accepted(fault=fault, outcome=self.outcome)

    def _abandon_attempt(self) -> None:
        if self._attempt:
            self._earlier_attempts.add(self._attempt)
        self._attempt = ""
        self._buffered.clear()
        self._end = None

    def _finish(self, outcome: Outcome) -> None:
        if self.outcome is not None:
            raise StreamInvariantError("an answer ended twice")
        if isinstance(outcome, Complete) and (
            self._buffered or self.tokens != self._end
        ):
            raise StreamInvariantError(
                "an answer with missing tokens was ended as complete"
            )
        self.outcome = outcome
        self._abandon_attempt()
