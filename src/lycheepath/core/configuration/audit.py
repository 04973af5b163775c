"""
The audit trail: which configuration was offered, by whom, and what became of it.

Records are typed data in a ring of bounded size. The same event repeated by
the same source is counted, not recorded again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

MAX_RECORDS = 256


class AuditEvent(Enum):
    """What became of an offered value."""

    ACCEPTED = "accepted"
    STALE = "stale"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """
    One change or refused change of a value.

    ``at_s`` is on the clock that the caller of the keeper uses. The view
    fields are what this host had in force after the event; revision 0 and an
    empty digest mean nothing.
    """

    at_s: float
    event: AuditEvent
    name: str
    source: str
    revision: int
    from_digest: str
    to_digest: str
    view_revision: int
    view_digest: str
    detail: str = ""


class AuditTrail:
    """The latest records and the count of each event."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=MAX_RECORDS)
        self.counts: dict[AuditEvent, int] = dict.fromkeys(AuditEvent, 0)

    def add(self, record: AuditRecord) -> None:
        """Count the event, and record it unless the source repeats itself."""
        self.counts[record.event] += 1
        if not any(_is_repeat(record, earlier) for earlier in self._records):
            self._records.append(record)

    def list_records(self) -> tuple[AuditRecord, ...]:
        """Return the records, oldest first."""
        return tuple(self._records)


def _is_repeat(record: AuditRecord, earlier: AuditRecord) -> bool:
    return (
        record.event is not AuditEvent.ACCEPTED
        and record.event is earlier.event
        and record.name == earlier.name
        and record.source == earlier.source
        and record.revision == earlier.revision
        and record.to_digest == earlier.to_digest
    )
