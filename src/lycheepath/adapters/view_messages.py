"""
Messages between hosts on how recent their configurations are, as datagrams of JSON.

A ``ViewQuery`` asks a host for its configuration's version and the age of its proof, which the ``ViewReply`` states. Hosts of versions without these messages drop
them, and are sent no others in their place.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..core.json_values import read_number, read_serial, read_text
from .load_messages import decode_by_kind

if TYPE_CHECKING:
    from collections.abc import Callable

# The first field of each datagram, unlike those of the other messages.
VIEW_QUERY, VIEW_REPLY = 50, 51


@dataclass(frozen=True, slots=True)
class ViewQuery:
    """A host's query; ``number`` is drawn at random."""

    number: int
    host: str


@dataclass(frozen=True, slots=True)
class ViewReply:
    """What a host has, and the time since that was proven when it replied."""

    number: int
    host: str
    version: int
    age_s: float


ViewMessage = ViewQuery | ViewReply


def encode_view_message(message: ViewMessage) -> bytes:
    """Return the datagram for a message."""
    if isinstance(message, ViewQuery):
        return orjson.dumps([VIEW_QUERY, message.number, message.host])
    # Rounded up, as a proof may only get older on its way.
    age_s = math.ceil(message.age_s * 1000.0) / 1000.0
    return orjson.dumps(
        [VIEW_REPLY, message.number, message.host, message.version, age_s]
    )


def decode_view_message(fields: list[Any]) -> ViewMessage:
    """Return the message of a datagram's fields; raises MessageError."""
    return decode_by_kind(_DECODERS, fields)


def is_view_message(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of a view message."""
    return kind in (VIEW_QUERY, VIEW_REPLY)


def _decode_query(fields: list[Any]) -> ViewQuery:
    number, host = fields
    return ViewQuery(read_serial(number), read_text(host))


def _decode_reply(fields: list[Any]) -> ViewReply:
    number, host, version, age_s = fields
    age_s = read_number(age_s)
    if age_s < 0.0:
        raise ValueError(f"the age {age_s!r} is negative")
    return ViewReply(
        read_serial(number),
        read_text(host),
        read_serial(version),
        age_s,
    )


_DECODERS: dict[Any, Callable[[list[Any]], ViewMessage]] = {
    VIEW_QUERY: _decode_query,
    VIEW_REPLY: _decode_reply,
}
