from __future__ import annotations

import pytest

from lycheepath.platform.targets import (
    TargetAnswerError,
    read_held_parts,
    read_start,
)


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
