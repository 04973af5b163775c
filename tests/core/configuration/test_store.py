from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest

from lycheepath.core.clients import Client, Directory
from lycheepath.core.configuration.audit import MAX_RECORDS, AuditEvent
from lycheepath.core.configuration.outcomes import (
    Accepted,
    AlreadyInForce,
    Conflict,
    HeldValue,
    Offer,
    Outcome,
    Rejected,
    Stale,
)
from lycheepath.core.configuration.start_check import (
    MAX_ANSWER_WAIT_S,
    MAX_CONTENT_WAIT_S,
    StartCheck,
)
from lycheepath.core.configuration.store import (
    MAX_REMEMBERED_REJECTIONS,
    ConfigurationStore,
    RevisionFellError,
)
from lycheepath.core.configuration.values import DIRECTORY, HOSTS, build_readers

if TYPE_CHECKING:
    from collections.abc import Callable

    Write = Callable[..., bytes]

NAME = "environment/trial"


@pytest.fixture
def keeper() -> ConfigurationStore:
    return ConfigurationStore(build_readers("trial"))


def test_keeper_orders_offers_by_revision(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    assert isinstance(_offer(keeper, 2, write_document(2)), Accepted)
    assert isinstance(_offer(keeper, 1, write_document(1)), Stale)
    assert isinstance(_offer(keeper, 2, write_document(2)), AlreadyInForce)
    assert isinstance(_offer(keeper, 3, write_document(3)), Accepted)
    assert _hold(keeper).revision == 3


def test_keeper_alarms_on_other_content_until_a_higher_revision(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    _offer(keeper, 2, write_document(2))
    kept = _hold(keeper)
    assert isinstance(_offer(keeper, 2, write_document(2, drain_s=5)), Conflict)
    by_digest = keeper.offer(NAME, Offer(2, "00" * 32, b"", "peer b"), 0)
    assert isinstance(by_digest, Conflict)
    assert _hold(keeper) == kept
    assert keeper.get_conflict(NAME) is not None
    _offer(keeper, 3, write_document(3))
    assert keeper.get_conflict(NAME) is None


def test_keeper_changes_nothing_for_an_unsound_document(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    _offer(keeper, 2, write_document(2))
    kept = _hold(keeper)
    cases = [
        write_document(9, drain_s=-1),
        write_document(8),
        write_document(9, name="other"),
        b"{",
    ]
    for text in cases:
        outcome = _offer(keeper, 9, text)
        assert isinstance(outcome, Rejected)
        assert outcome.findings.items
    assert _hold(keeper) == kept
    assert len(keeper.list_rejections(NAME)) == len(cases)
    assert isinstance(_offer(keeper, 9, write_document(9)), Accepted)
    assert keeper.list_rejections(NAME) == ()


def test_keeper_refuses_content_under_a_false_digest_and_takes_it_under_its_own(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    other = ConfigurationStore(build_readers("trial"))
    _offer(other, 4, write_document(4))
    held = _hold(other)
    false = Offer(4, held.digest, write_document(4, drain_s=5), "peer c")
    assert isinstance(keeper.offer(NAME, false, 0), Rejected)
    true = Offer(4, held.digest, held.text, "peer b")
    assert isinstance(keeper.offer(NAME, true, 0), Accepted)


def test_keeper_bounds_its_memory(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    _offer(keeper, 1, write_document(1))
    for number in range(MAX_RECORDS + 50):
        _offer(keeper, 9, f"{{{number}".encode())
    assert len(keeper.list_rejections(NAME)) == MAX_REMEMBERED_REJECTIONS
    assert len(keeper.audit.list_records()) <= MAX_RECORDS
    assert keeper.audit.counts[AuditEvent.REJECTED] == MAX_RECORDS + 50


def test_keeper_records_who_from_what_to_what(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    _offer(keeper, 1, write_document(1))
    first = _hold(keeper).digest
    _offer(keeper, 2, write_document(2), "peer a")
    for _ in range(3):
        _offer(keeper, 1, write_document(1), "peer b")
    accepted, changed, stale = keeper.audit.list_records()
    assert (accepted.from_digest, accepted.to_digest) == ("", first)
    assert (changed.source, changed.revision, changed.from_digest) == (
        "peer a",
        2,
        first,
    )
    assert (stale.event, stale.source, stale.view_revision) == (
        AuditEvent.STALE,
        "peer b",
        2,
    )
    assert keeper.audit.counts[AuditEvent.STALE] == 3


def test_keeper_warns_of_issuers_that_change_without_being_named(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    _offer(keeper, 1, write_document(1, issuers={"hosts": ["host-1"]}))
    changed = {"hosts": ["host-2"], "previous": ["host-1"]}
    outcome = _offer(keeper, 2, write_document(2, issuers=changed))
    assert isinstance(outcome, Accepted)
    assert outcome.warnings == ()
    outcome = _offer(keeper, 3, write_document(3, issuers={"hosts": ["host-1"]}))
    assert isinstance(outcome, Accepted)
    (warning,) = outcome.warnings
    assert warning.pointer == "/issuers/previous"
    assert "the issuers in home change" in warning.message


def test_keeper_holds_the_host_list_and_the_directory_alike(
    keeper: ConfigurationStore,
) -> None:
    listed = {"hosts": [{"id": "h", "address": "10.0.0.1:9080", "state": "live"}]}
    outcome = keeper.offer(HOSTS, Offer(5, "", _dump(listed), "platform"), 0)
    assert isinstance(outcome, Accepted)
    client = {"id": "c", "team": "t", "region": "r", "key_sha256": "ab" * 32}
    text = _dump({"clients": [client]})
    outcome = keeper.offer(DIRECTORY, Offer(1, "", text, "platform"), 0)
    assert isinstance(outcome, Accepted)
    assert outcome.held.content == Directory({"ab" * 32: Client("c", "t", "r")})
    assert isinstance(keeper.offer(HOSTS, Offer(4, "", text, "peer"), 0), Stale)
    unsound = _dump({"clients": [client | {"key_sha256": "secret"}]})
    outcome = keeper.offer(DIRECTORY, Offer(2, "", unsound, "platform"), 0)
    assert isinstance(outcome, Rejected)


def test_accept_asserts_that_the_revision_rises(
    keeper: ConfigurationStore, write_document: Write
) -> None:
    _offer(keeper, 2, write_document(2))
    slot = keeper._values[NAME]
    value = keeper._readers[NAME](write_document(1))
    with pytest.raises(RevisionFellError):
        keeper._accept(slot, Offer(1, "", b"", "platform"), value, 0)  # type: ignore[arg-type]


def test_start_check_waits_for_peers_but_not_for_ever() -> None:
    check = StartCheck(0.0, queried_peers=frozenset({"a", "b"}))
    assert not check.may_serve(0, 60)
    assert not check.may_serve(4, 1)
    assert check.may_serve(4, MAX_ANSWER_WAIT_S)
    check.record_answer("a", 5)
    check.record_answer("stranger", 99)
    check.record_answer("b", 0)
    assert not check.may_serve(4, MAX_ANSWER_WAIT_S)
    assert check.may_serve(5, 1)
    assert check.may_serve(4, MAX_CONTENT_WAIT_S)


def _offer(
    keeper: ConfigurationStore, revision: int, text: bytes, source: str = "platform"
) -> Outcome:
    return keeper.offer(NAME, Offer(revision, "", text, source), 1.0)


def _hold(keeper: ConfigurationStore) -> HeldValue:
    held = keeper.get(NAME)
    assert held is not None
    return held


def _dump(value: object) -> bytes:
    return json.dumps(value).encode()
