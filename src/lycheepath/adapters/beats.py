"""
The messages that hosts tell each other, as datagrams of JSON.

A message carries the sender's row, rows of others, and what all hosts need to know
of requests and targets that went wrong. Anything that can't be read is dropped and
counted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from ..core.catalog.freshness import NO_CATALOG_STATUS, CatalogStatus
from ..core.fleet.view import HostRow
from ..core.placement.region_waits import Queue

FORMAT = 4
MOST_BYTES = 16_384
# Knowledge that is older is of no use to anybody.
MOST_AGE_S = 60.0


class BeatError(ValueError):
    """A datagram is no message of ours."""


@dataclass(frozen=True, slots=True)
class Beat:
    """
    One message.

    ``waits`` are the waits for an answer in the sender's region, by service
    and urgency, for hosts of other regions. ``suspects`` are
    fingerprints of requests that broke off, with the targets where they did.
    ``gone`` are targets that leave, or stand at their address no more.
    ``knowledge`` is how far the sender follows the platform's store.
    """

    sender: HostRow
    rows: tuple[HostRow, ...]
    waits: dict[Queue, float] = field(default_factory=dict)
    suspects: tuple[tuple[int, tuple[str, ...]], ...] = ()
    gone: tuple[str, ...] = ()
    knowledge: CatalogStatus = NO_CATALOG_STATUS


def encode_beat(beat: Beat) -> bytes:
    """Return the datagram for a message."""
    return orjson.dumps(
        [
            FORMAT,
            _encode_row(beat.sender),
            [_encode_row(row) for row in beat.rows],
            [[*queue, round(wait_s, 4)] for queue, wait_s in beat.waits.items()],
            [[number, list(targets)] for number, targets in beat.suspects],
            list(beat.gone),
            _encode_knowledge(beat.knowledge),
        ]
    )


def read_fields(data: bytes) -> list[Any]:
    """Return the fields of a datagram between hosts; raises BeatError."""
    if len(data) > MOST_BYTES:
        raise BeatError("the datagram is too large")
    try:
        fields = orjson.loads(data)
    except ValueError as error:
        raise BeatError(f"the datagram can't be read: {error}") from error
    if not isinstance(fields, list) or not fields:
        raise BeatError("the datagram is no list")
    return fields


def decode_beat(data: bytes) -> Beat:
    """Return the message of a datagram; raises BeatError."""
    return decode_fields(read_fields(data))


def decode_fields(held: list[Any]) -> Beat:
    """Return the message of a datagram's fields; raises BeatError."""
    try:
        form, *fields = held
        if form != FORMAT:
            raise BeatError(f"the format {form!r} is unknown")
        sender, rows, waits, suspects, gone, knowledge = fields
        return Beat(
            _decode_row(sender),
            tuple(_decode_row(row) for row in rows),
            {Queue(str(n), int(u)): float(wait_s) for n, u, wait_s in waits},
            tuple((int(n), tuple(str(t) for t in held)) for n, held in suspects),
            tuple(str(target) for target in gone),
            _decode_knowledge(knowledge),
        )
    except (ValueError, TypeError) as error:
        raise BeatError(f"the datagram can't be read: {error}") from error


def _encode_row(row: HostRow) -> list[Any]:
    return [
        row.id,
        row.instance_id,
        row.heartbeat,
        row.ip,
        row.zone,
        row.region,
        row.ready,
        round(row.drain_remaining_s, 3),
    ]


def _decode_row(fields: Any) -> HostRow:
    name, start, beat, ip, zone, region, ready, left_s = fields
    return HostRow(
        str(name),
        int(start),
        int(beat),
        str(ip),
        str(zone),
        str(region),
        bool(ready),
        float(left_s),
    )


def _encode_knowledge(knowledge: CatalogStatus) -> list[Any]:
    age_s = min(knowledge.age_s, MOST_AGE_S)
    return [knowledge.version, knowledge.revision, round(age_s, 3)]


def _decode_knowledge(fields: Any) -> CatalogStatus:
    version, revision, age_s = fields
    return CatalogStatus(int(version), int(revision), min(float(age_s), MOST_AGE_S))
