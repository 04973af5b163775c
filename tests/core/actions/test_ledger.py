from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.actions.claims import (
    ActionInvariantError,
    Begun,
    Claim,
    ClaimConditions,
    KeyOrigin,
    Permit,
    RecordedAnswer,
    Refusal,
    Replay,
    Run,
)
from lycheepath.core.actions.handover import Handover
from lycheepath.core.actions.ledger import ActionLedger, LedgerLimits
from lycheepath.core.reasons import Absent, Reason

CLAIM = Claim("brides", "deposits", "key")
TERMS = ClaimConditions(
    received_not_before=0.0, window_s=120.0, deadline=8.0, revision=3
)
ANSWER = RecordedAnswer(200, "application/json", b"{}")


def begin(ledger: ActionLedger, now: float = 0.0, claim: Claim = CLAIM) -> Begun:
    return ledger.begin(claim, b"print", replace(TERMS, received_not_before=now), now)


def take_permit(ledger: ActionLedger, now: float = 0.0, claim: Claim = CLAIM) -> Permit:
    permit = begin(ledger, now, claim)
    assert isinstance(permit, Permit)
    return permit


def assert_refused(answer: object, run: Run, reason: Reason) -> None:
    assert isinstance(answer, Refusal)
    assert (answer.run, answer.reason) == (run, reason)


def test_duplicates_get_the_recorded_answer() -> None:
    ledger = ActionLedger()
    permit = take_permit(ledger)
    assert_refused(begin(ledger), Run.UNKNOWN, Reason.IN_PROGRESS)
    assert ledger.authorise_send(permit, 0.1, 3) is None
    ledger.complete(permit, ANSWER)
    assert begin(ledger, 100.0) == Replay(ANSWER)
    other = ledger.begin(
        CLAIM, b"other", replace(TERMS, received_not_before=100.0), 100.0
    )
    assert_refused(other, Run.NOT_RUN, Reason.KEY_REUSED)


@pytest.mark.parametrize(
    ("now", "revision", "reason"),
    [
        (0.3, 3, Reason.PERMIT_TOO_OLD),
        (0.1, 4, Reason.VIEW_TOO_OLD),
    ],
)
def test_permit_is_checked_again_right_before_sending(
    now: float, revision: int, reason: Reason
) -> None:
    ledger = ActionLedger()
    permit = take_permit(ledger)
    assert_refused(ledger.authorise_send(permit, now, revision), Run.NOT_RUN, reason)
    assert_refused(begin(ledger, 1.0), Run.NOT_RUN, reason)
    assert ledger.counts.sent == 0


def test_deadline_ends_a_claim_that_was_not_sent() -> None:
    ledger = ActionLedger()
    permit = take_permit(ledger, 7.9)
    assert_refused(ledger.authorise_send(permit, 8.01, 3), Run.NOT_RUN, Reason.DEADLINE)
    renewed = ledger.renew_permit(take_permit(ledger, 8.5, other_claim(1)), 8.6, 3)
    assert_refused(renewed, Run.NOT_RUN, Reason.DEADLINE)


def test_not_run_is_said_only_before_sending() -> None:
    ledger = ActionLedger()
    unsent = ledger.renew_permit(take_permit(ledger), 0.2, 3)
    assert isinstance(unsent, Permit)
    assert_refused(ledger.fail(unsent, Reason.NO_TARGET), Run.NOT_RUN, Reason.NO_TARGET)
    assert_refused(begin(ledger, 100.0), Run.NOT_RUN, Reason.NO_TARGET)
    sent = take_permit(ledger, claim=other_claim(1))
    assert ledger.authorise_send(sent, 0.0, 3) is None
    lost = ledger.fail(sent, Reason.NO_TARGET)
    assert_refused(lost, Run.UNKNOWN, Reason.ANSWER_LOST)
    assert lost.copy is Run.UNKNOWN
    with pytest.raises(ActionInvariantError):
        ledger.authorise_send(sent, 0.0, 3)


def test_request_that_waited_too_long_is_refused() -> None:
    ledger = ActionLedger()
    stale = ledger.begin(CLAIM, b"print", TERMS, 10.1)
    assert_refused(stale, Run.UNKNOWN, Reason.VIEW_TOO_OLD)
    ticket = replace(TERMS, received_not_before=5.0, ticket_expires_at=5.0)
    expired = ledger.begin(CLAIM, b"print", ticket, 5.0)
    assert_refused(expired, Run.UNKNOWN, Reason.TICKET_EXPIRED)
    ledger.fail(take_permit(ledger), Reason.NO_TARGET)
    known = ledger.begin(CLAIM, b"print", ticket, 5.0)
    assert_refused(known, Run.NOT_RUN, Reason.NO_TARGET)


