from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.catalog import is_new_instance
from lycheepath.core.placement.closures import (
    MOST_PARTED,
    TOLD_S,
    Closure,
    PartedClosures,
)
from lycheepath.core.placement.model import PreviousAttempts
from lycheepath.core.placement.opening import MIN_RETRY_AFTER_S
from lycheepath.core.reasons import Absent, Reason
from tests.core.placement.test_choice import (
    choose,
    chosen_id,
    make_book,
    make_entry,
)


def test_leaving_target_gets_nothing_until_it_is_another_instance() -> None:
    book = make_book(make_entry(1))
    book.record_draining("i-1", 0.0)
    assert isinstance(choose(book, now=10_000.0), Absent)
    assert [note.event for note in book.state_changes] == ["target-leaving"]
    book.record_draining("i-1", 0.1)
    assert len(book.state_changes) == 1
    assert book.list_gone_targets(0.2, 2.0) == ("i-1",)


def test_what_a_target_asked_outlives_its_entry_but_not_its_instance() -> None:
    entry = replace(make_entry(1), born_ms=7)
    closure = Closure()
    closure.note_leaving(0.0)
    parted = PartedClosures()
    parted.keep(entry, closure, 1.0)
    again = replace(entry, sequence=entry.sequence + 1, restarted_at=30)
    assert parted.take(again) is closure
    parted.keep(entry, closure, 1.0)
    assert not parted.take(replace(entry, born_ms=8)).leaving


def test_closures_of_targets_without_entries_are_bounded() -> None:
    parted = PartedClosures()
    for number in range(MOST_PARTED + 10):
        closure = Closure()
        closure.note_leaving(0.0)
        parted.keep(replace(make_entry(number), born_ms=1), closure, 0.0)
    assert not parted.take(replace(make_entry(0), born_ms=1)).leaving
    last = replace(make_entry(MOST_PARTED + 9), born_ms=1)
    assert parted.take(last).leaving


def test_instance_is_told_by_its_start_and_else_by_its_count() -> None:
    entry = replace(make_entry(1), sequence=5, born_ms=0)
    assert is_new_instance(entry, replace(entry, sequence=4))
    assert is_new_instance(entry, replace(entry, born_ms=3))
    born = replace(entry, born_ms=3)
    assert not is_new_instance(born, replace(born, sequence=4, restarted_at=9))
    assert is_new_instance(born, replace(born, sequence=9, born_ms=4))


def test_peers_word_counts_for_a_while_only() -> None:
    book = make_book(make_entry(1))
    book.apply_gone_report("i-1", 0.0)
    assert isinstance(choose(book, now=TOLD_S - 0.1), Absent)
    assert chosen_id(choose(book, now=TOLD_S)) == "i-1"
    assert book.list_gone_targets(0.1, 2.0) == ()


def test_busy_target_is_left_alone_from_then_on_and_for_the_longest_time() -> None:
    book = make_book(make_entry(1), make_entry(2))
    book.record_busy("i-1", 4.0, 0.0)
    book.record_busy("i-1", 1.0, 0.5)
    for now in (0.0, 0.4, 3.9):
        assert chosen_id(choose(book, now=now)) == "i-2"
    book.record_busy("i-2", 1.0, 3.0)
    refused = choose(book, now=3.0)
    assert isinstance(refused, Absent)
    assert refused.reason is Reason.TARGETS_BUSY
    assert refused.retry_after_s == pytest.approx(1.0)
    assert refused.detail == "no target is open: 2 busy"
    alone = PreviousAttempts(targets=frozenset({"i-2"}))
    assert chosen_id(choose(book, now=4.0, tried=alone)) == "i-1"


def test_refusal_for_busy_targets_names_the_time_of_one_that_opens() -> None:
    book = make_book(make_entry(1), make_entry(2), make_entry(3))
    book.record_busy("i-1", 2.0, 0.0)
    book.record_busy("i-2", 0.01, 0.0)
    book.record_draining("i-2", 0.0)
    book.record_busy("i-3", 9.0, 0.0)
    refused = choose(book)
    assert isinstance(refused, Absent)
    assert refused.retry_after_s == pytest.approx(2.0)
    assert refused.detail == "no target is open: 2 busy, 1 leaving"
    book.record_busy("i-1", 2.0, 1.9)
    soon = choose(book, now=3.89)
    assert isinstance(soon, Absent)
    assert soon.retry_after_s == MIN_RETRY_AFTER_S


def test_busy_target_of_another_region_is_left_to_the_hosts_there() -> None:
    book = make_book(make_entry(1, "west-a"))
    book.record_busy("i-1", 4.0, 0.0)
    assert chosen_id(choose(book, now=1.0)) == "i-1"
