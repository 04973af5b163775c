from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from soak.stop_checks import (
    EARLY_S,
    FINAL_S,
    GRACE_S,
    REFUSALS,
    Request,
    Run,
    Stop,
    count_outcomes,
    find_violations,
    group_runs,
    is_late,
    write_body,
)
from soak.stop_plan import ZONES, draw_stops
from soak.stops import play

if TYPE_CHECKING:
    from pathlib import Path

HOSTS = 3
SECONDS = 6.0
TOLD_AT = 100.0
STOP = Stop("h1", TOLD_AT, TOLD_AT + 7.3)
EVENTS = 9
BODY = write_body("r1", EVENTS)
# A stream that was sent 3.8 s after SIGTERM, and cut off at the end of the host.
CUT = Request(
    "r1",
    "h1",
    TOLD_AT + 3.8,
    TOLD_AT + 7.25,
    5.0,
    EVENTS,
    200,
    False,
    write_body("r1", 4),
)
RUN = Run("r1", CUT.sent_at, TOLD_AT + 8.0)
WHOLE = replace(CUT, whole=True, body=BODY)


def find(request: Request, *runs: Run, stop: Stop = STOP) -> list[str]:
    return list(find_violations([stop], [request], runs))


def change_cut(**fields: Any) -> Request:
    return replace(CUT, **fields)


async def test_planned_stops_break_nothing_off(tmp_path: Path) -> None:
    records = await play(1, HOSTS, SECONDS, tmp_path)
    assert len(records.stops) == len(draw_stops(HOSTS, SECONDS, 1))
    outcomes = count_outcomes(records.requests, group_runs(records.runs))
    assert outcomes["whole"] > 0
    assert any(is_late(request, records.stops) for request in records.requests)
    assert not list(find_violations(records.stops, records.requests, records.runs))


@pytest.mark.parametrize("events", [0, EVENTS])
def test_whole_answer_breaks_nothing(events: int) -> None:
    request = replace(WHOLE, events=events, body=write_body("r1", events))
    assert not find(request, RUN)


def test_late_stream_that_is_cut_at_the_end_is_found() -> None:
    (found,) = find(CUT, RUN)
    assert found.startswith("cut off: r1 at h1, sent 3.800 s, ended 7.250 s")
    assert "4 of 9 events" in found


@pytest.mark.parametrize("sent_s", [-1.0, 0.0, EARLY_S])
def test_early_stream_that_is_cut_in_the_last_sixth_is_excused(sent_s: float) -> None:
    request = change_cut(sent_at=TOLD_AT + sent_s, deadline_s=12.0)
    assert not find(request, replace(RUN, since=request.sent_at))


def test_early_stream_that_is_cut_before_the_last_sixth_is_found() -> None:
    ended_at = TOLD_AT + FINAL_S - 0.1
    early = change_cut(sent_at=TOLD_AT + 2.0, ended_at=ended_at)
    # The target hasn't noticed that its answer was cut off, and worked on.
    assert find(early, replace(RUN, since=early.sent_at))


def test_early_stream_whose_target_was_done_before_the_last_sixth_is_found() -> None:
    early = change_cut(sent_at=TOLD_AT + 2.5)
    assert find(early, Run("r1", early.sent_at, TOLD_AT + FINAL_S - 0.1))


def test_stream_whose_target_broke_off_is_excused() -> None:
    assert not find(CUT, replace(RUN, broke_off=True))


def test_stream_that_reached_its_deadline_is_excused() -> None:
    assert not find(change_cut(deadline_s=3.4), RUN)
    assert find(change_cut(deadline_s=3.5), RUN)


def test_request_that_no_target_got_is_excused() -> None:
    assert not find(change_cut(status=0, body=b""))


def test_cut_of_another_host_or_long_after_a_stop_does_not_count() -> None:
    assert not find(change_cut(host="h2"), RUN)
    late = change_cut(sent_at=TOLD_AT + 8.0, ended_at=TOLD_AT + GRACE_S + 1.1)
    assert not find(late, replace(RUN, since=late.sent_at))
    assert find(replace(late, ended_at=TOLD_AT + GRACE_S + 0.9), RUN)


@pytest.mark.parametrize("status", REFUSALS)
def test_refusal_of_a_request_that_a_target_got_is_found(status: int) -> None:
    refused = replace(WHOLE, status=status, body=b"")
    assert find(refused, RUN)
    assert not find(refused)


def test_complete_failure_breaks_nothing() -> None:
    assert not find(replace(WHOLE, status=504, body=b"late"), RUN)


@pytest.mark.parametrize(
    "body", [write_body("r2", EVENTS), write_body("r1", 8), BODY + BODY, b""]
)
def test_whole_answer_with_other_events_is_found(body: bytes) -> None:
    assert find(replace(WHOLE, body=body), RUN)


def test_joined_stream_is_found_though_it_may_be_cut() -> None:
    joined = write_body("r1", 2) + write_body("r1", 3)
    (found,) = find(change_cut(body=joined, deadline_s=1.0), RUN)
    assert found.startswith("joined answer")


@pytest.mark.parametrize("fields", [{"killed": True, "code": -9}, {"code": 1}])
def test_process_that_does_not_end_by_itself_is_found(fields: dict[str, Any]) -> None:
    assert find(WHOLE, RUN, stop=replace(STOP, **fields))


def test_stops_are_of_one_to_three_hosts_of_which_some_overlap() -> None:
    plans = [draw_stops(9, 30.0, seed) for seed in range(10)]
    stops = [stop for plan in plans for stop in plan]
    assert any(stop.held_after_s for stop in stops)
    assert any(stop.twice_after_s is not None for stop in stops)
    assert any(stop.reload_after_s is not None for stop in stops)
    assert draw_stops(9, 30.0, 1) == plans[1]
    whole_regions = 0
    for plan in plans:
        for stop in plan:
            together = {
                other.host
                for other in plan
                if abs(other.at_s - stop.at_s) < GRACE_S - 1.0
            }
            of_region = {n for n in together if n % len(ZONES) == stop.host % 3}
            whole_regions += len(of_region) == 3
    assert whole_regions
