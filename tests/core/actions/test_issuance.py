from __future__ import annotations

from collections import Counter

from lycheepath.core.actions.issuance import (
    find_unnamed_issuer_changes,
    list_holders,
    previous_issuers_for,
    select_issuer,
)
from lycheepath.core.environment.model import Environment, Issuers
from lycheepath.core.reasons import Absent
from tests.core.actions.environments import HOSTS, make_environment

KEYS = [f"key-{number}" for number in range(3000)]


def find_issuer(environment: Environment, key: str) -> str:
    issuer = select_issuer(environment, "accra", "brides", "deposits", key)
    assert isinstance(issuer, str)
    return issuer


def test_issuers_share_the_keys_of_their_region_alone() -> None:
    before = make_environment()
    shares = Counter(find_issuer(before, key) for key in KEYS)
    assert set(shares) == set(HOSTS)
    assert min(shares.values()) > len(KEYS) / len(HOSTS) * 0.9
    after = make_environment(HOSTS[:2], revision=2)
    moved = [key for key in KEYS if find_issuer(before, key) != find_issuer(after, key)]
    assert all(find_issuer(before, key) == HOSTS[2] for key in moved)
    nowhere = select_issuer(before, "perth", "brides", "deposits", "key")
    assert isinstance(nowhere, Absent)


def test_previous_issuer_may_be_a_host_that_the_document_dropped() -> None:
    issuers = Issuers(hosts=HOSTS[:2], previous=HOSTS)
    listed = make_environment(issuers=issuers)
    dropped = make_environment(HOSTS[:2], issuers=issuers)
    for key in KEYS[:100]:
        previous = previous_issuers_for(listed, "accra", "brides", "deposits", key)
        candidates = previous_issuers_for(dropped, "accra", "brides", "deposits", key)
        assert len(previous) == 1
        assert candidates[0] == previous[0]
        assert candidates[-1] in HOSTS[:2]


def test_changes_of_issuers_must_name_what_they_replace() -> None:
    before = make_environment()
    unnamed = make_environment(HOSTS[:2], 2)
    named = make_environment(HOSTS[:2], 2, Issuers(previous=HOSTS))
    assert find_unnamed_issuer_changes(before, unnamed) == ("accra",)
    assert find_unnamed_issuer_changes(before, named) == ()


def test_claims_are_held_inside_the_region() -> None:
    assert set(list_holders(make_environment(), "h1")) == {"h2", "h3"}
