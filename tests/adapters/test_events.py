from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import orjson
import pytest
import trio
from loguru import logger

from lycheepath.adapters.events import (
    BUFFER_BYTES,
    MAX_LINES_PER_S,
    OMITTED_EVENT,
    EventLog,
    record_event,
    set_up_events,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

LONG = "x" * 4000


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    logger.remove()
    os.close(reader)
    os.close(writer)


def read_lines(reader: int) -> list[dict[str, object]]:
    data = b""
    while True:
        try:
            part = os.read(reader, 65_536)
        except BlockingIOError:
            break
        if not part:
            break
        data += part
    return [orjson.loads(line) for line in data.splitlines()]


def test_line_is_json_with_its_fields_and_those_of_the_process(
    pipe: tuple[int, int],
) -> None:
    log = EventLog(pipe[1])
    set_up_events(log, host="host-1")
    record_event("answered", request="r1", took_s=0.25)
    log.flush()
    line = read_lines(pipe[0])[0]
    assert line["event"] == "answered"
    assert (line["host"], line["request"], line["took_s"]) == ("host-1", "r1", 0.25)
    assert isinstance(line["at"], float)


def test_reader_that_stops_causes_no_delay_and_bounded_memory(
    pipe: tuple[int, int],
) -> None:
    log = EventLog(pipe[1])
    set_up_events(log)
    started = time.monotonic()
    for number in range(1000):
        record_event(f"event-{number}", text=LONG)
        log.flush()
    assert time.monotonic() - started < 2.0
    assert log._buffered_bytes <= BUFFER_BYTES
    assert sum(log.omitted.values()) > 500


def test_lines_of_one_kind_are_limited_and_omitted_ones_are_reported(
    pipe: tuple[int, int],
) -> None:
    log = EventLog(pipe[1])
    set_up_events(log, host="edge-1")
    for _ in range(5 * MAX_LINES_PER_S):
        record_event("refused")
    record_event("start")
    log.flush()
    written = [line["event"] for line in read_lines(pipe[0])]
    # The next second may begin while the lines are written.
    assert MAX_LINES_PER_S <= written.count("refused") <= 2 * MAX_LINES_PER_S
    assert written.count("start") == 1
    assert log.omitted["refused"] >= 3 * MAX_LINES_PER_S
    log._second -= 1
    record_event("start")
    log.flush()
    reported = [line for line in read_lines(pipe[0]) if line["event"] == OMITTED_EVENT]
    assert reported
    assert "refused" in str(reported[0]["counts"])
    assert reported[0]["host"] == "edge-1"


def test_lines_arrive_complete_and_in_order_at_a_slow_reader(
    pipe: tuple[int, int],
) -> None:
    log = EventLog(pipe[1])
    set_up_events(log)
    lines: list[dict[str, object]] = []
    data = b""
    for number in range(60):
        record_event("placed", number=number, text=LONG)
        log.flush()
        if number % 7 == 0:
            data += os.read(pipe[0], 10_000)
    while log._lines:
        data += os.read(pipe[0], 65_536)
        log.flush()
    while True:
        try:
            data += os.read(pipe[0], 65_536)
        except BlockingIOError:
            break
    lines = [orjson.loads(line) for line in data.splitlines()]
    assert [line["number"] for line in lines] == list(range(60))


async def test_log_is_written_by_its_task(pipe: tuple[int, int]) -> None:
    log = EventLog(pipe[1])
    set_up_events(log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.run)
        record_event("start")
        with trio.fail_after(2.0):
            while not log.written:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert [line["event"] for line in read_lines(pipe[0])] == ["start"]
