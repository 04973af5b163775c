from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.core.serving.events import (
    MAX_EVENT_BYTES,
    EventOrderError,
    EventSplitter,
    read_id,
)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: word %d\n\n" % (number, number)


def test_splitter_passes_on_complete_events_only() -> None:
    splitter = EventSplitter(None)
    event = make_event(1)
    assert splitter.feed(event + b"id: 2\nda") == event
    assert not splitter.complete
    assert splitter.feed(b"ta: x\n\n") == b"id: 2\ndata: x\n\n"
    assert splitter.complete


def test_splitter_drops_events_that_were_passed_on_before() -> None:
    splitter = EventSplitter(None)
    splitter.feed(make_event(1) + make_event(2) + b"id: 3\n")
    other = splitter.fork()
    assert other.feed(make_event(2) + make_event(3)) == make_event(3)


def test_splitter_raises_at_a_gap() -> None:
    splitter = EventSplitter(4)
    with pytest.raises(EventOrderError):
        splitter.feed(make_event(6))


def test_splitter_passes_on_events_without_an_id() -> None:
    assert EventSplitter(None).feed(b": ping\n\n") == b": ping\n\n"


@given(strategies.data())
def test_splitter_returns_the_same_events_for_any_chunks(
    data: strategies.DataObject,
) -> None:
    whole = b"".join(make_event(n) for n in range(1, 8))
    splitter = EventSplitter(None)
    passed = b""
    rest = whole
    while rest:
        size = data.draw(strategies.integers(1, len(rest)))
        passed += splitter.feed(rest[:size])
        rest = rest[size:]
    assert passed == whole
    assert splitter.last_id == 7


@given(strategies.binary(max_size=200))
def test_splitter_raises_only_order_errors_for_any_bytes(garbage: bytes) -> None:
    splitter = EventSplitter(None)
    try:
        splitter.feed(garbage)
    except EventOrderError:
        return


def test_read_id_finds_the_line_anywhere_in_an_event() -> None:
    assert read_id(b"id: 7\ndata: a") == 7
    assert read_id(b"weight-versions: 3\nid:8\ndata: a") == 8
    assert read_id(b"data: id: 9") is None


def test_splitter_does_not_count_comments() -> None:
    splitter = EventSplitter(None)
    assert splitter.feed(b": alive\n\n:\n\n") == b": alive\n\n:\n\n"
    assert splitter.event_count == 0
    splitter.feed(make_event(1) + b"data: x\n\n: a\ndata: y\n\n")
    assert splitter.event_count == 3


def test_splitter_limits_the_size_of_an_event() -> None:
    splitter = EventSplitter(None)
    with pytest.raises(EventOrderError):
        for _ in range(MAX_EVENT_BYTES // 1000 + 1):
            splitter.feed(b"x" * 1000)


def test_id_with_more_digits_than_a_number_can_have_is_no_id() -> None:
    assert read_id(b"id: " + b"9" * 5000 + b"\ndata: x\n\n") is None


def test_notices_of_another_host_are_not_passed_on() -> None:
    splitter = EventSplitter(None)
    splitter.notice = b": silent"
    data = make_event(1) + b": silent\n\n: other\n\n" + make_event(2)
    assert splitter.feed(data) == make_event(1) + b": other\n\n" + make_event(2)
    assert (splitter.notice_count, splitter.event_count) == (1, 2)


def test_comments_that_look_like_notices_are_passed_on_without_another_host() -> None:
    assert EventSplitter(None).feed(b": silent\n\n") == b": silent\n\n"
