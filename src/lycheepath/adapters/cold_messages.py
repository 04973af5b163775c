"""
Messages between the hosts of a region on cold targets, as datagrams of JSON.

A ``ColdReport`` says which targets are cold, or may be as they have restarted. Hosts of
versions without it drop it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from ..core.catalog.model import Instance
from ..core.json_values import read_number, read_serial, read_text
from .load_messages import decode_by_kind

if TYPE_CHECKING:
    from collections.abc import Callable

# The first field of each datagram, unlike those of other messages.
COLD_REPORT = 45
# Longest cold time that is transmitted, in seconds.
MAX_COLD_S = 3600.0


@dataclass(frozen=True, slots=True)
class ColdTarget:
    """An instance of a target and how long it stays cold, in seconds."""

    instance: Instance
    left_s: float


@dataclass(frozen=True, slots=True)
class ColdReport:
    """What a host knows of some cold targets."""

    host: str
    targets: tuple[ColdTarget, ...]


def encode_cold_report(report: ColdReport) -> bytes:
    """Return the datagram for a report."""
    targets = [
        [cold.instance.target, cold.instance.born_ms, round(cold.left_s, 3)]
        for cold in report.targets
    ]
    return orjson.dumps([COLD_REPORT, report.host, targets])


def decode_cold_report(fields: list[Any]) -> ColdReport:
    """Return the report in a datagram's fields; raises MessageError."""
    return decode_by_kind(_DECODERS, fields)


def is_cold_report(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of a cold report."""
    return bool(kind == COLD_REPORT)


def _decode_report(fields: list[Any]) -> ColdReport:
    host, targets = fields
    return ColdReport(
        read_text(host), tuple(_decode_target(target) for target in targets)
    )


def _decode_target(fields: Any) -> ColdTarget:
    target, born_ms, left_s = fields
    instance = Instance(read_text(target), read_serial(born_ms))
    return ColdTarget(instance, read_number(left_s, 0.0, MAX_COLD_S))


_DECODERS: dict[Any, Callable[[list[Any]], ColdReport]] = {COLD_REPORT: _decode_report}
