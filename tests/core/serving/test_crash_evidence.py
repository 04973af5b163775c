from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from lycheepath.core.catalog.model import Instance
from lycheepath.core.serving.crash_evidence import (
    ALIVE_FROM_S,
    ALIVE_UNTIL_S,
    BLOCK_GROWTH,
    BLOCK_S,
    CLEARED_S,
    FORGET_S,
    MAX_ENDS,
    MAX_KEPT_ENDS,
    MAX_REQUESTS,
    OBJECTION_S,
    SAME_MOMENT_S,
    TRIAL_PAUSE_S,
    UNCERTAIN_BLOCK_S,
    CrashEvidence,
)
from lycheepath.core.serving.crash_reports import CrashReport

if TYPE_CHECKING:
    from collections.abc import Sequence

BAD, FIRST, OTHER = "bad", "first", "other"
# Time between two ends in these tests, in seconds.
STEP_S = 1.0


def instance(number: int) -> Instance:
    return Instance(f"i-{number}", 0)


def record_ends(
    evidence: CrashEvidence,
    features: Sequence[str],
    count: int = MAX_ENDS,
    first: int = 0,
    step_s: float = STEP_S,
) -> float:
    """Record ends under one request's features; return a time after the last one."""
    for number in range(first, first + count):
        evidence.record_break(instance(number), features, number * step_s)
    return (first + count - 1) * step_s + OBJECTION_S


def test_part_under_which_several_targets_ended_is_blocked() -> None:
    evidence = CrashEvidence()
    for number in range(MAX_ENDS):
        assert evidence.find_block((FIRST, BAD), number * STEP_S) is None
        evidence.record_break(instance(number), (f"f{number}", BAD), number * STEP_S)
    block = evidence.find_block((FIRST, BAD), MAX_ENDS * STEP_S)
    assert block is not None
    assert (block.feature, block.together) == (BAD, frozenset())
    assert block.targets == ("i-0", "i-1", "i-2")
    assert evidence.find_block((FIRST,), MAX_ENDS * STEP_S) is None


def test_requests_without_the_suspected_combination_are_not_refused() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (FIRST, BAD))
    assert evidence.find_block((FIRST, BAD), now)
    assert evidence.find_block((FIRST, OTHER), now) is None
    assert evidence.find_block((OTHER, BAD), now) is None


def test_answer_with_one_of_two_suspected_parts_leaves_the_other() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (FIRST, BAD))
    evidence.record_answer((FIRST, OTHER), now)
    block = evidence.find_block((OTHER, BAD), now)
    assert block is not None
    assert block.feature == BAD
    assert evidence.find_block((FIRST, OTHER), now) is None


def test_suspected_part_in_other_company_is_the_only_one_left() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (FIRST, BAD))
    evidence.record_break(instance(9), (OTHER, BAD), now)
    assert evidence.find_block((BAD,), now)
    assert evidence.find_block((FIRST, OTHER), now) is None


def test_wide_part_is_not_blocked_while_a_narrower_one_was_at_the_same_ends() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (FIRST, BAD))
    evidence.record_break(instance(0), (FIRST, OTHER), 0.0)
    block = evidence.find_block((FIRST, BAD), now)
    assert block is not None
    assert (block.feature, block.together) == (BAD, frozenset({FIRST}))
    assert evidence.find_block((FIRST, "next"), now) is None
    evidence.record_break(instance(9), (FIRST, OTHER), now)
    wide = evidence.find_block((FIRST, "next"), now)
    assert wide is not None
    assert wide.feature == FIRST


def test_part_that_was_answered_shortly_before_is_not_suspected() -> None:
    evidence = CrashEvidence()
    evidence.record_answer((FIRST,), 0.0)
    now = record_ends(evidence, (FIRST,))
    assert evidence.find_block((FIRST,), now) is None
    first = int(CLEARED_S) + 1
    now = record_ends(evidence, (FIRST,), first=first)
    assert evidence.find_block((FIRST,), now)


def test_broken_connections_to_one_target_do_not_block() -> None:
    evidence = CrashEvidence()
    for number in range(10):
        evidence.record_break(instance(1), (BAD,), number * STEP_S)
    assert evidence.find_block((BAD,), 10.0) is None


def test_restarted_targets_under_one_id_count_as_several() -> None:
    evidence = CrashEvidence()
    for born_ms in range(1, MAX_ENDS + 1):
        evidence.record_break(Instance("i-1", born_ms), (BAD,), born_ms * STEP_S)
    assert evidence.find_block((BAD,), 10.0)


def test_connections_that_break_at_the_same_moment_do_not_block() -> None:
    evidence = CrashEvidence()
    for number in range(9):
        at = number * SAME_MOMENT_S / 10
        evidence.record_break(instance(number), (BAD,), at, sent_at=-1.0)
    assert evidence.find_block((BAD,), OBJECTION_S + 1.0) is None


