"""
Messages between the hosts of a region on brittle targets, as datagrams of JSON.

A ``GrantQuery`` asks a target's coordinator for room for one request there; the
``GrantReply`` grants it or names the time after which to ask again. A ``RefusalReport``
tells that a target has turned a request away for want of room, a ``BrittleReport`` which
services' targets state that they are brittle. Hosts of versions without these messages
drop them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..core.json_values import read_integer, read_number, read_serial, read_text
from ..core.placement.brittleness import BrittleStatement
from .load_messages import decode_by_kind

if TYPE_CHECKING:
    from collections.abc import Callable

# The first field of each datagram, unlike those of all other kinds.
GRANT_QUERY, GRANT_REPLY, REFUSAL_REPORT, BRITTLE_REPORT = 41, 42, 43, 44
# Largest limit, in requests per second, and longest time, in seconds, that are read.
MAX_LIMIT = 1_000_000
MAX_TIME_S = 3600.0


@dataclass(frozen=True, slots=True)
class GrantQuery:
    """
    A host's query for room at one instance of a target.

    ``limit`` is how many requests the target can turn away in a second, ``in_flight``
    the number of the host's requests there.
    """

    number: int
    host: str
    target: str
    born_ms: int
    limit: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class GrantReply:
    """A coordinator's answer: room if ``wait_s`` is 0, else when to ask again."""

    number: int
    host: str
    wait_s: float


@dataclass(frozen=True, slots=True)
class RefusalReport:
    """An instance of a target has turned a request of ``host`` away."""

    host: str
    target: str
    born_ms: int
    limit: int


@dataclass(frozen=True, slots=True)
class BrittleReport:
    """What a host knows of the brittle targets of its region."""

    host: str
    statements: tuple[BrittleStatement, ...]


GrantMessage = GrantQuery | GrantReply | RefusalReport | BrittleReport


def encode_grant_message(message: GrantMessage) -> bytes:
    """Return the datagram for a message."""
    fields: list[Any]
    if isinstance(message, GrantQuery):
        fields = [GRANT_QUERY, message.number, message.host, message.target]
        fields += [message.born_ms, message.limit, message.in_flight]
    elif isinstance(message, GrantReply):
        fields = [GRANT_REPLY, message.number, message.host, round(message.wait_s, 4)]
    elif isinstance(message, RefusalReport):
        fields = [REFUSAL_REPORT, message.host, message.target]
        fields += [message.born_ms, message.limit]
    else:
        statements = [
            [each.service, each.limit, round(min(MAX_TIME_S, each.age_s), 4)]
            for each in message.statements
        ]
        fields = [BRITTLE_REPORT, message.host, statements]
    return orjson.dumps(fields)


def decode_grant_message(fields: list[Any]) -> GrantMessage:
    """Return the message of a datagram's fields; raises MessageError."""
    return decode_by_kind(_DECODERS, fields)


def is_grant_message(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of a message on brittle targets."""
    return kind in (GRANT_QUERY, GRANT_REPLY, REFUSAL_REPORT, BRITTLE_REPORT)


def _decode_query(fields: list[Any]) -> GrantQuery:
    number, host, target, born_ms, limit, in_flight = fields
    return GrantQuery(
        read_serial(number),
        read_text(host),
        read_text(target),
        read_serial(born_ms),
        read_integer(limit, 0, MAX_LIMIT),
        read_integer(in_flight, 0),
    )


def _decode_reply(fields: list[Any]) -> GrantReply:
    number, host, wait_s = fields
    wait_s = read_number(wait_s, 0.0, MAX_TIME_S)
    return GrantReply(read_serial(number), read_text(host), wait_s)


def _decode_refusal(fields: list[Any]) -> RefusalReport:
    host, target, born_ms, limit = fields
    return RefusalReport(
        read_text(host),
        read_text(target),
        read_serial(born_ms),
        read_integer(limit, 0, MAX_LIMIT),
    )


def _decode_brittle(fields: list[Any]) -> BrittleReport:
    host, statements = fields
    return BrittleReport(
        read_text(host),
        tuple(
            BrittleStatement(
                read_text(service),
                read_integer(limit, 0, MAX_LIMIT),
                read_number(age_s, 0.0, MAX_TIME_S),
            )
            for service, limit, age_s in statements
        ),
    )


_DECODERS: dict[Any, Callable[[list[Any]], GrantMessage]] = {
    GRANT_QUERY: _decode_query,
    GRANT_REPLY: _decode_reply,
    REFUSAL_REPORT: _decode_refusal,
    BRITTLE_REPORT: _decode_brittle,
}
