"""
The heartbeats that hosts send to each other, as datagrams of JSON.

A heartbeat carries the sender's row, rows of other hosts, suspect requests, and
targets that are draining or gone. Invalid datagrams are dropped and counted.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isfinite
from typing import Any

import orjson

from ..core.catalog.freshness import NO_CATALOG_STATUS, CatalogStatus
from ..core.fleet.view import HostRow
from ..core.json_values import (
    describe,
    describe_error,
    read_flag,
    read_integer,
    read_number,
    read_serial,
    read_text,
)
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
    priority, for hosts of other regions. ``gone_targets`` are targets that are draining,
    or no longer at their address. ``catalog_status`` holds the position and age of the
    sender's catalog.

    In a datagram, the era of the position stands in the place of a request without
    targets in an old list of suspect requests, which hosts of earlier versions decode
    but don't use.
    """

    sender: HostRow
    rows: tuple[HostRow, ...]
    waits: dict[Queue, float] = field(default_factory=dict)
    gone_targets: tuple[str, ...] = ()
    catalog_status: CatalogStatus = NO_CATALOG_STATUS


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the datagram for a heartbeat."""
    return orjson.dumps(
        [
            FORMAT,
            _encode_row(heartbeat.sender),
            [_encode_row(row) for row in heartbeat.rows],
            [
                [*queue, round(wait_s, 4)]
                for queue, wait_s in heartbeat.waits.items()
                if isfinite(wait_s)
            ],
            [[heartbeat.catalog_status.era, []]],
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
        reason = describe_error(error)
        raise BeatError(f"the datagram can't be read: {reason}") from error
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
            raise BeatError(f"expected format {FORMAT}, found {describe(version)}")
        sender, rows, waits, eras, gone_targets, catalog_status = values
        return Heartbeat(
            _decode_row(sender),
            tuple(_decode_row(row) for row in rows),
            {
                Queue(read_text(name), read_integer(urgency)): read_number(wait_s)
                for name, urgency, wait_s in waits
            },
            tuple(read_text(target) for target in gone_targets),
            _decode_status(catalog_status, _decode_era(eras)),
        )
    except (ValueError, TypeError) as error:
        reason = describe_error(error)
        raise BeatError(f"the datagram can't be read: {reason}") from error


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
        read_text(host_id),
        read_serial(start),
        read_serial(heartbeat),
        read_text(ip),
        read_text(zone),
        read_text(region),
        read_flag(ready),
        read_number(left_s),
    )


def _encode_status(catalog_status: CatalogStatus) -> list[Any]:
    age_s = min(catalog_status.age_s, MAX_AGE_S)
    return [catalog_status.version, catalog_status.revision, round(age_s, 3)]


def _decode_era(eras: Any) -> int:
    """Return the era of the sender's catalog, 0 from a host of an earlier version."""
    era = 0
    for number, targets in eras:
        checked = read_serial(number)
        if not [read_text(target) for target in targets]:
            era = read_integer(checked, 0)
    return era


def _decode_status(values: Any, era: int) -> CatalogStatus:
    version, revision, age_s = values
    return CatalogStatus(
        read_serial(version),
        read_serial(revision),
        min(read_number(age_s), MAX_AGE_S),
        era,
    )
