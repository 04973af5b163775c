"""
Messages between the hosts of a region on the load of targets, as datagrams of JSON.

A ``LoadQuery`` names targets to which a request may go; the ``LoadReply`` of their
coordinator has a load report for each one that it knows. A ``LoadUpdate`` reports the
sender's in-flight requests at targets to their coordinator, and the parts of prompts
that the sender sent there.

What was observed of a target's pace is an entry of its own in a reply or an update,
after that of the target's load. All of it is in the entry's name, which begins with
``PACE_PREFIX``. No target has such a name, so hosts of earlier versions read the entry
as the load of a target that they don't know and ignore it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, TypeVar

import orjson

from ..core.json_values import (
    describe_error,
    read_integer,
    read_number,
    read_serial,
    read_text,
)
from ..core.placement.load_reports import TargetLoadReport
from ..core.placement.loads import TargetLoad
from ..core.placement.pace import PaceReport, is_valid
from ..core.serving.requests import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

Message = TypeVar("Message")
Load = TypeVar("Load", TargetLoad, TargetLoadReport)
# The first field of each datagram; that of heartbeats has another value.
LOAD_QUERY, LOAD_REPLY, LOAD_UPDATE = 31, 32, 33
# Prefix of the name of an entry with a target's pace; the target's id and the figures
# follow, each after a line break. The ids of targets have no control characters.
PACE_PREFIX = "pace\n"
# Figures are sent as whole numbers of these parts.
PACE_PARTS = 1000
PACE_FIGURES = "%.0f %.0f %.0f %.0f %.0f %.0f %d"
# Largest number of concurrent requests that a target is said to handle well.
MAX_PACE_LIMIT = 100_000


class MessageError(ValueError):
    """A datagram isn't a valid message between hosts."""


@dataclass(frozen=True, slots=True)
class LoadQuery:
    """A host's query to the coordinator of some targets, for a prompt."""

    number: int
    host: str
    parts: tuple[PromptPart, ...]
    targets: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LoadReply:
    """A coordinator's load reports, by target; ``number`` is the query's."""

    number: int
    host: str
    reports: dict[str, TargetLoadReport] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadUpdate:
    """A host's in-flight requests at targets, and the prompts that it sent there."""

    host: str
    loads: dict[str, TargetLoad]
    parts: tuple[tuple[str, tuple[PromptPart, ...]], ...] = ()


LoadMessage = LoadQuery | LoadReply | LoadUpdate


def encode_message(message: LoadMessage) -> bytes:
    """Return the datagram for a message."""
    if isinstance(message, LoadQuery):
        return orjson.dumps(
            [
                LOAD_QUERY,
                message.number,
                message.host,
                _encode_parts(message.parts),
                message.targets,
            ]
        )
    if isinstance(message, LoadReply):
        reports = [
            [
                name,
                report.in_flight,
                list(report.unread_tokens.items()),
                report.cached_tokens,
                round(report.event_interval_s, 4),
            ]
            for name, report in message.reports.items()
        ]
        reports += [
            [_encode_pace(name, report.pace), 0, [], 0, 0.0]
            for name, report in message.reports.items()
            if report.pace is not None
        ]
        return orjson.dumps([LOAD_REPLY, message.number, message.host, reports])
    loads = [
        [name, load.in_flight, list(load.unread_tokens.items()), load.event_interval_s]
        for name, load in message.loads.items()
    ]
    loads += [
        [_encode_pace(name, load.pace), 0, [], 0.0]
        for name, load in message.loads.items()
        if load.pace is not None
    ]
    parts = [
        [name, _encode_parts(prompt_parts)] for name, prompt_parts in message.parts
    ]
    return orjson.dumps([LOAD_UPDATE, message.host, loads, parts])


def decode_message(fields: list[Any]) -> LoadMessage:
    """Return the message of a datagram's fields; raises MessageError."""
    return decode_by_kind(_DECODERS, fields)


