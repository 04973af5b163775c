"""
Structured log lines on standard output, bounded and never waited for.

Each line is one event with its fields, as a JSON object. Lines go through
loguru into a buffer that a task empties as the reader takes them. Of each kind
of event at most ``LINES_PER_S`` lines are kept a second, and what does not fit
into the buffer is dropped; both are counted, and a line tells the counts::

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
# Of one kind of event; three times what one host's peak of requests needs.
LINES_PER_S = 100
# About ten seconds of the lines of a busy host.
BUFFER_BYTES = 1 << 20
FLUSH_S = 0.1
OMITTED = "log-lines-omitted"


class EventLog:
    """
    State: the lines that wait to be written, and what was left out.

    They are written to ``descriptor``, standard output where not said otherwise.
    ``common`` are the fields of every line.
    """

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        self._descriptor = descriptor
        self.common: dict[str, Any] = {}
        self.omitted: Counter[str] = Counter()
        self.written = 0
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._told: Counter[str] = Counter()

    def put(self, message: Message) -> None:
        """Take a line from loguru; never blocks."""
        record = message.record
        event = record["message"]
        at = record["time"].timestamp()
        if int(at) != self._second:
            self._second = int(at)
            self._counts.clear()
            self._tell_omitted(at)
        self._counts[event] += 1
        if self._counts[event] > LINES_PER_S:
            self.omitted[event] += 1
            return
        level = record["level"].name.lower()
        line = {"at": round(at, 3), "event": event, "level": level, **record["extra"]}
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        self._append(event, line)

    async def run(self) -> None:
        """Write lines as standard output takes them, until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await trio.sleep(FLUSH_S)
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes at once, and keep the rest."""
        while self._lines and self._write_some():
            pass

    def _write_some(self) -> bool:
        lines = [self._lines.popleft() for _ in range(min(64, len(self._lines)))]
        data = b"".join(lines)
        self._size -= len(data)
        try:
            taken = os.write(self._descriptor, data)
        except BlockingIOError:
            taken = 0
        except OSError:
            self.omitted["output-closed"] += len(lines)
            return False
        if taken < len(data):
            self._lines.appendleft(data[taken:])
            self._size += len(data) - taken
            return False
        self.written += len(lines)
        return True

    def _append(self, event: str, line: dict[str, Any]) -> None:
        data = orjson.dumps(line, default=str) + b"\n"
        if self._size + len(data) > BUFFER_BYTES:
            self.omitted[event] += 1
            return
        self._lines.append(data)
        self._size += len(data)

    def _tell_omitted(self, at: float) -> None:
        news = self.omitted - self._told
        if news:
            self._told = Counter(self.omitted)
            line = {
                "at": round(at, 3),
                "event": OMITTED,
                "level": "warning",
                **self.common,
                "counts": dict(news),
            }
            self._append(OMITTED, line)


def set_up_events(log: EventLog, **common: Any) -> None:
    """Send all log lines to ``log``, each with the fields in ``common``."""
    log.common = common
    logger.remove()
    logger.configure(extra=common)
    logger.add(log.put, level="INFO", format="", catch=False)


def record_event(event: str, **fields: Any) -> None:
    """Log an event that is part of normal work."""
    logger.bind(**fields).info(event)


def record_fault(event: str, **fields: Any) -> None:
    """Log an event that somebody may have to look into."""
    logger.bind(**fields).warning(event)
