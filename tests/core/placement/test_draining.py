from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.model import RouteKind
from lycheepath.core.placement.draining import (
    DRAIN_NOTICE_S,
    FINAL_ANSWERS_S,
    FINAL_LOG_S,
    SLOW_FACTOR,
    admit_while_draining,
    estimate_end_s,
    needs_whole_answer,
    plan_ends,
)
from lycheepath.core.placement.model import Placement
from lycheepath.core.placement.silence import SOUND_SILENCE_S
from lycheepath.core.reasons import Absent, Reason
from tests.core.placement.test_choice import (
    choose,
    make_entry,
    make_registry,
    make_request,
)

REQUEST = make_request()


def place() -> Placement:
    placed = choose(make_registry(make_entry(1)))
    assert isinstance(placed, Placement)
    return placed


def test_answer_is_assumed_to_have_the_maximum_length() -> None:
    placed = replace(place(), first_event_s=0.5, event_interval_s=0.1)
    # 50 tokens, 7 per event.
    assert estimate_end_s(REQUEST.prompt, placed) == pytest.approx(0.5 + 0.1 * 50 / 7)
    assert estimate_end_s(None, placed) == 0.5


def test_draining_host_admits_requests_that_end_before_it() -> None:
    placed = replace(place(), first_event_s=0.5, event_interval_s=0.1)
    ends_s = estimate_end_s(REQUEST.prompt, placed)
    assert admit_while_draining(REQUEST, placed, ends_s, 0.0) is placed
    refused = admit_while_draining(REQUEST, placed, ends_s - 0.01, 0.0)
    assert isinstance(refused, Absent)
    assert refused.reason is Reason.DRAINING
    assert refused.retry_after_s > 0


def test_host_draining_for_long_admits_requests_that_certainly_end() -> None:
    placed = replace(place(), first_event_s=0.5, event_interval_s=0.1)
    ends_s = estimate_end_s(REQUEST.prompt, placed)
    late_s = DRAIN_NOTICE_S + 0.1
    route = replace(REQUEST.route, kind=RouteKind.SAFE)
    request = replace(REQUEST, route=route)
    assert not admit_while_draining(request, placed, 1.1 * ends_s, late_s)
    assert admit_while_draining(request, placed, SLOW_FACTOR * ends_s, late_s) is placed


def test_late_stream_is_admitted_if_it_ends_though_its_target_is_silent_meanwhile() -> (
    None
):
    late_s = DRAIN_NOTICE_S + 0.1
    for first_event_s in (0.5, 9.0):
        placed = replace(place(), first_event_s=first_event_s, event_interval_s=0.1)
        ends_s = estimate_end_s(REQUEST.prompt, placed)
        needed_s = max(SLOW_FACTOR * ends_s, ends_s + SOUND_SILENCE_S)
        assert not admit_while_draining(REQUEST, placed, needed_s - 0.01, late_s)
        assert admit_while_draining(REQUEST, placed, needed_s, late_s) is placed


def test_late_answer_may_begin_before_it_is_whole_if_its_deadline_bounds_it() -> None:
    late_s = DRAIN_NOTICE_S + 0.1
    request = replace(REQUEST, time_left_s=4.0)
    assert needs_whole_answer(request, 3.9, late_s)
    assert not needs_whole_answer(request, 4.0, late_s)
    assert not needs_whole_answer(request, 3.9, DRAIN_NOTICE_S)


def test_relayed_answer_begins_only_once_it_is_whole_unless_it_can_be_resumed() -> None:
    request = replace(REQUEST, time_left_s=4.0)
    resumable = replace(request, route=replace(request.route, resumable=True))
    assert not needs_whole_answer(request, 3.9, draining_s=0.1)
    assert needs_whole_answer(request, 3.9, draining_s=0.1, relayed=True)
    assert not needs_whole_answer(request, 4.0, draining_s=0.1, relayed=True)
    for others_resume in (False, True):
        whole = needs_whole_answer(
            resumable, 3.9, draining_s=0.1, relayed=True, others_resume=others_resume
        )
        assert whole is not others_resume


@pytest.mark.parametrize("unnoticed_s", [0.0, 0.5, 1.6, 9.0])
@pytest.mark.parametrize("grace_s", [2.0, 4.8, 8.0])
def test_drain_fails_requests_before_it_can_be_killed_and_cuts_answers_only_in_its_last_sixth(
    unnoticed_s: float, grace_s: float
) -> None:
    noticed_at = 100.0
    ends = plan_ends(noticed_at - unnoticed_s, noticed_at, grace_s)
    killed_at = noticed_at - unnoticed_s + grace_s
    assert ends.fails_at == pytest.approx(killed_at - FINAL_LOG_S - FINAL_ANSWERS_S)
    assert ends.cuts_at >= noticed_at + grace_s * 5 / 6
    assert ends.cuts_at >= ends.fails_at
    if unnoticed_s == 0.0 and grace_s > 6 * FINAL_LOG_S:
        assert ends.cuts_at == pytest.approx(killed_at - FINAL_LOG_S)


def test_late_stream_is_left_to_another_host_unless_a_target_has_it() -> None:
    placed, late_s, left_s = place(), DRAIN_NOTICE_S + 0.1, 30.0
    request = replace(REQUEST, time_left_s=left_s + 1.0)
    refused = admit_while_draining(
        request, placed, left_s, late_s, 0.0, others_serve=True
    )
    assert isinstance(refused, Absent)
    assert refused.reason is Reason.DRAINING
    assert refused.retry_after_s > 0
    for admitted, others_serve in (
        (replace(request, already_sent=True), True),
        (replace(request, time_left_s=left_s), True),
        (replace(request, route=replace(request.route, kind=RouteKind.SAFE)), True),
        (request, False),
    ):
        assert (
            admit_while_draining(admitted, placed, left_s, late_s, 0.0, others_serve)
            is placed
        )
