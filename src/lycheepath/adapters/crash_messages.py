"""
Reports between hosts on requests that end targets, as datagrams of JSON.

They are separate from heartbeats, so that hosts of versions without them drop only the
reports.
"""

from __future__ import annotations

from typing import Any

import orjson

from ..core.catalog.model import Instance
from ..core.json_values import describe_error, read_number, read_serial, read_text
from ..core.serving.crash_reports import CrashReport, TargetEnd
from .load_messages import MessageError

# The first field of each datagram, unlike those of heartbeats and other messages.
CRASH_REPORT = 37


def encode_crash_report(report: CrashReport) -> bytes:
    """Return the datagram for a report."""
    ends = [
        [*end.instance, round(end.age_s, 3), round(end.sent_age_s, 3), end.requests]
        for end in report.ends
    ]
    cleared = [[feature, round(age_s, 3)] for feature, age_s in report.cleared]
    alive = [[*instance, round(age_s, 3)] for instance, age_s in report.alive]
    return orjson.dumps([CRASH_REPORT, ends, cleared, alive])


def decode_crash_report(fields: list[Any]) -> CrashReport:
    """Return the report in a datagram's fields; raises MessageError."""
    try:
        _, ends, cleared, alive = fields
        return CrashReport(
            tuple(
                TargetEnd(
                    Instance(read_text(target), read_serial(born_ms)),
                    _read_age(age_s),
                    _read_age(sent_age_s),
                    tuple(
                        tuple(read_text(feature) for feature in features)
                        for features in requests
                    ),
                )
                for target, born_ms, age_s, sent_age_s, requests in ends
            ),
            tuple((read_text(feature), _read_age(age_s)) for feature, age_s in cleared),
            tuple(
                (Instance(read_text(target), read_serial(born_ms)), _read_age(age_s))
                for target, born_ms, age_s in alive
            ),
        )
    except (TypeError, ValueError) as error:
        reason = describe_error(error)
        raise MessageError(f"the report can't be read: {reason}") from error


def is_crash_report(kind: Any) -> bool:
    """Whether a datagram's first field is the kind of these reports."""
    return bool(kind == CRASH_REPORT)


def _read_age(value: Any) -> float:
    return read_number(value, 0.0)
