from __future__ import annotations

from lycheepath.core.placement.reachability import (
    LONG_SUSPICION_S,
    MIN_PROBE_INTERVAL_S,
    READY_AGAIN_S,
    SHORT_SUSPICION_S,
    Reachability,
)
from lycheepath.core.placement.silence import SOUND_SILENCE_S

TARGETS = ("a", "b", "c", "d")


def make_links(*targets: str) -> Reachability:
    links = Reachability("east")
    links.set_targets(targets or TARGETS, 0.0)
    for target in targets or TARGETS:
        links.record_contact(target, 1.0)
    return links


def cut(links: Reachability, now: float, *targets: str) -> None:
    for target in targets or TARGETS:
        links.record_failure(target, "no connection", now)


def test_one_failed_target_is_out_of_reach_by_itself() -> None:
    links = make_links()
    cut(links, 2.0, "a")
    assert links.list_unreachable() == {"a"}
    assert not links.is_suspected


def test_two_failures_without_an_answer_between_them_suspect_the_region() -> None:
    links = make_links()
    cut(links, 2.0, "a", "b")
    assert links.is_suspected
    assert links.list_unreachable() == set(TARGETS)


def test_answer_between_two_failures_clears_the_region() -> None:
    links = make_links()
    cut(links, 2.0, "a")
    links.record_contact("c", 2.1)
    cut(links, 2.2, "b")
    assert links.list_unreachable() == {"a", "b"}
    assert not links.is_suspected


def test_targets_that_failed_long_ago_do_not_suspect_the_region() -> None:
    links = make_links()
    cut(links, 2.0, "a")
    links.record_contact("c", 2.1)
    cut(links, 2.2, "b")
    links.record_contact("c", 2.3)
    cut(links, 9.0, "a", "b")
    assert not links.is_suspected
    cut(links, 9.1, "c", "d")
    assert links.is_suspected


def test_last_target_of_a_region_suspects_it_alone() -> None:
    links = make_links("a")
    cut(links, 2.0, "a")
    assert links.is_suspected
    assert not links.is_cut


def test_short_suspicion_needs_no_probes_of_targets_that_have_not_failed() -> None:
    links = make_links()
    cut(links, 2.0, "a", "b")
    links.record_probe_answer("c", 2.0 + SHORT_SUSPICION_S / 2)
    assert links.list_unreachable() == {"a", "b"}


def test_long_suspicion_ends_target_by_target() -> None:
    links = make_links()
    cut(links, 2.0)
    now = 2.0 + 2 * SHORT_SUSPICION_S
    links.record_probe_answer("c", now)
    assert not links.is_suspected
    assert links.list_unreachable() == {"a", "b", "d"}
    assert links.returned == ["c"]


def test_answer_on_an_open_connection_does_not_bring_a_target_back() -> None:
    links = make_links()
    cut(links, 2.0, "a")
    links.record_contact("a", 2.5)
    assert links.is_unreachable("a")
    links.record_probe_answer("a", 2.6)
    assert not links.is_unreachable("a")


def test_peer_confirms_a_cut_only_by_a_target_that_failed_here() -> None:
    links = make_links()
    cut(links, 2.0, "a", "b")
    links.record_peer_answer("c")
    assert not links.confirmed
    links.record_peer_answer("a")
    assert links.confirmed
    assert not links.is_serving(2.1, False)


def test_host_that_nobody_confirms_to_be_cut_off_stays_ready() -> None:
    links = make_links("a", "b")
    cut(links, 2.0, "a", "b")
    assert links.is_serving(9.0, False)
    assert links.is_serving(2.0 + LONG_SUSPICION_S / 2, True)
    assert not links.is_serving(9.0, True)


def test_host_is_ready_again_a_moment_after_a_confirmed_cut() -> None:
    links = make_links()
    cut(links, 2.0)
    links.record_peer_answer("a")
    links.record_probe_answer("a", 5.0)
    assert not links.is_serving(5.0 + READY_AGAIN_S / 2, False)
    assert links.is_serving(5.0 + READY_AGAIN_S, False)


def test_break_is_the_targets_own_once_any_target_answers_after_it() -> None:
    links = make_links()
    assert not links.was_broken_by_target(1.0)
    links.record_contact("b", 2.0)
    assert links.was_broken_by_target(1.0)


def test_probes_are_bounded_and_take_turns() -> None:
    links = make_links()
    cut(links, 2.0)
    now = 2.0 + MIN_PROBE_INTERVAL_S
    first = links.list_probes(now, 2)
    for target in first:
        links.record_probe(target, now)
    assert len(first) == 2
    assert set(first) | set(links.list_probes(now, 2)) == set(TARGETS)


def test_doubt_without_an_answer_has_targets_in_reach_probed() -> None:
    links = make_links()
    assert not links.needs_probes
    links.record_doubt(2.0)
    assert len(links.list_probes(2.5, 2)) == 2
    links.record_contact("a", 2.6)
    assert not links.needs_probes


def test_region_that_fails_again_after_a_late_answer_is_suspected_again() -> None:
    reachability = Reachability("east")
    reachability.set_targets(("i-1", "i-2", "i-3"), 0.0)
    reachability.record_failure("i-1", "no connection", 1.0)
    reachability.record_failure("i-2", "no connection", 1.1)
    reachability.record_failure("i-3", "no connection", 1.2)
    assert reachability.is_suspected
    # An answer on a connection that has lived on.
    reachability.record_contact("i-3", 1.3)
    for at in (3.0, 3.3, 3.6):
        for target in ("i-1", "i-2", "i-3"):
            reachability.record_failure(target, "no connection", at)
    assert reachability.is_suspected


def test_targets_that_accept_connections_may_be_silent_for_a_moment() -> None:
    reach = Reachability("east")
    reach.set_targets(("i-1", "i-2", "i-3"), 0.0)
    reach.record_contact("i-1", 10.0)
    reach.record_doubt(10.0)
    for target in ("i-1", "i-2"):
        reach.record_failure(target, "no answer", 11.3, accepts=True)
    assert reach.list_unreachable() == {"i-1", "i-2", "i-3"}
    assert reach.list_silent(11.4) == {"i-1", "i-2", "i-3"}
    assert reach.list_silent(10.1 + SOUND_SILENCE_S) == frozenset()


def test_targets_that_accept_no_connections_are_not_taken_for_silent() -> None:
    reach = Reachability("east")
    reach.set_targets(("i-1", "i-2", "i-3"), 0.0)
    reach.record_contact("i-1", 10.0)
    reach.record_failure("i-1", "no connection", 10.5)
    reach.record_failure("i-2", "no answer", 10.6, accepts=True)
    assert reach.list_unreachable() == {"i-1", "i-2", "i-3"}
    assert reach.list_silent(10.7) == {"i-2"}
