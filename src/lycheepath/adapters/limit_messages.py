"""
Messages between the hosts of a region on the limits of targets, as datagrams of JSON.

A ``PermitQuery`` asks a target's coordinator for a permit to send one request there;
the ``PermitReply`` grants it or names the time until one is available. Both carry what
their sender knows of the limit, and a ``LimitReport`` only that. Hosts of versions
without these messages drop them, and are sent no others in their place.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..core.json_values import read_number, read_serial, read_text
from ..core.placement.rate_limit import LimitStatement
from .load_messages import decode_by_kind

if TYPE_CHECKING:
    from collections.abc import Callable

# The first field of each datagram, unlike those of heartbeats and load messages.
LIMIT_REPORT, PERMIT_QUERY, PERMIT_REPLY = 34, 35, 36


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What a host knows of the limits of some targets."""

    host: str
    statements: tuple[LimitStatement, ...]


@dataclass(frozen=True, slots=True)
class PermitQuery:
    """A host's query for a permit; ``statement`` is what it knows of the limit."""

    number: int
    host: str
    statement: LimitStatement


@dataclass(frozen=True, slots=True)
class PermitReply:
    """A coordinator's answer: a permit if ``wait_s`` is 0, else the time until one."""

    number: int
    host: str
    wait_s: float
    statement: LimitStatement


LimitMessage = LimitReport | PermitQuery | PermitReply


def encode_limit_message(message: LimitMessage) -> bytes:
    """Return the datagram for a message."""
    if isinstance(message, LimitReport):
        statements = [_encode_statement(each) for each in message.statements]
        return orjson.dumps([LIMIT_REPORT, message.host, statements])
    statement = _encode_statement(message.statement)
    if isinstance(message, PermitQuery):
        return orjson.dumps([PERMIT_QUERY, message.number, message.host, statement])
    wait_s = round(message.wait_s, 4)
    return orjson.dumps([PERMIT_REPLY, message.number, message.host, wait_s, statement])


def decode_limit_message(fields: list[Any]) -> LimitMessage:
    """Return the message of a datagram's fields; raises MessageError."""
    return decode_by_kind(_DECODERS, fields)


def is_limit_message(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of a limit message."""
    return kind in (LIMIT_REPORT, PERMIT_QUERY, PERMIT_REPLY)


def _decode_report(fields: list[Any]) -> LimitReport:
    host, statements = fields
    return LimitReport(
        read_text(host), tuple(_decode_statement(each) for each in statements)
    )


def _decode_query(fields: list[Any]) -> PermitQuery:
    number, host, statement = fields
    return PermitQuery(
        read_serial(number), read_text(host), _decode_statement(statement)
    )


def _decode_reply(fields: list[Any]) -> PermitReply:
    number, host, wait_s, statement = fields
    return PermitReply(
        read_serial(number),
        read_text(host),
        read_number(wait_s),
        _decode_statement(statement),
    )


def _encode_statement(statement: LimitStatement) -> list[Any]:
    return [
        statement.target,
        statement.born_ms,
        statement.rate,
        round(statement.age_s, 4),
    ]


def _decode_statement(fields: Any) -> LimitStatement:
    target, born_ms, rate, age_s = fields
    rate = None if rate is None else read_number(rate)
    if rate is not None and not rate > 0.0:
        raise ValueError(f"the limit {rate!r} isn't positive")
    return LimitStatement(
        read_text(target), read_serial(born_ms), rate, read_number(age_s)
    )


_DECODERS: dict[Any, Callable[[list[Any]], LimitMessage]] = {
    LIMIT_REPORT: _decode_report,
    PERMIT_QUERY: _decode_query,
    PERMIT_REPLY: _decode_reply,
}
