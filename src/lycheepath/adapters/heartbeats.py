"""
The heartbeats that hosts send to each other, as datagrams of JSON.

A heartbeat carries the sender's row, rows of other hosts, suspect requests, and
targets that are draining or gone. Invalid datagrams are dropped and counted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from ..core.catalog.freshness import NO_CATALOG_STATUS, CatalogStatus
from ..core.fleet.view import HostRow
from ..core.placement.region_waits import Queue

FORMAT = 4
MAX_DATAGRAM_BYTES = 16_384
# Largest age of the sender's catalog that is transmitted; older ones make no difference.
MAX_AGE_S = 60.0


class BeatError(ValueError):
    """A datagram isn't a valid heartbeat."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """
    One heartbeat.

    ``waits`` are the waiting times in the sender's region in seconds, by service and
    priority, for hosts of other regions. ``suspects`` is empty; earlier versions report
    broken requests there (now: ``crash_messages``). ``gone_targets`` are targets that are
    draining, or no longer at their address. ``catalog_status`` holds the revision and age
    of the sender's catalog.
    """

    sender: HostRow
    rows: tuple[HostRow, ...]
    waits: dict[Queue, float] = field(default_factory=dict)
    suspects: tuple[tuple[int, tuple[str, ...]], ...] = ()
    gone_targets: tuple[str, ...] = ()
    catalog_status: CatalogStatus = NO_CATALOG_STATUS


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the datagram for a heartbeat."""
    return orjson.dumps(
        [
            FORMAT,
            _encode_row(heartbeat.sender),
            [_encode_row(row) for row in heartbeat.rows],
            [[*queue, round(wait_s, 4)] for queue, wait_s in heartbeat.waits.items()],
            [[number, list(targets)] for number, targets in heartbeat.suspects],
            list(heartbeat.gone_targets),
            _encode_status(heartbeat.catalog_status),
        ]
    )


def parse_datagram(data: bytes) -> list[Any]:
    """Return the fields of a datagram between hosts; raises BeatError."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise BeatError("the datagram is too large")
    try:
        values = orjson.loads(data)
    except ValueError as error:
        raise BeatError(f"the datagram can't be read: {error}") from error
    if not isinstance(values, list) or not values:
        raise BeatError("the datagram is not a JSON list")
    return values


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return the heartbeat in a datagram; raises BeatError."""
    return decode_heartbeat_fields(parse_datagram(data))


def decode_heartbeat_fields(fields: list[Any]) -> Heartbeat:
    """Return the heartbeat in a datagram's fields; raises BeatError."""
    try:
        version, *values = fields
        if version != FORMAT:
            raise BeatError(f"the format {version!r} is unknown")
        sender, rows, waits, suspects, gone_targets, catalog_status = values
        return Heartbeat(
            _decode_row(sender),
            tuple(_decode_row(row) for row in rows),
            {Queue(str(n), int(u)): float(wait_s) for n, u, wait_s in waits},
            tuple((int(n), tuple(str(t) for t in ids)) for n, ids in suspects),
            tuple(str(target) for target in gone_targets),
            _decode_status(catalog_status),
        )
    except (OverflowError, ValueError, TypeError) as error:
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


def _decode_row(values: Any) -> HostRow:
    host_id, start, heartbeat, ip, zone, region, ready, left_s = values
    return HostRow(
        str(host_id),
        int(start),
        int(heartbeat),
        str(ip),
        str(zone),
        str(region),
        bool(ready),
        float(left_s),
    )


def _encode_status(catalog_status: CatalogStatus) -> list[Any]:
    age_s = min(catalog_status.age_s, MAX_AGE_S)
    return [catalog_status.version, catalog_status.revision, round(age_s, 3)]


def _decode_status(values: Any) -> CatalogStatus:
    version, revision, age_s = values
    return CatalogStatus(int(version), int(revision), min(float(age_s), MAX_AGE_S))
