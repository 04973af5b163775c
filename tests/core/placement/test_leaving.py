from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.placement.draining import (
    DRAIN_NOTICE_S,
    SLOW_FACTOR,
    admit_while_draining,
    estimate_end_s,
)
from lycheepath.core.placement.model import Placement
from lycheepath.core.reasons import Absent, Reason
from tests.core.placement.test_choice import choose, make_book, make_entry, make_wanted

WANTED = make_wanted()


def place() -> Placement:
    placed = choose(make_book(make_entry(1)))
    assert isinstance(placed, Placement)
    return placed


def test_answer_is_taken_to_be_as_long_as_it_may_be() -> None:
    placed = replace(place(), first_event_s=0.5, event_interval_s=0.1)
    # 50 tokens, 7 in an event.
    assert estimate_end_s(WANTED.prompt, placed) == pytest.approx(0.5 + 0.1 * 50 / 7)
    assert estimate_end_s(None, placed) == 0.5


def test_host_that_leaves_takes_what_ends_before_it_does() -> None:
    placed = replace(place(), first_event_s=0.5, event_interval_s=0.1)
    ends_s = estimate_end_s(WANTED.prompt, placed)
    assert admit_while_draining(WANTED, placed, ends_s, 0.0) is placed
    refused = admit_while_draining(WANTED, placed, ends_s - 0.01, 0.0)
    assert isinstance(refused, Absent)
    assert refused.reason is Reason.DRAINING
    assert refused.retry_after_s > 0


def test_host_that_has_long_been_leaving_takes_what_ends_for_certain() -> None:
    placed = replace(place(), first_event_s=0.5, event_interval_s=0.1)
    ends_s = estimate_end_s(WANTED.prompt, placed)
    late_s = DRAIN_NOTICE_S + 0.1
    assert not admit_while_draining(WANTED, placed, 1.1 * ends_s, late_s)
    assert admit_while_draining(WANTED, placed, SLOW_FACTOR * ends_s, late_s) is placed
