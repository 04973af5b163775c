"""
The owner's record of a claim, and its transfer to another process.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..reasons import Reason
from .claims import ActionInvariantError
from .handover import HandoverRecord

if TYPE_CHECKING:
    from .claims import Claim, RecordedAnswer


class State(Enum):
    """The state of a claim."""

    PERMITTED = "permitted"
    SENT = "sent"
    DONE = "done"
    LOST = "lost"
    CANCELLED = "cancelled"


IN_FLIGHT = (State.PERMITTED, State.SENT)


@dataclass(slots=True)
class Record:
    """
    A claim's state at its owner.

    ``serial`` is the number of the last permit; zero means that this process
    issued none. ``reason`` is why the claim was cancelled.
    """

    state: State
    fingerprint: bytes
    expires_at: float
    serial: int = 0
    reason: Reason = Reason.IN_PROGRESS
    answer: RecordedAnswer | None = None


def export_record(claim: Claim, record: Record, now: float) -> HandoverRecord:
    """Export a record to another process; an unsent claim is cancelled here."""
    state = record.state
    reason = record.reason
    if state is State.PERMITTED:
        state, reason = State.CANCELLED, Reason.DRAINING
        record.state, record.reason = state, reason
    if state is State.SENT:
        state, reason = State.LOST, Reason.ANSWER_LOST
    return HandoverRecord(
        claim=claim,
        state=state.value,
        fingerprint=record.fingerprint,
        remaining_s=record.expires_at - now,
        reason=reason,
        answer=record.answer,
    )


def merge_record(record: Record, entry: HandoverRecord, now: float) -> None:
    """
    Merge into a record the one that another process handed over.

    Raises ``ActionInvariantError`` if a claim that ran there was answered with
    "not run" here.
    """
    ran = State(entry.state) in (State.SENT, State.DONE, State.LOST)
    if record.state is State.CANCELLED and ran:
        raise ActionInvariantError('a claim reported as "not run" here ran elsewhere')
    record.expires_at = max(record.expires_at, now + entry.remaining_s)


def import_record(entry: HandoverRecord, now: float) -> Record:
    """Create a record from a handed over one, without its answer."""
    return Record(
        state=State(entry.state),
        fingerprint=entry.fingerprint,
        expires_at=now + entry.remaining_s,
        reason=entry.reason,
    )
