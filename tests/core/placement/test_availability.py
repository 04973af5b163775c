from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.catalog import is_new_instance
from lycheepath.core.placement.availability import (
    MAX_SAVED,
    PEER_REPORT_TTL_S,
    Availability,
    SavedAvailability,
)
from lycheepath.core.placement.model import PreviousAttempts
from lycheepath.core.placement.refusals import MIN_RETRY_AFTER_S
from lycheepath.core.reasons import Absent, Reason
from tests.core.placement.test_choice import (
    choose,
    chosen_id,
    make_entry,
    make_registry,
)


def test_draining_target_gets_no_requests_until_it_is_another_instance() -> None:
    registry = make_registry(make_entry(1))
    registry.record_draining("i-1", 0.0)
    assert isinstance(choose(registry, now=10_000.0), Absent)
    assert [change.event for change in registry.state_changes] == ["target-leaving"]
    registry.record_draining("i-1", 0.1)
    assert len(registry.state_changes) == 1
    assert registry.list_gone_targets(0.2, 2.0) == ("i-1",)


def test_availability_outlives_its_entry_but_not_its_instance() -> None:
    entry = replace(make_entry(1), born_ms=7)
    availability = Availability()
    availability.record_draining(0.0)
    saved = SavedAvailability()
    saved.save(entry, availability, 1.0)
    again = replace(entry, sequence=entry.sequence + 1, restarted_at=30)
    assert saved.restore(again) is availability
    saved.save(entry, availability, 1.0)
    assert not saved.restore(replace(entry, born_ms=8)).leaving


def test_saved_availability_is_bounded() -> None:
    saved = SavedAvailability()
    for number in range(MAX_SAVED + 10):
        availability = Availability()
        availability.record_draining(0.0)
        saved.save(replace(make_entry(number), born_ms=1), availability, 0.0)
    assert not saved.restore(replace(make_entry(0), born_ms=1)).leaving
    last = replace(make_entry(MAX_SAVED + 9), born_ms=1)
    assert saved.restore(last).leaving


def test_instance_is_identified_by_its_start_or_else_its_sequence() -> None:
    entry = replace(make_entry(1), sequence=5, born_ms=0)
    assert is_new_instance(entry, replace(entry, sequence=4))
    assert is_new_instance(entry, replace(entry, born_ms=3))
    born = replace(entry, born_ms=3)
    assert not is_new_instance(born, replace(born, sequence=4, restarted_at=9))
    assert is_new_instance(born, replace(born, sequence=9, born_ms=4))


def test_peer_report_counts_for_a_limited_time() -> None:
    registry = make_registry(make_entry(1))
    registry.apply_gone_report("i-1", 0.0)
    assert isinstance(choose(registry, now=PEER_REPORT_TTL_S - 0.1), Absent)
    assert chosen_id(choose(registry, now=PEER_REPORT_TTL_S)) == "i-1"
    assert registry.list_gone_targets(0.1, 2.0) == ()


def test_busy_target_gets_no_requests_for_the_longest_named_time() -> None:
    registry = make_registry(make_entry(1), make_entry(2))
    registry.record_busy("i-1", 4.0, 0.0)
    registry.record_busy("i-1", 1.0, 0.5)
    for now in (0.0, 0.4, 3.9):
        assert chosen_id(choose(registry, now=now)) == "i-2"
    registry.record_busy("i-2", 1.0, 3.0)
    refused = choose(registry, now=3.0)
    assert isinstance(refused, Absent)
    assert refused.reason is Reason.TARGETS_BUSY
    assert refused.retry_after_s == pytest.approx(1.0)
    assert refused.detail == "no target is open: 2 busy"
    alone = PreviousAttempts(targets=frozenset({"i-2"}))
    assert chosen_id(choose(registry, now=4.0, previous=alone)) == "i-1"


def test_refusal_names_the_time_when_a_busy_target_is_available() -> None:
    registry = make_registry(make_entry(1), make_entry(2), make_entry(3))
    registry.record_busy("i-1", 2.0, 0.0)
    registry.record_busy("i-2", 0.01, 0.0)
    registry.record_draining("i-2", 0.0)
    registry.record_busy("i-3", 9.0, 0.0)
    refused = choose(registry)
    assert isinstance(refused, Absent)
    assert refused.retry_after_s == pytest.approx(2.0)
    assert refused.detail == "no target is open: 2 busy, 1 leaving"
    registry.record_busy("i-1", 2.0, 1.9)
    soon = choose(registry, now=3.89)
    assert isinstance(soon, Absent)
    assert soon.retry_after_s == MIN_RETRY_AFTER_S


def test_busy_target_of_a_remote_region_is_still_used() -> None:
    registry = make_registry(make_entry(1, "west-a"))
    registry.record_busy("i-1", 4.0, 0.0)
    assert chosen_id(choose(registry, now=1.0)) == "i-1"
