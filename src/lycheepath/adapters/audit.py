"""
The audit trail: a bounded ring buffer in memory; each record is also logged.

The buffer is lost on a restart; only the log preserves the records.
"""

from __future__ import annotations

from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from loguru import logger

MAX_RECORDS = 1000


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """
    One change of state of this host.

    ``at_unix_s`` is wall-clock time; ``source`` names the origin of the change.
    """

    at_unix_s: float
    host: str
    kind: str
    source: str
    before: str
    after: str
    detail: str = ""


class AuditTrail:
    """The latest records of one process, oldest first."""

    def __init__(self, size: int = MAX_RECORDS) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=size)

    def add(self, record: AuditRecord) -> None:
        """Store a record and log it."""
        self._records.append(record)
        logger.bind(audit=asdict(record)).info(
            "{}: {} -> {} ({})",
            record.kind,
            record.before or "none",
            record.after or "none",
            record.source,
        )

    def read(self) -> list[dict[str, Any]]:
        """Return the records as dictionaries, oldest first."""
        return [asdict(record) for record in self._records]
