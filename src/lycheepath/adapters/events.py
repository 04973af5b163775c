"""
Structured log lines on standard output, bounded in rate and memory, never blocking.

Each line is one event with its fields, as a JSON object. Lines go through loguru into
a buffer, which a task writes as fast as the reader accepts them. At most
``MAX_LINES_PER_S`` lines per second are kept of each kind of event, and lines that
don't fit into the buffer are dropped. Both are counted, and an event reports the
counts::

    record_event("answered", request="9c41", target="i-7f", status=200)
"""

from __future__ import annotations

import os
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

import orjson
import trio
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

STANDARD_OUTPUT = 1
# Largest number of lines per second of one kind of event; three times what the peak of
# requests of one host needs.
MAX_LINES_PER_S = 100
# Size of the buffer; about ten seconds of the lines of a busy host.
BUFFER_BYTES = 1 << 20
# Interval at which the buffer is written.
FLUSH_S = 0.1
OMITTED_EVENT = "log-lines-omitted"


class EventLog:
    """
    State: the lines to be written and the counts of omitted ones.

    They are written to the file descriptor ``descriptor``, by default to standard
    output. ``common`` are the fields of every line.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self._descriptor = descriptor
        self.common: dict[str, Any] = {}
        self.omitted: Counter[str] = Counter()
        self.written = 0
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._reported_counts: Counter[str] = Counter()

    def put(self, message: Message) -> None:
        """Add a line from loguru to the buffer; never blocks."""
        record = message.record
        event = record["message"]
        at = record["time"].timestamp()
        if int(at) != self._second:
            self._second = int(at)
            self._counts.clear()
            self._report_omitted(at)
        self._counts[event] += 1
        if self._counts[event] > MAX_LINES_PER_S:
            self.omitted[event] += 1
            return
        level = record["level"].name.lower()
        line = {"at": round(at, 3), "event": event, "level": level, **record["extra"]}
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        self._append(event, line)

    async def run(self) -> None:
        """Write the buffered lines periodically until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await trio.sleep(FLUSH_S)
            self.flush()

    def flush(self) -> None:
        """Write what the reader accepts without blocking, and keep the rest."""
        while self._lines and self._write_batch():
            pass

    def _write_batch(self) -> bool:
        lines = [self._lines.popleft() for _ in range(min(64, len(self._lines)))]
        data = b"".join(lines)
        self._buffered_bytes -= len(data)
        try:
            written_bytes = os.write(self._descriptor, data)
        except BlockingIOError:
            written_bytes = 0
        except OSError:
            self.omitted["output-closed"] += len(lines)
            return False
        if written_bytes < len(data):
            self._lines.appendleft(data[written_bytes:])
            self._buffered_bytes += len(data) - written_bytes
            return False
        self.written += len(lines)
        return True

    def _append(self, event: str, line: dict[str, Any]) -> None:
        data = orjson.dumps(line, default=str) + b"\n"
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.omitted[event] += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)

    def _report_omitted(self, at: float) -> None:
        new_counts = self.omitted - self._reported_counts
        if new_counts:
            self._reported_counts = Counter(self.omitted)
            line = {
                "at": round(at, 3),
                "event": OMITTED_EVENT,
                "level": "warning",
                **self.common,
                "counts": dict(new_counts),
            }
            self._append(OMITTED_EVENT, line)


def set_up_events(log: EventLog, **common: Any) -> None:
    """Send all log lines to ``log``, each with the fields in ``common``."""
    log.common = common
    logger.remove()
    logger.configure(extra=common)
    logger.add(log.put, level="INFO", format="", catch=False)


def record_event(event: str, **fields: Any) -> None:
    """Log an event of normal operation."""
    logger.bind(**fields).info(event)


def record_fault(event: str, **fields: Any) -> None:
    """Log an event that an operator may have to look into."""
    logger.bind(**fields).warning(event)
