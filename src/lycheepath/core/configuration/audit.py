"""
The audit trail of offered configurations: their sources and the outcomes.

Records are typed data in a ring buffer of bounded size. An event that the same
source repeats is counted but not recorded again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

MAX_RECORDS = 256


class AuditEvent(Enum):
    """The outcome of an offered value."""

    ACCEPTED = "accepted"
    STALE = "stale"
    CONFLICT = "conflict"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """
    One accepted or refused change of a value.

    ``at_s`` is in seconds on the clock that callers of the store pass in. The
    view fields describe the value in force on this host after the event;
    revision 0 with an empty digest means that there was none.
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
    """The latest records and the number of events of each kind."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=MAX_RECORDS)
        self.counts: dict[AuditEvent, int] = dict.fromkeys(AuditEvent, 0)

    def add(self, record: AuditRecord) -> None:
        """Count the event and record it, unless it repeats one of the same source."""
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
