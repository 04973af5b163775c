from __future__ import annotations

from typing import Any

import pytest
from hypothesis import example, given, strategies

from lycheepath.platform.targets import (
    TargetAnswerError,
    read_cold_time,
    read_held_parts,
    read_start,
)
from tests.odd_values import DEEP, ODD_VALUES, list_paths, replace_value

HELD: dict[str, Any] = {
    "epoch": 1,
    "held": [["", "5c1e", 800, "m"], ["", "91bd", 410, "m"]],
}


def test_held_parts_are_read() -> None:
    body = b'{"epoch":1,"next":3,"held":[["","5c1e",800,"m"],["","91bd",410,"m"]]}'
    assert read_held_parts(body) == {"5c1e", "91bd"}


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"held":[[]]}', b'{"held":1}'])
def test_list_that_can_not_be_read_is_an_error(body: bytes) -> None:
    with pytest.raises(TargetAnswerError):
        read_held_parts(body)


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [
        (b'{"stage":"both","born":1790000000000}', 1_790_000_000_000),
        (b'{"stage":"both"}', None),
        (b'{"born":"soon"}', None),
        (b'{"born":true}', None),
    ],
)
def test_start_of_a_target_is_read_from_its_report(
    body: bytes, born_ms: int | None
) -> None:
    assert read_start(body) == born_ms


@pytest.mark.parametrize("body", [b"", b"[]", b"1"])
def test_report_that_can_not_be_read_is_an_error(body: bytes) -> None:
    with pytest.raises(TargetAnswerError):
        read_start(body)


@given(strategies.sampled_from(list_paths(HELD)), ODD_VALUES)
@example(("held", 1, 1), DEEP)
def test_odd_value_in_a_targets_list_costs_itself_or_the_list(
    path: tuple[Any, ...], odd: bytes
) -> None:
    try:
        parts = read_held_parts(replace_value(HELD, path, odd))
    except TargetAnswerError as error:
        assert len(str(error)) <= 400
        return
    assert all(len(part) <= 200 for part in parts)
    if path[:2] == ("held", 0) and len(path) > 1:
        assert "91bd" in parts


@given(ODD_VALUES)
@example(b"18446744073709551615")
def test_odd_start_of_a_target_is_treated_as_absent(odd: bytes) -> None:
    try:
        born_ms = read_start(b'{"stage":"both","born":%s}' % odd)
    except TargetAnswerError as error:
        assert len(str(error)) <= 400
        return
    assert born_ms is None or 0 <= born_ms < 2**53


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([(b"Instance-Id", b"i-1"), (b"Cold-Ms", b"2500")], 2.5),
        ([(b"instance-id", b"i-1")], 0.0),
        ([(b"instance-id", b"i-2"), (b"cold-ms", b"2500")], None),
        ([(b"cold-ms", b"2500")], None),
    ],
)
def test_cold_time_is_that_of_the_target_that_was_asked(
    headers: list[tuple[bytes, bytes]], expected: float | None
) -> None:
    assert read_cold_time(headers, "i-1") == expected


@pytest.mark.parametrize("text", [b"", b"-1", b"2.5", b"soon", b"9" * 30, b"\xb2"])
def test_cold_time_that_can_not_be_read_is_an_error(text: bytes) -> None:
    with pytest.raises(TargetAnswerError):
        read_cold_time([(b"instance-id", b"i-1"), (b"cold-ms", text)], "i-1")
