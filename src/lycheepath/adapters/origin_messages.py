"""
Messages between hosts on the versions that began streams, as datagrams of JSON.

An ``OriginReport`` tells a host that keeps them for others which versions began some
streams. An ``OriginQuery`` asks for one stream; the ``OriginReply`` has its origin, or
None, and the versions of its service that were in use, or None if the host doesn't know
them all. Hosts of versions without these messages drop them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..core.json_values import read_number, read_serial, read_text
from ..core.serving.origins import Origin
from .load_messages import decode_by_kind

if TYPE_CHECKING:
    from collections.abc import Callable

# The first field of each datagram, unlike those of heartbeats and other messages.
ORIGIN_REPORT, ORIGIN_QUERY, ORIGIN_REPLY = 38, 39, 40


@dataclass(frozen=True, slots=True)
class OriginReport:
    """Streams with their origins, and the seconds since they began."""

    streams: tuple[tuple[str, Origin, float], ...]


@dataclass(frozen=True, slots=True)
class OriginQuery:
    """
    A host's query for a stream that may have begun ``window_s`` seconds ago.

    With ``part``, the last part of its prompt, it asks for the targets that hold it.
    """

    number: int
    host: str
    stream: str
    service: str
    window_s: float
    part: str = ""


@dataclass(frozen=True, slots=True)
class OriginReply:
    """
    What a host knows of the stream, and of the versions of its service.

    ``holding`` are the versions of the targets that hold the query's part.
    """

    number: int
    host: str
    origin: Origin | None
    versions: tuple[str, ...] | None
    holding: tuple[str, ...] = ()


OriginMessage = OriginReport | OriginQuery | OriginReply


def encode_origin_message(message: OriginMessage) -> bytes:
    """Return the datagram for a message."""
    if isinstance(message, OriginReport):
        streams = [
            [stream, _encode_origin(origin), round(age_s, 3)]
            for stream, origin, age_s in message.streams
        ]
        return orjson.dumps([ORIGIN_REPORT, streams])
    if isinstance(message, OriginQuery):
        return orjson.dumps(
            [
                ORIGIN_QUERY,
                message.number,
                message.host,
                message.stream,
                message.service,
                message.window_s,
                message.part,
            ]
        )
    origin = None if message.origin is None else _encode_origin(message.origin)
    return orjson.dumps(
        [
            ORIGIN_REPLY,
            message.number,
            message.host,
            origin,
            message.versions,
            message.holding,
        ]
    )


def decode_origin_message(fields: list[Any]) -> OriginMessage:
    """Return the message of a datagram's fields; raises MessageError."""
    return decode_by_kind(_DECODERS, fields)


def is_origin_message(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of one of these messages."""
    return kind in (ORIGIN_REPORT, ORIGIN_QUERY, ORIGIN_REPLY)


def _decode_report(fields: list[Any]) -> OriginReport:
    (streams,) = fields
    return OriginReport(
        tuple(
            (read_text(stream), _decode_origin(origin), read_number(age_s))
            for stream, origin, age_s in streams
        )
    )


def _decode_query(fields: list[Any]) -> OriginQuery:
    number, host, stream, service, window_s, part = fields
    return OriginQuery(
        read_serial(number),
        read_text(host),
        read_text(stream),
        read_text(service),
        read_number(window_s),
        read_text(part),
    )


def _decode_reply(fields: list[Any]) -> OriginReply:
    number, host, origin, versions, holding = fields
    return OriginReply(
        read_serial(number),
        read_text(host),
        None if origin is None else _decode_origin(origin),
        None if versions is None else tuple(read_text(version) for version in versions),
        tuple(read_text(version) for version in holding),
    )


def _encode_origin(origin: Origin) -> list[str]:
    return [origin.service, origin.version, origin.target]


def _decode_origin(fields: Any) -> Origin:
    service, version, target = fields
    return Origin(read_text(service), read_text(version), read_text(target))


_DECODERS: dict[Any, Callable[[list[Any]], OriginMessage]] = {
    ORIGIN_REPORT: _decode_report,
    ORIGIN_QUERY: _decode_query,
    ORIGIN_REPLY: _decode_reply,
}
