"""
What hosts of a region ask and tell each other of targets, as datagrams of JSON.

A ``Question`` names targets that a request may go to; the ``Reply`` of their
keeper has a quote of each that it knows. A ``LoadNews`` tells a keeper what its
sender has under way at targets, and which parts of prompts it sent there.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

from ..core.placement.load_reports import TargetLoadReport
from ..core.placement.loads import TargetLoad
from ..core.serving.requests import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable

# The first field of each datagram; beats have another one.
QUESTION, REPLY, LOAD_NEWS = 31, 32, 33


class MessageError(ValueError):
    """A datagram is no message of ours."""


@dataclass(frozen=True, slots=True)
class Question:
    """A host asks a keeper of targets, for a prompt."""

    number: int
    host: str
    parts: tuple[PromptPart, ...]
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """A keeper's quotes, by target; ``number`` is the question's."""

    number: int
    host: str
    quotes: dict[str, TargetLoadReport] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadNews:
    """What a host has under way at targets, and what prompts it sent there."""

    host: str
    loads: dict[str, TargetLoad]
    parts: tuple[tuple[str, tuple[PromptPart, ...]], ...] = ()


Message = Question | Reply | LoadNews


def encode_message(message: Message) -> bytes:
    """Return the datagram for a message."""
    if isinstance(message, Question):
        return orjson.dumps(
            [
                QUESTION,
                message.number,
                message.host,
                _encode_parts(message.parts),
                message.targets,
            ]
        )
    if isinstance(message, Reply):
        quotes = [
            [
                name,
                q.in_flight,
                list(q.unread_tokens.items()),
                q.cached_tokens,
                round(q.event_interval_s, 4),
            ]
            for name, q in message.quotes.items()
        ]
        return orjson.dumps([REPLY, message.number, message.host, quotes])
    loads = [
        [name, load.in_flight, list(load.unread_tokens.items()), load.event_interval_s]
        for name, load in message.loads.items()
    ]
    parts = [[name, _encode_parts(held)] for name, held in message.parts]
    return orjson.dumps([LOAD_NEWS, message.host, loads, parts])


def decode_message(fields: list[Any]) -> Message:
    """Return the message of a datagram's fields; raises MessageError."""
    try:
        kind, *rest = fields
        return _DECODERS[kind](rest)
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(f"the datagram can't be read: {error}") from error


def is_message(kind: Any) -> bool:
    """Whether a datagram's first field says that it is one of these messages."""
    return kind in (QUESTION, REPLY, LOAD_NEWS)


def _decode_question(fields: list[Any]) -> Question:
    number, host, parts, targets = fields
    return Question(
        int(number),
        str(host),
        _decode_parts(parts),
        tuple(str(target) for target in targets),
    )


def _decode_reply(fields: list[Any]) -> Reply:
    number, host, quotes = fields
    return Reply(
        int(number),
        str(host),
        {
            str(name): TargetLoadReport(
                int(n), _decode_counts(unread), int(cached), float(event_s)
            )
            for name, n, unread, cached, event_s in quotes
        },
    )


def _decode_load_news(fields: list[Any]) -> LoadNews:
    host, loads, parts = fields
    return LoadNews(
        str(host),
        {
            str(name): TargetLoad(int(n), _decode_counts(tokens), float(event_s))
            for name, n, tokens, event_s in loads
        },
        tuple((str(name), _decode_parts(held)) for name, held in parts),
    )


def _decode_counts(fields: Any) -> dict[int, int]:
    return {int(urgency): int(tokens) for urgency, tokens in fields}


def _encode_parts(parts: tuple[PromptPart, ...]) -> list[Any]:
    return [[part.id, part.tokens] for part in parts]


def _decode_parts(fields: Any) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(str(name), int(tokens)) for name, tokens in fields)


_DECODERS: dict[Any, Callable[[list[Any]], Message]] = {
    QUESTION: _decode_question,
    REPLY: _decode_reply,
    LOAD_NEWS: _decode_load_news,
}
