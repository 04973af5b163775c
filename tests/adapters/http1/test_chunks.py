from __future__ import annotations

import h11
import pytest
from hypothesis import given, strategies

from lycheepath.adapters.http1.chunks import MAX_LINE_BYTES, ChunkError, ChunkReader

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECES = strategies.lists(strategies.binary(min_size=1, max_size=40), max_size=6)
# Fragments of chunked framing, so that invalid inputs are often nearly valid.
FRAMING = strategies.lists(
    strategies.sampled_from(
        [
            b"0",
            b"3",
            b"a",
            b"\r\n",
            b"\r",
            b"\n",
            b"abc",
            b"abcdefghij",
            b";x=1",
            b" ",
            b"A: b",
            b":",
        ]
    ),
    max_size=14,
).map(b"".join)


def frame(pieces: list[bytes]) -> bytes:
    body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return body + b"0\r\n\r\n"


def feed_in_parts(data: bytes, cuts: list[int]) -> tuple[bytes, ChunkReader]:
    reader = ChunkReader()
    found = b""
    at = 0
    for end in [*sorted(cuts), len(data)]:
        found += reader.feed(data[at:end])
        at = end
    return found, reader


def read_with_h11(data: bytes) -> tuple[bytes, bool, bool]:
    """Return the body, whether it ended, and whether h11 rejected it."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(HEAD + data)
    body = b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return body, False, True
        if isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return body, True, False
        elif event is h11.NEED_DATA:
            return body, False, False


@given(PIECES, strategies.data())
def test_body_does_not_depend_on_how_its_bytes_arrive(
    pieces: list[bytes], data: strategies.DataObject
) -> None:
    framed = frame(pieces)
    cuts = data.draw(strategies.lists(strategies.integers(0, len(framed)), max_size=5))
    found, reader = feed_in_parts(framed, cuts)
    assert found == b"".join(pieces)
    assert reader.ended
    assert reader.trailing_data == b""


@given(FRAMING)
def test_reader_accepts_nothing_that_h11_rejects_or_decodes_differently(
    data: bytes,
) -> None:
    """It may reject more: h11 accepts lines without a carriage return."""
    reader = ChunkReader()
    try:
        found = reader.feed(data)
    except ChunkError:
        return
    body, ended, rejected = read_with_h11(data)
    if reader.ended:
        assert (found, True, False) == (body, ended, rejected)
    else:
        assert body.startswith(found) or found.startswith(body)


def test_bytes_after_the_end_are_kept_separately() -> None:
    reader = ChunkReader()
    assert reader.feed(frame([b"one"]) + b"HTTP/1.1 200") == b"one"
    assert reader.ended
    assert reader.trailing_data == b"HTTP/1.1 200"


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"-1\r\n",
        b"0x3\r\nabc\r\n",
        b"3\r\nabcd\r\n",
        b"\r\n",
        b"111111111111111111111\r\n",
        b"3" * MAX_LINE_BYTES,
        b"3;" + b"x" * MAX_LINE_BYTES,
    ],
)
def test_invalid_framing_is_rejected(data: bytes) -> None:
    with pytest.raises(ChunkError):
        ChunkReader().feed(data)


def test_trailers_are_skipped() -> None:
    reader = ChunkReader()
    assert reader.feed(b"1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n") == b"x"
    assert reader.ended
