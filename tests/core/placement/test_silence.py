from __future__ import annotations

from lycheepath.core.placement.outcomes import AttemptOutcome
from lycheepath.core.placement.silence import (
    SOUND_SILENCE_S,
    find_heard_s_ago,
    is_active_elsewhere,
    judge_silence,
)
from tests.core.placement.test_choice import make_entry, make_registry


def test_sound_target_that_was_silent_for_a_moment_has_not_failed() -> None:
    target = make_registry(make_entry(1)).targets["i-1"]
    target.last_contact_at = 10.0
    ended = judge_silence(target, 9.9, False, 10.0 + SOUND_SILENCE_S)
    assert ended is AttemptOutcome.UNDETERMINED


def test_target_that_stays_silent_has_failed() -> None:
    target = make_registry(make_entry(1)).targets["i-1"]
    target.last_contact_at = 10.0
    ended = judge_silence(target, 9.9, False, 10.1 + SOUND_SILENCE_S)
    assert ended is AttemptOutcome.TIMED_OUT


def test_target_that_is_silent_for_one_short_attempt_after_the_other_has_failed() -> (
    None
):
    target = make_registry(make_entry(1)).targets["i-1"]
    target.last_contact_at = 10.0
    for since in (10.0, 11.5):
        target.health.record_silence(since, since + 0.2)
    assert judge_silence(target, 11.5, False, 11.7) is AttemptOutcome.UNDETERMINED
    target.health.record_silence(13.0, 13.2)
    assert judge_silence(target, 13.0, False, 13.2) is AttemptOutcome.TIMED_OUT


def test_silences_of_a_target_that_answered_between_them_are_told_apart() -> None:
    target = make_registry(make_entry(1)).targets["i-1"]
    target.last_contact_at = 10.0
    target.health.record_silence(10.0, 10.2)
    target.health.record_activity()
    target.last_contact_at = 11.0
    target.health.record_silence(13.0, 13.2)
    assert judge_silence(target, 13.0, False, 13.2) is AttemptOutcome.UNDETERMINED


def test_target_that_answers_others_has_failed_the_one_that_it_ignored() -> None:
    target = make_registry(make_entry(1)).targets["i-1"]
    target.last_contact_at = 10.7
    assert is_active_elsewhere(target, 10.0, 11.0)
    assert judge_silence(target, 10.0, True, 11.0) is AttemptOutcome.TIMED_OUT
    target.last_contact_at = 10.3
    assert not is_active_elsewhere(target, 10.0, 11.0)


def test_time_since_a_target_was_heard_from_is_unknown_before_its_first_answer() -> (
    None
):
    target = make_registry(make_entry(1)).targets["i-1"]
    assert find_heard_s_ago(target, 5.0) is None
    target.last_contact_at = 3.0
    assert find_heard_s_ago(target, 5.0) == 2.0
