from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.adapters.crash_messages import (
    CRASH_REPORT,
    decode_crash_report,
    encode_crash_report,
    is_crash_report,
)
from lycheepath.adapters.heartbeats import BeatError, decode_heartbeat, parse_datagram
from lycheepath.adapters.limit_messages import is_limit_message
from lycheepath.adapters.load_messages import MessageError, is_load_message
from lycheepath.core.catalog.model import Instance
from lycheepath.core.serving.crash_reports import CrashReport, TargetEnd

INSTANCE = Instance("i-1", 1_790_000_000_000)
REPORT = CrashReport(
    (TargetEnd(INSTANCE, 1.5, 1.75, (("part a", "request 1"), ("part b",))),),
    (("part a", 0.25),),
    ((INSTANCE, 0.5),),
)
VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(max_size=5),
)


def test_report_survives_encoding() -> None:
    fields = parse_datagram(encode_crash_report(REPORT))
    assert is_crash_report(fields[0])
    assert decode_crash_report(fields) == REPORT


def test_hosts_without_these_reports_drop_them() -> None:
    data = encode_crash_report(REPORT)
    kind = parse_datagram(data)[0]
    assert not is_load_message(kind)
    assert not is_limit_message(kind)
    with pytest.raises(BeatError):
        decode_heartbeat(data)


@given(
    strategies.lists(strategies.lists(VALUES | strategies.lists(VALUES)), max_size=4)
)
def test_invalid_fields_are_rejected(fields: list[object]) -> None:
    try:
        decode_crash_report([CRASH_REPORT, *fields])
    except MessageError:
        return


@pytest.mark.parametrize("age_s", [-1.0, float("nan"), float("inf"), "soon"])
def test_age_that_is_no_time_is_rejected(age_s: object) -> None:
    with pytest.raises(MessageError):
        decode_crash_report([CRASH_REPORT, [], [["part a", age_s]], []])
