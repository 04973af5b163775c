from __future__ import annotations

from lycheepath.core.actions.attestation import Attestation, IssuerState
from lycheepath.core.actions.claims import Claim
from lycheepath.core.actions.handover import HOLD_S, Handover, HandoverStore
from lycheepath.core.actions.issuance import select_issuer
from lycheepath.core.environment.model import Environment, Issuers
from lycheepath.core.reasons import Absent, Reason
from tests.core.actions.environments import HOSTS, WINDOW_S, make_environment

BEFORE = make_environment()
AFTER = make_environment(HOSTS, 2, Issuers(hosts=HOSTS[:2], previous=HOSTS, ended=()))
ENDED = make_environment(
    HOSTS, 2, Issuers(hosts=HOSTS[:2], previous=HOSTS, ended=HOSTS[2:])
)
HANDOVER = Handover("h1", "i0", 1, 4.0, 0.0, ())


def find_claim(before: str, after: str) -> Claim:
    """Find a key that a document moves from one issuer to another."""
    for number in range(1000):
        claim = Claim("brides", "deposits", f"key-{number}")
        key = ("accra", claim.team, claim.service, claim.key)
        if (select_issuer(BEFORE, *key), select_issuer(AFTER, *key)) == (before, after):
            return claim
    raise AssertionError("no such key")


OWN = find_claim("h1", "h1")
MOVED = find_claim("h3", "h1")


def make_vouching(established: bool = True) -> Attestation:
    vouching = Attestation("h1", "i1", started_at=0.0)
    if established:
        vouching.apply_issuer_state(IssuerState("h2", "i2", 1, True), BEFORE, "accra")
    return vouching


def find_reason(
    vouching: Attestation,
    now: float,
    claim: Claim = OWN,
    document: Environment = BEFORE,
) -> Reason | None:
    absent = vouching.check(document, "accra", claim, WINDOW_S, now)
    return absent.reason if isinstance(absent, Absent) else None


def test_fresh_incarnation_waits_for_the_window() -> None:
    vouching = make_vouching()
    assert find_reason(vouching, 130.0) is Reason.KEY_TOO_OLD
    assert find_reason(vouching, 133.0) is None
    assert find_reason(vouching, 133.0, find_claim("h2", "h2")) is Reason.NOT_OWNER
    short = vouching.check(BEFORE, "accra", OWN, 1.0, HOLD_S)
    assert isinstance(short, Absent), "a handover might still be released"


def test_handover_shortens_the_wait_unless_the_document_is_older() -> None:
    vouching = make_vouching()
    newer = Handover("h1", "i0", 2, 0.0, 0.0, ())
    assert not vouching.accept_handover(newer, 1, 5.0)
    assert find_reason(vouching, 5.0) is Reason.KEY_TOO_OLD
    assert vouching.accept_handover(HANDOVER, 1, 5.0)
    assert find_reason(vouching, 8.9) is Reason.KEY_TOO_OLD
    assert find_reason(vouching, 9.0) is None


def test_peers_must_show_that_the_document_is_not_outdated() -> None:
    vouching = make_vouching(established=False)
    vouching.apply_issuer_state(IssuerState("h2", "i2", 2, True), BEFORE, "accra")
    vouching.apply_issuer_state(IssuerState("far", "i9", 1, True), BEFORE, "accra")
    assert find_reason(vouching, 200.0) is Reason.VIEW_TOO_OLD
    vouching.apply_issuer_state(IssuerState("h2", "i2", 1, False), BEFORE, "accra")
    assert find_reason(vouching, 200.0) is Reason.VIEW_TOO_OLD
    vouching.apply_issuer_state(IssuerState("h3", "i3", 1, False), BEFORE, "accra")
    assert find_reason(vouching, 200.0) is None


def test_moved_key_needs_a_recent_release_of_the_same_revision() -> None:
    vouching = make_vouching()
    vouching.apply_revision(AFTER, "accra", 200.0)
    assert find_reason(vouching, 200.0, OWN, AFTER) is None
    assert find_reason(vouching, 200.0, MOVED, AFTER) is Reason.KEY_MOVED
    vouching.apply_release("h3", 1, 200.0)
    assert find_reason(vouching, 200.0, MOVED, AFTER) is Reason.KEY_MOVED
    vouching.apply_release("h3", 2, 200.0)
    assert find_reason(vouching, 319.9, MOVED, AFTER) is None
    assert find_reason(vouching, 320.0, MOVED, AFTER) is Reason.KEY_MOVED


def test_ended_host_frees_its_keys_after_the_window() -> None:
    vouching = make_vouching()
    vouching.apply_revision(ENDED, "accra", 200.0)
    assert find_reason(vouching, 330.0, MOVED, ENDED) is Reason.KEY_MOVED
    vouching.apply_revision(ENDED, "accra", 300.0)
    assert find_reason(vouching, 333.0, MOVED, ENDED) is None


def test_previous_issuer_releases_under_the_same_revision_only() -> None:
    vouching = make_vouching()
    assert vouching.check_release(AFTER, 2, WINDOW_S, 200.0) is None
    assert vouching.check_release(AFTER, 3, WINDOW_S, 200.0) is not None
    assert vouching.check_release(AFTER, 2, WINDOW_S, 100.0) is not None


def test_holder_releases_a_handover_to_one_later_incarnation() -> None:
    shelf = HandoverStore()
    assert shelf.accept(HANDOVER, heard_at=0.0, now=10.0) is None
    assert shelf.release("h1", "i1", 20.0) == HANDOVER
    assert shelf.release("h1", "i1", 21.0) == HANDOVER
    assert isinstance(shelf.release("h1", "i2", 22.0), Absent)
    assert isinstance(shelf.release("h1", "i1", HOLD_S), Absent)
    assert len(shelf) == 0
    assert isinstance(shelf.accept(HANDOVER, 0.0, HOLD_S), Absent)


def test_repeated_handover_does_not_replace_a_later_one() -> None:
    shelf = HandoverStore()
    later = Handover("h1", "i1", 1, 0.0, 0.0, ())
    assert shelf.accept(HANDOVER, heard_at=0.0, now=1.0) is None
    assert shelf.release("h1", "i1", 2.0) == HANDOVER
    assert shelf.accept(later, heard_at=3.0, now=4.0) is None
    assert shelf.accept(HANDOVER, heard_at=0.0, now=5.0) is None
    assert shelf.release("h1", "i2", 6.0) == later
