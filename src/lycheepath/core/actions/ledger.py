"""
The owner's memory of the claims that it may run.

The ledger belongs to one process incarnation and dies with it. A claim moves
from permitted to sent to done, lost or cancelled and never back; a record
outlives every copy of its request that may still arrive, and only then is
forgotten. When memory is full, new claims are refused rather than old ones
forgotten::

    begun = ledger.begin(claim, fingerprint, terms, now)
    if isinstance(begun, Permit):
        connect()
        refusal = ledger.authorise_send(begun, now, revision)
        if refusal is None:
            write_request()
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .claims import (
    MAX_KEY_CHARS,
    ActionInvariantError,
    KeyOrigin,
    Permit,
    RecordedAnswer,
    Refusal,
    Replay,
    Run,
    refuse_copy,
)
from .records import (
    IN_FLIGHT,
    Record,
    State,
    export_record,
    import_record,
    merge_record,
)
from .refusals import refuse_cancelled, refuse_lost, refuse_spent

if TYPE_CHECKING:
    from collections.abc import Callable

    from .claims import Begun, Claim, ClaimConditions
    from .handover import Handover, HandoverRecord

IN_PROGRESS_RETRY_S = 1.0

_ASK_TICKET = "ask for a new ticket with POST /v1/tickets"


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """
    The bounds of a ledger.

    ``permit_life_s`` is how long a permit may be used after it was made.
    ``freshness_s`` is the greatest age of ``Terms.heard_at``: a request that
    waited longer in a paused process is refused, and records are kept for
    that much longer than the resend window. ``answers_bytes`` bounds the
    recorded bodies together, ``answer_bytes`` each; beyond it only the fact
    that the action ran is kept. ``max_team_claims`` keeps one team from
    filling the ledger.
    """

    permit_life_s: float = 0.25
    freshness_s: float = 10.0
    max_claims: int = 50_000
    max_team_claims: int = 10_000
    answer_bytes: int = 16_384
    answers_bytes: int = 16_777_216


@dataclass(slots=True)
class LedgerCounts:
    """Counters for the metrics page; each only grows."""

    begun: int = 0
    sent: int = 0
    completed: int = 0
    replayed: int = 0
    cancelled: int = 0
    lost: int = 0
    refused_full: int = 0
    refused_stale: int = 0
    forgotten: int = 0
    bodies_dropped: int = 0


@dataclass(slots=True)
class ActionLedger:
    """
    The claims of one process incarnation.

    Whoever calls ``begin`` has checked before that this incarnation owns the
    claim: a ticket names it, or ``Vouching.check`` accepted the caller's key.
    """

    limits: LedgerLimits = field(default_factory=LedgerLimits)
    counts: LedgerCounts = field(default_factory=LedgerCounts)
    _records: dict[Claim, Record] = field(default_factory=dict)
    _expiries: list[tuple[float, int, Claim]] = field(default_factory=list)
    _with_bodies: dict[Claim, int] = field(default_factory=dict)
    _team_claims: Counter[str] = field(default_factory=Counter)
    _bodies_bytes: int = 0
    _serial: int = 0
    _scheduled: int = 0
    _closed: bool = False
    _exported_to: str = ""
    _predecessors: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def bodies_bytes(self) -> int:
        """The bytes of all recorded answers' bodies."""
        return self._bodies_bytes

    @property
    def in_flight(self) -> int:
        """How many claims hold a permit or wait for a target's answer."""
        return sum(record.state in IN_FLIGHT for record in self._records.values())

    def begin(
        self, claim: Claim, fingerprint: bytes, terms: ClaimConditions, now: float
    ) -> Begun:
        """
        Claim the right to run an action, or say what became of it.

        Returns a ``Permit`` to the first request of a claim, the recorded
        answer to a duplicate, and otherwise a refusal at once. A duplicate is
        answered for as long as its claim is remembered, also when its ticket
        has expired or it waited too long to begin.
        """
        self.expire(now)
        outdated = self._refuse_outdated(claim, terms, now)
        record = self._records.get(claim)
        if record is not None:
            expires_at = record.expires_at if outdated else self._expiry(terms, now)
            return self._answer_duplicate(record, fingerprint, expires_at)
        if outdated is not None:
            return outdated
        expires_at = self._expiry(terms, now)
        unavailable = self._refuse_unavailable(claim, now)
        if unavailable is not None:
            return unavailable
        record = Record(State.PERMITTED, fingerprint, expires_at)
        self._store(claim, record)
        self.counts.begun += 1
        return self._permit(claim, record, terms.deadline, terms.revision, now)

    def renew_permit(
        self, permit: Permit, now: float, revision: int
    ) -> Permit | Refusal:
        """
        Replace an unspent permit, after the choice of target was made anew.

        For use when the target refused the connection, or when connecting
        took longer than a permit lives. The caller has checked again that
        this incarnation owns the claim under ``revision``.
        """
        record = self._held(permit)
        if record is None:
            return refuse_spent()
        if self._closed or now > permit.deadline:
            return self._cancel(record, Reason.DEADLINE)
        return self._permit(permit.claim, record, permit.deadline, revision, now)

    def authorise_send(
        self, permit: Permit, now: float, revision: int
    ) -> Refusal | None:
        """
        Spend a permit; ``None`` allows the bytes to be written now.

        To be called after the connection stands and immediately before the
        first byte is written, with a fresh reading of the clock and of the
        configuration revision. A permit that a pause made too old cancels
        the claim, and the refusal truly says "not run".
        """
        record = self._held(permit)
        if record is None:
            return refuse_spent()
        reason = self._find_send_obstacle(permit, now, revision)
        if reason is not None:
            return self._cancel(record, reason)
        if record.state is not State.PERMITTED:
            raise ActionInvariantError("a claim was about to be sent twice")
        record.state = State.SENT
        self.counts.sent += 1
        return None

    def complete(self, permit: Permit, answer: RecordedAnswer) -> None:
        """Record the target's whole answer for duplicates of the request."""
        record = self._sent(permit)
        if record is None:
            return
        record.state = State.DONE
        self.counts.completed += 1
        self._keep_answer(permit.claim, record, answer)

    def fail(self, permit: Permit, reason: Reason) -> Refusal:
        """
        End a claim that got no whole answer, and say truly what is known.

        Before ``authorise_send`` allowed the bytes, this cancels the claim for
        ever and says "not run"; after it, the outcome stays unknown for ever.
        """
        record = self._records.get(permit.claim)
        if record is None or record.serial != permit.serial:
            return refuse_lost()
        if record.state is State.PERMITTED:
            return self._cancel(record, reason)
        if record.state is State.CANCELLED:
            return refuse_cancelled(record.reason)
        if record.state is State.SENT:
            record.state = State.LOST
            self.counts.lost += 1
        return refuse_lost()

    def expire(self, now: float) -> int:
        """Forget the claims that no copy can reach any more; return how many."""
        forgotten = 0
        while self._expiries and self._expiries[0][0] <= now:
            _, _, claim = heappop(self._expiries)
            forgotten += self._forget_if_due(claim, now)
        self.counts.forgotten += forgotten
        return forgotten

    def extend_for_pause(self, pause_s: float) -> None:
        """
        Remember every claim for longer, after the process stood still.

        Copies of a request may have waited in the process's own buffers for
        as long as it was paused.
        """
        for record in self._records.values():
            record.expires_at += pause_s

    def close(self) -> None:
        """Stop beginning claims, before the process leaves."""
        self._closed = True

    def export_records(self, holder: str, now: float) -> tuple[HandoverRecord, ...]:
        """
        Give up all claims for good and list them for ``holder``.

        Only one holder is ever told: a second copy would let
        two later incarnations run the same claim. The call may be repeated
        for the same holder, and for another only after ``holder_refused``.
        """
        if not self._closed:
            raise ActionInvariantError("a ledger was exported while still open")
        if self._exported_to not in ("", holder):
            raise ActionInvariantError("a ledger was exported to a second holder")
        self._exported_to = holder
        return tuple(
            export_record(claim, record, now) for claim, record in self._records.items()
        )

    def export_moved(
        self, moved: Callable[[Claim], bool], now: float
    ) -> tuple[HandoverRecord, ...] | Absent:
        """
        List the claims whose keys a new document gave to another issuer.

        The caller has made sure that this process begins none of them any
        more. Returns an ``Absent`` while one of them still waits for its
        target.
        """
        self.expire(now)
        claims = [
            claim
            for claim in self._records
            if claim.origin is KeyOrigin.CALLER and moved(claim)
        ]
        if any(self._records[claim].state is State.SENT for claim in claims):
            return Absent(Reason.IN_PROGRESS, IN_PROGRESS_RETRY_S)
        return tuple(
            export_record(claim, self._records[claim], now) for claim in claims
        )

    def release_refused_holder(self, holder: str) -> None:
        """
        Allow another holder, since this one certainly holds nothing.

        Only for a refused connection or a definite refusal; never after a
        lost answer.
        """
        if self._exported_to == holder:
            self._exported_to = ""

    def import_handover(self, handover: Handover, now: float) -> None:
        """
        Take over from the previous incarnation of this host.

        Its claims are remembered here for as long as it would have.
        """
        self._predecessors[handover.incarnation] = now - handover.sealed_at
        self.import_records(handover.records, now)

    def import_records(self, records: tuple[HandoverRecord, ...], now: float) -> None:
        """
        Take over the claims of a process that will never run them again.

        Repeating the call changes nothing. The limits on new claims do not
        apply. Raises ``ActionInvariantError`` if a claim that ran there was
        called "not run" here.
        """
        for entry in records:
            record = self._records.get(entry.claim)
            if record is not None:
                merge_record(record, entry, now)
                continue
            imported = import_record(entry, now)
            self._store(entry.claim, imported)
            if entry.answer is not None:
                self._keep_answer(entry.claim, imported, entry.answer)

    def answer_void_ticket(
        self,
        claim: Claim,
        fingerprint: bytes,
        expires_at: float,
        incarnation: str,
        now: float,
    ) -> Replay | Refusal:
        """
        Answer for a ticket that an earlier incarnation of this host issued.

        That incarnation has ended, so the ticket will never run again. With
        its handover the answer is exact, and without it unknown; it is final
        either way.
        """
        self.expire(now)
        offset = self._predecessors.get(incarnation)
        if offset is None:
            return refuse_copy(410, Run.UNKNOWN, Reason.TICKET_VOID, detail=_ASK_TICKET)
        record = self._records.get(claim)
        if record is None and expires_at + offset <= now:
            return refuse_copy(
                410, Run.UNKNOWN, Reason.TICKET_EXPIRED, detail=_ASK_TICKET
            )
        if record is None:
            return refuse_copy(410, Run.NOT_RUN, Reason.TICKET_VOID, detail=_ASK_TICKET)
        answer = self._answer_duplicate(record, fingerprint, record.expires_at)
        if isinstance(answer, Permit):
            raise ActionInvariantError("a void ticket was about to run")
        return answer

    def _expiry(self, terms: ClaimConditions, now: float) -> float:
        resends_end = now + terms.window_s + self.limits.freshness_s
        if terms.ticket_expires_at is None:
            return resends_end
        return max(resends_end, terms.ticket_expires_at)

    def _refuse_outdated(
        self, claim: Claim, terms: ClaimConditions, now: float
    ) -> Refusal | None:
        if len(claim.key) > MAX_KEY_CHARS:
            return refuse_copy(400, Run.UNKNOWN, Reason.KEY_TOO_LONG)
        if terms.ticket_expires_at is not None and now >= terms.ticket_expires_at:
            return refuse_copy(
                410, Run.UNKNOWN, Reason.TICKET_EXPIRED, detail=_ASK_TICKET
            )
        if now - terms.received_not_before > self.limits.freshness_s:
            self.counts.refused_stale += 1
            return refuse_copy(
                503,
                Run.UNKNOWN,
                Reason.VIEW_TOO_OLD,
                IN_PROGRESS_RETRY_S,
                "the request waited in a paused process; send it again",
            )
        return None

    def _answer_duplicate(
        self, record: Record, fingerprint: bytes, expires_at: float
    ) -> Begun:
        record.expires_at = max(record.expires_at, expires_at)
        if record.fingerprint != fingerprint:
            return refuse_copy(
                422,
                Run.NOT_RUN,
                Reason.KEY_REUSED,
                detail="the key belongs to another request; use a new key",
            )
        if record.state in IN_FLIGHT:
            return refuse_copy(
                409, Run.UNKNOWN, Reason.IN_PROGRESS, IN_PROGRESS_RETRY_S
            )
        if record.state is State.CANCELLED:
            return refuse_cancelled(record.reason)
        if record.state is State.LOST or record.answer is None:
            return refuse_lost()
        self.counts.replayed += 1
        return Replay(record.answer)

    def _refuse_unavailable(self, claim: Claim, now: float) -> Refusal | None:
        if self._closed:
            return refuse_copy(503, Run.UNKNOWN, Reason.DRAINING, IN_PROGRESS_RETRY_S)
        full = (
            len(self._records) >= self.limits.max_claims
            or self._team_claims[claim.team] >= self.limits.max_team_claims
        )
        if not full:
            return None
        self.counts.refused_full += 1
        retry_after_s = max(IN_PROGRESS_RETRY_S, self._next_expiry(now) - now)
        return refuse_copy(503, Run.UNKNOWN, Reason.OVERLOADED, retry_after_s)

    def _next_expiry(self, now: float) -> float:
        return self._expiries[0][0] if self._expiries else now

    def _store(self, claim: Claim, record: Record) -> None:
        self._records[claim] = record
        self._team_claims[claim.team] += 1
        self._schedule_expiry(claim, record.expires_at)

    def _schedule_expiry(self, claim: Claim, at: float) -> None:
        self._scheduled += 1
        heappush(self._expiries, (at, self._scheduled, claim))

    def _permit(
        self,
        claim: Claim,
        record: Record,
        deadline: float,
        revision: int,
        now: float,
    ) -> Permit:
        self._serial += 1
        record.serial = self._serial
        return Permit(
            claim=claim,
            serial=self._serial,
            usable_until=now + self.limits.permit_life_s,
            deadline=deadline,
            revision=revision,
        )

    def _held(self, permit: Permit) -> Record | None:
        """Find the record of an unspent permit; ``None`` if it was cancelled."""
        record = self._records.get(permit.claim)
        if record is None:
            return None
        if record.serial != permit.serial:
            raise ActionInvariantError("a permit was used that the ledger replaced")
        if record.state is State.CANCELLED:
            return None
        if record.state is not State.PERMITTED:
            raise ActionInvariantError("a permit was used after its claim was sent")
        return record

    def _sent(self, permit: Permit) -> Record | None:
        """Find the record of a sent claim; ``None`` if it ended already."""
        record = self._records.get(permit.claim)
        if record is None or record.serial != permit.serial:
            return None
        if record.state in (State.PERMITTED, State.CANCELLED):
            raise ActionInvariantError("an answer came for a claim never sent")
        return record if record.state is State.SENT else None

    def _find_send_obstacle(
        self, permit: Permit, now: float, revision: int
    ) -> Reason | None:
        if self._exported_to or now > permit.usable_until:
            return Reason.PERMIT_TOO_OLD
        if now > permit.deadline:
            return Reason.DEADLINE
        if revision != permit.revision:
            return Reason.VIEW_TOO_OLD
        return None

    def _cancel(self, record: Record, reason: Reason) -> Refusal:
        if record.state is not State.PERMITTED:
            raise ActionInvariantError('"not run" was about to be said of a sent claim')
        record.state = State.CANCELLED
        record.reason = reason
        self.counts.cancelled += 1
        return refuse_cancelled(reason)

    def _keep_answer(
        self, claim: Claim, record: Record, answer: RecordedAnswer
    ) -> None:
        size = len(answer.body or b"")
        if size > self.limits.answer_bytes:
            answer = _drop_body(answer)
            size = 0
            self.counts.bodies_dropped += 1
        record.answer = answer
        if size == 0:
            return
        self._with_bodies[claim] = size
        self._bodies_bytes += size
        while self._bodies_bytes > self.limits.answers_bytes:
            self._drop_oldest_body()

    def _drop_oldest_body(self) -> None:
        claim = next(iter(self._with_bodies))
        self._release_body(claim)
        record = self._records[claim]
        if record.answer is not None:
            record.answer = _drop_body(record.answer)
        self.counts.bodies_dropped += 1

    def _release_body(self, claim: Claim) -> None:
        self._bodies_bytes -= self._with_bodies.pop(claim, 0)

    def _forget_if_due(self, claim: Claim, now: float) -> bool:
        record = self._records[claim]
        if record.expires_at > now:
            self._schedule_expiry(claim, record.expires_at)
            return False
        if record.state is State.SENT:
            self._schedule_expiry(claim, now + IN_PROGRESS_RETRY_S)
            return False
        self._release_body(claim)
        del self._records[claim]
        self._team_claims[claim.team] -= 1
        if not self._team_claims[claim.team]:
            del self._team_claims[claim.team]
        return True


def _drop_body(answer: RecordedAnswer) -> RecordedAnswer:
    return RecordedAnswer(answer.status, answer.content_type, None)
