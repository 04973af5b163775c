"""
The audit trail: a bounded ring of records in memory, each also a log line.

Nothing is kept across a restart; the log stream is where records last.
"""

from __future__ import annotations

from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from loguru import logger

RING_RECORDS = 1000


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """
    One change of state of this host.

    ``at_unix_s`` is wall-clock time; ``source`` names who brought the change.
    """

    at_unix_s: float
    host: str
    kind: str
    source: str
    before: str
    after: str
    detail: str = ""


class AuditTrail:
    """The last records of one process, oldest first."""

    def __init__(self, size: int = RING_RECORDS) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=size)

    def add(self, record: AuditRecord) -> None:
        """Keep a record and log it."""
        self._records.append(record)
        logger.bind(audit=asdict(record)).info(
            "{}: {} -> {} ({})",
            record.kind,
            record.before or "none",
            record.after or "none",
            record.source,
        )

    def read(self) -> list[dict[str, Any]]:
        """Return the records as plain mappings, oldest first."""
        return [asdict(record) for record in self._records]
