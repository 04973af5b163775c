from __future__ import annotations

from lycheepath.core.placement.brittleness import (
    FULL_QUERIES_PER_S,
    MAX_FULL_WAIT_S,
    REFUSALS_S,
    RESERVATION_S,
    SERVICE_TTL_S,
    SLOT_RECOVERY_S,
    Brittleness,
    BrittleServices,
    Room,
    find_full_wait_s,
    find_share,
)

SLOTS = 4


def test_statement_ends_with_the_answer_to_a_later_request() -> None:
    own = Brittleness()
    assert own.observe_answer(3, sent_at=1.0, now=2.0)
    assert not own.observe_answer(None, sent_at=1.5, now=2.5)
    assert own.observe_answer(2, sent_at=1.6, now=2.6)
    assert own.observe_answer(None, sent_at=3.0, now=3.1)
    assert own.limit is None


def test_statement_of_a_service_counts_until_its_target_has_answered() -> None:
    services = BrittleServices()
    assert services.observe("books", "east", 3, 10.0)
    assert not services.observe("books", "east", 3, 11.0)
    own = Brittleness()
    assert services.find_limit("books", "east", own, 12.0) == 3
    assert services.find_limit("books", "west", own, 12.0) is None
    assert services.find_limit("books", "east", own, 12.0 + SERVICE_TTL_S) is None
    own.observe_answer(None, sent_at=11.0, now=12.0)
    assert services.find_limit("books", "east", own, 12.0) is None


def test_older_statement_of_a_peer_changes_nothing() -> None:
    services = BrittleServices()
    services.observe("books", "east", 3, 10.0)
    assert not services.observe("books", "east", 5, 9.0)
    assert services.find_limit("books", "east", Brittleness(), 10.0) == 3


def test_another_limit_in_each_answer_is_kept_but_no_news_for_peers() -> None:
    services = BrittleServices()
    assert services.observe("books", "east", 3, 10.0)
    for at, limit in ((10.1, 4), (10.2, 3), (10.3, 5)):
        assert not services.observe("books", "east", limit, at)
        assert services.find_limit("books", "east", Brittleness(), at) == limit


def test_grants_and_requests_in_flight_never_exceed_the_slots() -> None:
    room = Room()
    assert [room.grant(SLOTS, 2, 0.0, "host-2") for _ in range(2)] == [0.0, 0.0]
    assert room.grant(SLOTS, 2, 0.0, "host-3") > 0.0
    # Once reported, requests count by the report alone.
    room.confirm("host-2", 1)
    assert room.grant(SLOTS, 3, 0.0) > 0.0
    assert room.grant(SLOTS, 2, 0.0) == 0.0


def test_grant_that_is_never_used_expires() -> None:
    room = Room()
    assert room.grant(1, 0, 0.0, "host-2") == 0.0
    assert room.grant(1, 0, RESERVATION_S / 2) > 0.0
    assert room.grant(1, 0, RESERVATION_S) == 0.0


def test_refusals_stay_below_the_limit_even_if_each_request_is_refused() -> None:
    for limit in (1, 2, 3, 10):
        room = Room()
        refused: list[float] = []
        for step in range(1000):
            now = step / 100
            if room.grant(SLOTS, 0, now) == 0.0:
                refused.append(now)
                room.record_refusal(SLOTS, limit, now)
        for at in refused:
            assert sum(at <= other < at + 1.0 for other in refused) <= limit
        assert len(refused) >= 5


def test_refusal_costs_a_slot_for_a_while() -> None:
    room = Room()
    room.record_refusal(SLOTS, 3, 0.0)
    later = REFUSALS_S
    assert room.grant(SLOTS, SLOTS - 1, later) > 0.0
    assert room.grant(SLOTS, SLOTS - 2, later) == 0.0
    assert room.grant(SLOTS, SLOTS - 1, SLOT_RECOVERY_S + 0.01) == 0.0


def test_target_with_one_slot_is_still_used_after_refusals() -> None:
    room = Room()
    for at in (0.0, 1.0, 2.0):
        room.record_refusal(1, 1, at)
    assert room.grant(1, 0, 2.0 + REFUSALS_S + 0.01) == 0.0


def test_shares_of_all_hosts_make_up_the_slots() -> None:
    for slots in (1, 4, 9):
        for hosts in (1, 3, 6):
            shares = [find_share(slots, hosts, place) for place in range(hosts)]
            assert sum(shares) == slots


def test_full_target_is_asked_no_more_often_by_more_hosts() -> None:
    for hosts in (4, 9, 18):
        assert hosts / find_full_wait_s(hosts) <= FULL_QUERIES_PER_S + 0.01
    assert find_full_wait_s(200) == MAX_FULL_WAIT_S