def test_request_that_is_sent_again_at_once_ends_one_target_after_the_other() -> None:
    evidence = CrashEvidence()
    for number in range(MAX_ENDS):
        at = number * SAME_MOMENT_S / 10
        evidence.record_break(instance(number), (BAD,), at, sent_at=at - 0.002)
    assert evidence.find_block((BAD,), OBJECTION_S)


def test_host_without_peers_waits_for_no_objection() -> None:
    evidence = CrashEvidence()
    record_ends(evidence, (BAD,), step_s=OBJECTION_S / 10)
    assert evidence.find_block((BAD,), OBJECTION_S / 2) is None
    evidence.has_peers = False
    assert evidence.find_block((BAD,), OBJECTION_S / 2)


def test_target_that_is_heard_from_did_not_end() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (BAD,), count=MAX_ENDS)
    last = instance(MAX_ENDS - 1)
    broke_at = (MAX_ENDS - 1) * STEP_S
    assert not evidence.record_contact(last, broke_at + ALIVE_FROM_S / 2)
    assert evidence.find_block((BAD,), now)
    assert not evidence.record_contact(last, broke_at + ALIVE_UNTIL_S + 0.1)
    assert evidence.record_contact(last, broke_at + ALIVE_UNTIL_S / 2)
    assert evidence.find_block((BAD,), now) is None


def test_sign_of_life_holds_against_reports_of_the_same_break() -> None:
    evidence, other = CrashEvidence(), CrashEvidence()
    other.record_break(instance(1), (BAD,), 0.0)
    report = other.report(0.4, 0.0, 8)
    evidence.apply_report(report, 0.4)
    assert evidence.record_contact(instance(1), 0.5)
    evidence.apply_report(report, 0.4)
    assert not evidence.report(0.6, 0.0, 8).ends
    other.apply_report(evidence.report(0.6, 0.0, 8), 0.6)
    assert not other.report(0.7, 0.0, 8).ends


def test_evidence_of_several_hosts_adds_up() -> None:
    hosts = [CrashEvidence() for _ in range(MAX_ENDS)]
    for number, evidence in enumerate(hosts):
        evidence.record_break(instance(number), (BAD,), number * STEP_S)
    now = MAX_ENDS * STEP_S + OBJECTION_S
    for evidence in hosts:
        for other in hosts:
            other.apply_report(evidence.report(now, 0.0, 8), now)
    assert hosts[0].find_block((BAD,), now + OBJECTION_S)


def test_host_that_has_seen_an_answer_objects_to_a_block() -> None:
    suspecting, answering = CrashEvidence(), CrashEvidence()
    answering.record_answer((FIRST,), 0.0)
    now = record_ends(suspecting, (FIRST, BAD))
    answering.apply_report(suspecting.report(now, 0.0, 8), now)
    suspecting.apply_report(answering.report(now, 0.0, 8), now)
    block = suspecting.find_block((FIRST, BAD), now)
    assert block is not None
    assert (block.feature, block.together) == (BAD, frozenset())


def test_reports_do_not_circulate_forever() -> None:
    hosts = [CrashEvidence() for _ in range(3)]
    record_ends(hosts[0], (FIRST, BAD))
    hosts[1].record_answer((FIRST,), 4.0)
    now = 5.0
    for _ in range(40):
        now += 0.1
        for evidence in hosts:
            for other in hosts:
                if other is not evidence:
                    other.apply_report(evidence.report(now, now - 0.5, 8), now + 0.08)
    assert all(not evidence.report(now, now - 0.5, 8) for evidence in hosts)


def test_blocked_part_is_tried_by_one_request_when_its_time_is_over() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (BAD,))
    block = evidence.find_block((BAD,), now)
    assert block is not None
    assert not evidence.start_trial(block, now)
    late = block.until
    assert late == block.last_end_at + BLOCK_S
    assert evidence.start_trial(block, late)
    again = evidence.find_block((BAD,), late)
    assert again is not None
    assert not evidence.start_trial(again, late)
    evidence.record_break(instance(99), (BAD,), late + 1.0)
    failed = evidence.find_block((BAD,), late + 1.0)
    assert failed is not None
    assert failed.until - failed.last_end_at > 5 * BLOCK_S


def test_many_requests_in_flight_do_not_hide_the_one_that_ends_targets() -> None:
    evidence = CrashEvidence()
    for number in range(MAX_ENDS):
        for other in range(3 * MAX_REQUESTS):
            plain = (f"request {number}-{other}",)
            evidence.record_break(instance(number), plain, number * STEP_S)
        fatal = ("part bad", f"request bad-{number}")
        evidence.record_break(instance(number), fatal, number * STEP_S)
    now = MAX_ENDS * STEP_S
    block = evidence.find_block(("part bad", "request next"), now)
    assert block is not None
    assert block.until == block.last_end_at + BLOCK_S
    report = evidence.report(now, 0.0, 99)
    assert max(len(end.requests) for end in report.ends) == MAX_REQUESTS


