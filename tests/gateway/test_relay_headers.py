from __future__ import annotations

import pytest

from lycheepath.adapters.http1.downstream import ReceivedRequest
from lycheepath.gateway.relay_headers import (
    LEFT_MS_HEADER,
    SERVICE_HEADER,
    SILENCE_HEADER,
    TRIED_HEADER,
    WAITED_MS_HEADER,
    read_metadata,
)

REQUIRED = (
    (SERVICE_HEADER, b"books"),
    (LEFT_MS_HEADER, b"1500"),
    (WAITED_MS_HEADER, b"20"),
)


def make_request(*headers: tuple[bytes, bytes]) -> ReceivedRequest:
    return ReceivedRequest(b"GET", b"/books/1", (*REQUIRED, *headers), b"", 0.0)


def test_host_of_an_earlier_version_names_no_tried_targets() -> None:
    metadata = read_metadata(make_request())
    assert metadata is not None
    assert (metadata.tried, metadata.takes_silence) == (frozenset(), False)


def test_tried_targets_with_odd_names_are_read() -> None:
    request = make_request((TRIED_HEADER, b"i-1,a%2Cb,%C3%A9"), (SILENCE_HEADER, b"1"))
    metadata = read_metadata(request)
    assert metadata is not None
    assert metadata.tried == {"i-1", "a,b", "\N{LATIN SMALL LETTER E WITH ACUTE}"}
    assert metadata.takes_silence


@pytest.mark.parametrize("text", [b"\xff", b"caf\xc3\xa9"])
def test_tried_targets_that_cannot_be_read_refuse_the_request(text: bytes) -> None:
    assert read_metadata(make_request((TRIED_HEADER, text))) is None
