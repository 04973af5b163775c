"""
The tokens of one answer, in order, across the targets that produced them.

Chunks are matched by the request's identity and by their number, never by the
connection that they came on. A number that was already passed on is dropped
when it repeats the same text; a gap or another text is a fault of the target.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

DONE_PAYLOAD = b"[DONE]"


@dataclass(frozen=True, slots=True)
class Token:
    """One token of an answer; ``raw`` is the chunk's JSON as it arrived."""

    sequence: int
    text: str
    raw: bytes
    finish_reason: str | None
    usage: dict[str, Any] | None


class BrokenAnswerError(Exception):
    """A target sent a chunk that does not belong at this place."""


@dataclass(slots=True)
class TokenStream:
    """
    The answer to one request so far.

    ``whole`` is set by the chunk that carries a finish reason. ``texts``
    holds what was passed on, from which another target can resume.
    """

    request_id: str
    texts: list[str] = field(default_factory=list)
    whole: bool = False
    duplicates: int = 0

    def accept(self, payloads: list[bytes]) -> list[Token]:
        """Return the new tokens among the payloads; raises BrokenAnswerError."""
        accepted = []
        for payload in payloads:
            if payload == DONE_PAYLOAD:
                continue
            token = self._read(payload)
            if self._is_new(token):
                self._append(token)
                accepted.append(token)
        return accepted

    def _append(self, token: Token) -> None:
        if token.text or token.finish_reason is None:
            self.texts.append(token.text)
        if token.finish_reason is None:
            return
        self.whole = True
        expected = (token.usage or {}).get("completion_tokens", len(self.texts))
        if expected != len(self.texts):
            message = f"the answer ended after {len(self.texts)} of {expected} tokens"
            raise BrokenAnswerError(message)

    def resume_text(self) -> str:
        """Return the text that was passed on."""
        return "".join(self.texts)

    def _read(self, payload: bytes) -> Token:
        try:
            chunk = orjson.loads(payload)
            choice = chunk["choices"][0]
            finish_reason = choice.get("finish_reason")
            sequence = chunk.get("sequence")
            if sequence is None and finish_reason is not None:
                sequence = len(self.texts)
            token = Token(
                int(sequence),
                choice["delta"].get("content") or "",
                payload,
                finish_reason,
                chunk.get("usage"),
            )
            identity = chunk["id"]
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            message = f"malformed chunk: {error!r}"
            raise BrokenAnswerError(message) from error
        if identity != self.request_id:
            message = f"a chunk of request {identity} arrived"
            raise BrokenAnswerError(message)
        return token

    def _is_new(self, token: Token) -> bool:
        expected = len(self.texts)
        if token.sequence == expected:
            if self.whole:
                message = f"token {token.sequence} after the end"
                raise BrokenAnswerError(message)
            return True
        if token.sequence < expected and self.texts[token.sequence] == token.text:
            self.duplicates += 1
            return False
        message = f"token {token.sequence} arrived in place of {expected}"
        raise BrokenAnswerError(message)