def test_part_that_never_was_alone_is_tried_soon() -> None:
    evidence = CrashEvidence()
    for number in range(MAX_ENDS):
        evidence.record_break(instance(number), (BAD,), number * STEP_S)
        evidence.record_break(instance(number), (OTHER,), number * STEP_S)
    now = MAX_ENDS * STEP_S
    block = evidence.find_block((OTHER,), now)
    assert block is not None
    assert block.until == block.last_end_at + UNCERTAIN_BLOCK_S
    evidence.record_answer((OTHER,), block.until)
    assert evidence.find_block((OTHER,), block.until) is None
    assert evidence.find_block((BAD,), block.until)


def test_pauses_before_a_part_is_blocked_are_no_trials() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (BAD,), step_s=40.0)
    block = evidence.find_block((BAD,), now)
    assert block is not None
    assert block.until == block.last_end_at + BLOCK_S


def test_part_whose_ends_another_part_mostly_explains_is_tried_soon() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (BAD,))
    for number in (1, 2, 9):
        evidence.record_break(instance(number), (OTHER,), number * STEP_S)
    now = 9 * STEP_S + OBJECTION_S
    block = evidence.find_block((OTHER,), now)
    assert block is not None
    assert block.until == block.last_end_at + UNCERTAIN_BLOCK_S


def test_uncertain_part_whose_trial_ends_a_target_is_tried_again_later() -> None:
    evidence = CrashEvidence()
    for number in range(MAX_ENDS):
        evidence.record_break(instance(number), (BAD,), number * STEP_S)
        evidence.record_break(instance(number), (OTHER,), number * STEP_S)
    at = MAX_ENDS * STEP_S + UNCERTAIN_BLOCK_S
    evidence.record_break(instance(9), (BAD,), at)
    evidence.record_break(instance(9), (OTHER,), at)
    block = evidence.find_block((OTHER,), at)
    assert block is not None
    assert block.until == pytest.approx(at + UNCERTAIN_BLOCK_S * BLOCK_GROWTH)


def test_rival_parts_are_tried_one_after_the_other_the_most_frequent_first() -> None:
    evidence = CrashEvidence()
    for number in range(MAX_ENDS):
        evidence.record_break(instance(number), (BAD,), number * STEP_S)
        for other in range(3):
            features = (OTHER, f"request {number}-{other}")
            evidence.record_break(instance(number), features, number * STEP_S)
    now = MAX_ENDS * STEP_S
    first, second = evidence.find_block((OTHER,), now), evidence.find_block((BAD,), now)
    assert first is not None
    assert second is not None
    assert evidence.count_earlier_trials(first, now) == 0
    assert evidence.count_earlier_trials(second, now) == 1


def test_trial_without_an_outcome_is_repeated() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (BAD,))
    block = evidence.find_block((BAD,), now)
    assert block is not None
    late = block.until
    assert evidence.start_trial(block, late)
    evidence.end_trial(BAD, late + 1.0)
    again = evidence.find_block((BAD,), late + 1.0)
    assert again is not None
    assert not evidence.start_trial(again, late + 1.0)
    assert again.until == late + 1.0 + TRIAL_PAUSE_S


def test_old_evidence_is_forgotten_unless_it_blocks() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (BAD,))
    evidence.record_break(instance(50), (OTHER,), now)
    evidence.expire(now + FORGET_S + 1.0)
    ends = evidence.report(now + FORGET_S + 1.0, 0.0, 99).ends
    assert {end.instance.target for end in ends} == {"i-0", "i-1", "i-2"}


def test_size_of_the_evidence_is_bounded_and_blocks_are_kept_longest() -> None:
    evidence = CrashEvidence()
    now = record_ends(evidence, (BAD,))
    for number in range(2 * MAX_KEPT_ENDS):
        features = tuple(f"p{number}-{feature}" for feature in range(8))
        evidence.record_break(instance(100 + number), features, now + number / 1000)
    late = now + 10.0
    evidence.expire(late)
    assert len(evidence.report(late, 0.0, 10**6).ends) == MAX_KEPT_ENDS
    assert evidence.find_block((BAD,), late)


def test_empty_evidence_reports_nothing() -> None:
    evidence = CrashEvidence()
    evidence.record_answer((FIRST,), 1.0)
    assert not evidence.report(1.0, 0.0, 8)
    assert not CrashReport()


@pytest.mark.parametrize("seed", range(20))
def test_slow_fatal_requests_end_few_targets_and_block_no_other_part(seed: int) -> None:
    """A fatal request every two seconds, tried twice, beside features that are answered."""
    draw = random.Random(seed)
    evidence = CrashEvidence()
    now, ends, fatal_at = 0.0, 0, 2.0
    while now < 60.0:
        now += draw.expovariate(10.0)
        shared = f"s{draw.randrange(5)}"
        if now < fatal_at:
            if evidence.find_block((shared, "good"), now) is None:
                evidence.record_answer((shared, "good"), now)
            continue
        fatal_at += 2.0
        for _ in range(2):
            if evidence.find_block((shared, BAD), now) is None:
                ends += 1
                evidence.record_break(instance(ends), (shared, BAD), now)
                now += 0.15
    assert ends == MAX_ENDS
    assert [block.feature for block in evidence.list_blocks(now)] == [BAD]
