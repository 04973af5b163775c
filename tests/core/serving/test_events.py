from __future__ import annotations

import pytest
from hypothesis import given, strategies

from lycheepath.core.serving.events import (
    MOST_EVENT_BYTES,
    EventOrderError,
    EventSplitter,
    read_id,
)


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: word %d\n\n" % (number, number)


def test_cutter_passes_only_whole_events_on() -> None:
    cutter = EventSplitter(None)
    event = make_event(1)
    assert cutter.feed(event + b"id: 2\nda") == event
    assert not cutter.complete
    assert cutter.feed(b"ta: x\n\n") == b"id: 2\ndata: x\n\n"
    assert cutter.complete


def test_cutter_drops_events_that_were_passed_on_before() -> None:
    cutter = EventSplitter(None)
    cutter.feed(make_event(1) + make_event(2) + b"id: 3\n")
    cutter.restart()
    assert cutter.feed(make_event(2) + make_event(3)) == make_event(3)


def test_cutter_ends_an_attempt_at_a_gap() -> None:
    cutter = EventSplitter(4)
    with pytest.raises(EventOrderError):
        cutter.feed(make_event(6))


def test_cutter_passes_events_without_an_id_on() -> None:
    assert EventSplitter(None).feed(b": ping\n\n") == b": ping\n\n"


@given(strategies.data())
def test_cutter_gives_the_same_events_however_the_bytes_are_cut(
    data: strategies.DataObject,
) -> None:
    whole = b"".join(make_event(n) for n in range(1, 8))
    cutter = EventSplitter(None)
    passed = b""
    rest = whole
    while rest:
        size = data.draw(strategies.integers(1, len(rest)))
        passed += cutter.feed(rest[:size])
        rest = rest[size:]
    assert passed == whole
    assert cutter.last_id == 7


@given(strategies.binary(max_size=200))
def test_cutter_bears_any_bytes(garbage: bytes) -> None:
    cutter = EventSplitter(None)
    try:
        cutter.feed(garbage)
    except EventOrderError:
        return


def test_read_id_finds_the_line_anywhere_in_an_event() -> None:
    assert read_id(b"id: 7\ndata: a") == 7
    assert read_id(b"weight-versions: 3\nid:8\ndata: a") == 8
    assert read_id(b"data: id: 9") is None


def test_cutter_counts_events_that_say_something() -> None:
    cutter = EventSplitter(None)
    assert cutter.feed(b": alive\n\n:\n\n") == b": alive\n\n:\n\n"
    assert cutter.event_count == 0
    cutter.feed(make_event(1) + b"data: x\n\n: a\ndata: y\n\n")
    assert cutter.event_count == 3


def test_cutter_gives_up_an_event_without_end_within_a_bound() -> None:
    cutter = EventSplitter(None)
    with pytest.raises(EventOrderError):
        for _ in range(MOST_EVENT_BYTES // 1000 + 1):
            cutter.feed(b"x" * 1000)
