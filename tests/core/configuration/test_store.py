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
def store() -> ConfigurationStore:
    return ConfigurationStore(build_readers("trial"))


def test_store_orders_offers_by_revision(
    store: ConfigurationStore, write_document: Write
) -> None:
    assert isinstance(_offer(store, 2, write_document(2)), Accepted)
    assert isinstance(_offer(store, 1, write_document(1)), Stale)
    assert isinstance(_offer(store, 2, write_document(2)), AlreadyInForce)
    assert isinstance(_offer(store, 3, write_document(3)), Accepted)
    assert _get_held(store).revision == 3


def test_store_reports_a_conflict_until_a_higher_revision(
    store: ConfigurationStore, write_document: Write
) -> None:
    _offer(store, 2, write_document(2))
    in_force = _get_held(store)
    assert isinstance(_offer(store, 2, write_document(2, drain_s=5)), Conflict)
    by_digest = store.offer(NAME, Offer(2, "00" * 32, b"", "peer b"), 0)
    assert isinstance(by_digest, Conflict)
    assert _get_held(store) == in_force
    assert store.get_conflict(NAME) is not None
    _offer(store, 3, write_document(3))
    assert store.get_conflict(NAME) is None


def test_store_keeps_the_value_in_force_on_an_invalid_document(
    store: ConfigurationStore, write_document: Write
) -> None:
    _offer(store, 2, write_document(2))
    in_force = _get_held(store)
    cases = [
        write_document(9, drain_s=-1),
        write_document(8),
        write_document(9, name="other"),
        b"{",
    ]
    for text in cases:
        outcome = _offer(store, 9, text)
        assert isinstance(outcome, Rejected)
        assert outcome.findings.items
    assert _get_held(store) == in_force
    assert len(store.list_rejections(NAME)) == len(cases)
    assert isinstance(_offer(store, 9, write_document(9)), Accepted)
    assert store.list_rejections(NAME) == ()


def test_store_accepts_content_only_under_its_own_digest(
    store: ConfigurationStore, write_document: Write
) -> None:
    other = ConfigurationStore(build_readers("trial"))
    _offer(other, 4, write_document(4))
    held = _get_held(other)
    false = Offer(4, held.digest, write_document(4, drain_s=5), "peer c")
    assert isinstance(store.offer(NAME, false, 0), Rejected)
    true = Offer(4, held.digest, held.text, "peer b")
    assert isinstance(store.offer(NAME, true, 0), Accepted)


def test_store_bounds_its_records_and_rejections(
    store: ConfigurationStore, write_document: Write
) -> None:
    _offer(store, 1, write_document(1))
    for number in range(MAX_RECORDS + 50):
        _offer(store, 9, f"{{{number}".encode())
    assert len(store.list_rejections(NAME)) == MAX_REMEMBERED_REJECTIONS
    assert len(store.audit.list_records()) <= MAX_RECORDS
    assert store.audit.counts[AuditEvent.REJECTED] == MAX_RECORDS + 50


def test_store_records_source_and_digests_of_each_change(
    store: ConfigurationStore, write_document: Write
) -> None:
    _offer(store, 1, write_document(1))
    first = _get_held(store).digest
    _offer(store, 2, write_document(2), "peer a")
    for _ in range(3):
        _offer(store, 1, write_document(1), "peer b")
    accepted, changed, stale = store.audit.list_records()
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
    assert store.audit.counts[AuditEvent.STALE] == 3


def test_store_warns_of_replaced_issuers_that_previous_does_not_name(
    store: ConfigurationStore, write_document: Write
) -> None:
    _offer(store, 1, write_document(1, issuers={"hosts": ["host-1"]}))
    changed = {"hosts": ["host-2"], "previous": ["host-1"]}
    outcome = _offer(store, 2, write_document(2, issuers=changed))
    assert isinstance(outcome, Accepted)
    assert outcome.warnings == ()
    outcome = _offer(store, 3, write_document(3, issuers={"hosts": ["host-1"]}))
    assert isinstance(outcome, Accepted)
    (warning,) = outcome.warnings
    assert warning.pointer == "/issuers/previous"
    assert "the issuers in home change" in warning.message


def test_store_accepts_the_host_list_and_the_directory(
    store: ConfigurationStore,
) -> None:
    listed = {"hosts": [{"id": "h", "address": "10.0.0.1:9080", "state": "live"}]}
    outcome = store.offer(HOSTS, Offer(5, "", _dump(listed), "platform"), 0)
    assert isinstance(outcome, Accepted)
    client = {"id": "c", "team": "t", "region": "r", "key_sha256": "ab" * 32}
    text = _dump({"clients": [client]})
    outcome = store.offer(DIRECTORY, Offer(1, "", text, "platform"), 0)
    assert isinstance(outcome, Accepted)
    assert outcome.held.content == Directory({"ab" * 32: Client("c", "t", "r")})
    assert isinstance(store.offer(HOSTS, Offer(4, "", text, "peer"), 0), Stale)
    invalid = _dump({"clients": [client | {"key_sha256": "secret"}]})
    outcome = store.offer(DIRECTORY, Offer(2, "", invalid, "platform"), 0)
    assert isinstance(outcome, Rejected)


def test_accept_requires_a_higher_revision(
    store: ConfigurationStore, write_document: Write
) -> None:
    _offer(store, 2, write_document(2))
    state = store._values[NAME]
    value = store._readers[NAME](write_document(1))
    with pytest.raises(RevisionFellError):
        store._accept(state, Offer(1, "", b"", "platform"), value, 0)  # type: ignore[arg-type]


def test_start_check_waits_for_peers_for_a_bounded_time() -> None:
    check = StartCheck(0.0, queried_peers=frozenset({"a", "b"}))
    assert not check.may_serve(0, 60)
    assert not check.may_serve(4, 1)
    assert check.may_serve(4, MAX_ANSWER_WAIT_S)
    check.record_answer("a", 5)
    check.record_answer("not queried", 99)
    check.record_answer("b", 0)
    assert not check.may_serve(4, MAX_ANSWER_WAIT_S)
    assert check.may_serve(5, 1)
    assert check.may_serve(4, MAX_CONTENT_WAIT_S)


def _offer(
    store: ConfigurationStore, revision: int, text: bytes, source: str = "platform"
) -> Outcome:
    return store.offer(NAME, Offer(revision, "", text, source), 1.0)


def _get_held(store: ConfigurationStore) -> HeldValue:
    held = store.get(NAME)
    assert held is not None
    return held


def _dump(value: object) -> bytes:
    return json.dumps(value).encode()
