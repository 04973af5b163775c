"""
Reports between hosts on parts of prompts that end targets, as datagrams of JSON.

They are separate from heartbeats, so that hosts of versions without them drop only the
reports.
"""

from __future__ import annotations

from typing import Any

import orjson

from ..core.serving.part_evidence import Instance, PartReport, TargetEnd
from .load_messages import MessageError

# The first field of each datagram, unlike those of heartbeats and other messages.
PART_REPORT = 37


def encode_part_report(report: PartReport) -> bytes:
    """Return the datagram for a report."""
    ends = [[*end.instance, round(end.age_s, 3), end.requests] for end in report.ends]
    cleared = [[part, round(age_s, 3)] for part, age_s in report.cleared]
    alive = [[*instance, round(age_s, 3)] for instance, age_s in report.alive]
    return orjson.dumps([PART_REPORT, ends, cleared, alive])


def decode_part_report(fields: list[Any]) -> PartReport:
    """Return the report in a datagram's fields; raises MessageError."""
    try:
        _, ends, cleared, alive = fields
        return PartReport(
            tuple(
                TargetEnd(
                    Instance(str(target), int(born_ms)),
                    _read_age(age_s),
                    tuple(tuple(str(part) for part in parts) for parts in requests),
                )
                for target, born_ms, age_s, requests in ends
            ),
            tuple((str(part), _read_age(age_s)) for part, age_s in cleared),
            tuple(
                (Instance(str(target), int(born_ms)), _read_age(age_s))
                for target, born_ms, age_s in alive
            ),
        )
    except (TypeError, ValueError) as error:
        raise MessageError(f"the report can't be read: {error}") from error


def is_part_report(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of these reports."""
    return bool(kind == PART_REPORT)


def _read_age(value: Any) -> float:
    age_s = float(value)
    if not age_s >= 0.0:
        raise ValueError(f"the age {value!r} isn't a time")
    return age_s