def decode_by_kind(
    decoders: Mapping[Any, Callable[[list[Any]], Message]], fields: list[Any]
) -> Message:
    """Decode a datagram with the decoder of its first field; raises MessageError."""
    try:
        kind, *rest = fields
        return decoders[kind](rest)
    except (KeyError, TypeError, ValueError) as error:
        reason = describe_error(error)
        raise MessageError(f"the datagram can't be read: {reason}") from error


def is_load_message(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of a load message."""
    return kind in (LOAD_QUERY, LOAD_REPLY, LOAD_UPDATE)


def _decode_query(fields: list[Any]) -> LoadQuery:
    number, host, parts, targets = fields
    return LoadQuery(
        read_serial(number),
        read_text(host),
        _decode_parts(parts),
        tuple(read_text(target) for target in targets),
    )


def _decode_reply(fields: list[Any]) -> LoadReply:
    number, host, entries = fields
    reports: dict[str, TargetLoadReport] = {}
    for name, in_flight, unread, cached, event_s in entries:
        if read_text(name).startswith(PACE_PREFIX):
            _apply_pace(reports, name)
            continue
        reports[name] = TargetLoadReport(
            read_integer(in_flight),
            _decode_counts(unread),
            read_integer(cached),
            read_number(event_s),
        )
    return LoadReply(read_serial(number), read_text(host), reports)


def _decode_update(fields: list[Any]) -> LoadUpdate:
    host, entries, parts = fields
    loads: dict[str, TargetLoad] = {}
    for name, in_flight, tokens, event_s in entries:
        if read_text(name).startswith(PACE_PREFIX):
            _apply_pace(loads, name)
            continue
        loads[name] = TargetLoad(
            read_integer(in_flight), _decode_counts(tokens), read_number(event_s)
        )
    return LoadUpdate(
        read_text(host),
        loads,
        tuple(
            (read_text(name), _decode_parts(prompt_parts))
            for name, prompt_parts in parts
        ),
    )


def _encode_pace(name: str, pace: PaceReport) -> str:
    """Return the name of the entry with a target's pace."""
    windows, quiet, interval, pause, reads, work, limit = pace
    figures = PACE_FIGURES % (
        windows * PACE_PARTS,
        quiet * PACE_PARTS,
        interval * PACE_PARTS,
        pause * PACE_PARTS,
        reads * PACE_PARTS,
        work * PACE_PARTS,
        limit,
    )
    return f"{PACE_PREFIX}{name}\n{figures}"


def _apply_pace(entries: dict[str, Load], entry_name: str) -> None:
    """Add a target's pace to the entry before it, unless a figure is out of range."""
    name, _, text = entry_name.removeprefix(PACE_PREFIX).partition("\n")
    entry = entries.get(name)
    try:
        windows, quiet, interval, pause, reads, work, limit = map(int, text.split(" "))
    except ValueError:
        return
    pace = PaceReport(
        windows / PACE_PARTS,
        quiet / PACE_PARTS,
        interval / PACE_PARTS,
        pause / PACE_PARTS,
        reads / PACE_PARTS,
        work / PACE_PARTS,
        limit,
    )
    if entry is not None and is_valid(pace) and limit <= MAX_PACE_LIMIT:
        entries[name] = replace(entry, pace=pace)


def _decode_counts(fields: Any) -> dict[int, int]:
    return {read_integer(priority): read_integer(tokens) for priority, tokens in fields}


def _encode_parts(parts: tuple[PromptPart, ...]) -> list[Any]:
    return [[part.id, part.tokens] for part in parts]


def _decode_parts(fields: Any) -> tuple[PromptPart, ...]:
    return tuple(
        PromptPart(read_text(name), read_integer(tokens)) for name, tokens in fields
    )


_DECODERS: dict[Any, Callable[[list[Any]], LoadMessage]] = {
    LOAD_QUERY: _decode_query,
    LOAD_REPLY: _decode_reply,
    LOAD_UPDATE: _decode_update,
}