def test_full_ledger_refuses_rather_than_forgets() -> None:
    limits = LedgerLimits(max_claims=3, max_team_claims=2)
    ledger = ActionLedger(limits)
    for number in range(2):
        take_permit(ledger, claim=other_claim(number))
    refusal = begin(ledger)
    assert_refused(refusal, Run.UNKNOWN, Reason.OVERLOADED)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_s == 130.0
    take_permit(ledger, claim=Claim("artists", "deposits", "key"))
    full = begin(ledger, claim=Claim("brewers", "deposits", "key"))
    assert_refused(full, Run.UNKNOWN, Reason.OVERLOADED)
    assert ledger.expire(129.9) == 0
    assert ledger.expire(130.0) == 3
    assert len(ledger) == 0
    take_permit(ledger, 130.0)


def test_recorded_bodies_are_bounded() -> None:
    ledger = ActionLedger(LedgerLimits(answer_bytes=8, answers_bytes=20))
    for number in range(10):
        permit = take_permit(ledger, claim=other_claim(number))
        assert ledger.authorise_send(permit, 0.0, 3) is None
        body = b"12345678" if number else b"too long"
        ledger.complete(
            permit, RecordedAnswer(200, "text/plain", body * (2 - number % 2))
        )
    assert ledger.bodies_bytes <= 20
    replay = begin(ledger, 1.0, other_claim(0))
    assert isinstance(replay, Replay)
    assert (replay.run, replay.answer.body) == (Run.RUN, None)


def test_handover_cancels_permits_and_has_one_holder() -> None:
    ledger = ActionLedger()
    unsent, sent = take_permit(ledger), take_permit(ledger, claim=other_claim(1))
    assert ledger.authorise_send(sent, 0.0, 3) is None
    with pytest.raises(ActionInvariantError):
        ledger.export_records("h2", 0.0)
    ledger.close()
    assert_refused(begin(ledger, 0.0, other_claim(2)), Run.UNKNOWN, Reason.DRAINING)
    records = ledger.export_records("h2", 0.0)
    refusal = ledger.authorise_send(unsent, 0.0, 3)
    assert isinstance(refusal, Refusal)
    assert refusal.run is Run.NOT_RUN
    with pytest.raises(ActionInvariantError):
        ledger.export_records("h3", 0.0)
    ledger.release_refused_holder("h2")
    assert ledger.export_records("h3", 0.0) == records
    successor = ActionLedger()
    successor.import_records(records, 50.0)
    assert_refused(begin(successor, 60.0), Run.NOT_RUN, Reason.DRAINING)
    lost = begin(successor, 60.0, other_claim(1))
    assert_refused(lost, Run.UNKNOWN, Reason.ANSWER_LOST)
    assert successor.expire(179.9) == 0


def test_void_ticket_is_answered_exactly_after_a_handover() -> None:
    ledger, successor = ActionLedger(), ActionLedger()
    used = Claim("brides", "deposits", "used", KeyOrigin.TICKET)
    unused = Claim("brides", "deposits", "unused", KeyOrigin.TICKET)
    permit = take_permit(ledger, claim=used)
    assert ledger.authorise_send(permit, 0.0, 3) is None
    ledger.complete(permit, ANSWER)
    ledger.close()
    records = ledger.export_records("h2", 5.0)
    handover = Handover("h1", "inc-1", 3, 0.0, 5.0, records)

    def ask(claim: Claim, now: float) -> Replay | Refusal:
        return successor.answer_void_ticket(claim, b"print", 100.0, "inc-1", now)

    assert_refused(ask(used, 1000.0), Run.UNKNOWN, Reason.TICKET_VOID)
    successor.import_handover(handover, 1000.0)
    assert ask(used, 1001.0) == Replay(ANSWER)
    assert_refused(ask(unused, 1001.0), Run.NOT_RUN, Reason.TICKET_VOID)
    assert_refused(ask(unused, 1095.0), Run.UNKNOWN, Reason.TICKET_EXPIRED)


def test_moved_claims_wait_for_their_answers() -> None:
    ledger = ActionLedger()
    permit = take_permit(ledger)
    assert ledger.authorise_send(permit, 0.0, 3) is None
    take_permit(ledger, claim=other_claim(1))
    assert isinstance(ledger.export_moved(lambda _: True, 1.0), Absent)
    assert ledger.export_moved(lambda claim: claim == other_claim(2), 1.0) == ()
    ledger.complete(permit, ANSWER)
    moved = ledger.export_moved(lambda claim: claim == CLAIM, 1.0)
    assert isinstance(moved, tuple)
    assert [record.claim for record in moved] == [CLAIM]
    denying = ActionLedger()
    denying.fail(take_permit(denying), Reason.NO_TARGET)
    with pytest.raises(ActionInvariantError):
        denying.import_records(moved, 1.0)


def other_claim(number: int) -> Claim:
    return Claim("brides", "deposits", f"key-{number}")
