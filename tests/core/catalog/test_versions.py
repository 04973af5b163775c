from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.catalog.changes import Change, TargetRemoved
from lycheepath.core.catalog.versions import (
    MAX_CLOCK_ERROR_S,
    PastTargets,
    VersionHistory,
    collect_past,
    infer_version,
)
from tests.core.catalog.test_catalog import TARGET

NOW_S = 1_790_000_000.0
WINDOW_S = 20.0
OLD_MS = int((NOW_S - WINDOW_S - MAX_CLOCK_ERROR_S - 1.0) * 1000)
NEW_MS = int((NOW_S - 5.0) * 1000)
FIRST = replace(TARGET, id="i-1", version="v1", born_ms=OLD_MS)
SECOND = replace(TARGET, id="i-2", version="v2", born_ms=NEW_MS)


def infer(past: PastTargets, *current: object) -> str | None:
    entries = [entry for entry in current if isinstance(entry, type(TARGET))]
    return infer_version("books", entries, past, WINDOW_S, NOW_S)


def test_versions_are_in_use_until_their_last_target_has_gone() -> None:
    history = VersionHistory()
    assert history.update([FIRST], 0.0) == {"books"}
    assert history.update([FIRST], 4.0) == frozenset()
    assert history.update([FIRST, SECOND], 5.0) == {"books"}
    history.update([SECOND], 10.0)
    assert history.list_used("books", since=10.0) == {"v1", "v2"}
    assert history.list_used("books", since=10.1) == {"v2"}
    assert history.list_used("other", since=0.0) == frozenset()


def test_history_is_complete_only_since_it_began() -> None:
    history = VersionHistory()
    assert not history.is_complete(0.0)
    history.update([FIRST], 5.0)
    assert not history.is_complete(4.9)
    assert history.is_complete(5.0)


def test_versions_that_left_long_ago_are_forgotten_but_not_those_in_use() -> None:
    history = VersionHistory()
    history.update([FIRST], 0.0)
    history.update([SECOND], 1.0)
    history.expire(50.0)
    assert history.list_used("books", since=0.0) == {"v2"}


def test_only_version_of_past_and_present_began_a_stream() -> None:
    assert infer(PastTargets((FIRST,), complete=True), FIRST) == "v1"
    assert infer(PastTargets((FIRST,), complete=True), SECOND) is None
    assert infer(PastTargets(), FIRST, SECOND) is None
    assert infer(PastTargets(complete=True)) is None


def test_target_removed_without_a_word_was_of_the_version_that_was_there_before() -> (
    None
):
    past = PastTargets((), frozenset({"i-9"}))
    assert infer(past, FIRST) == "v1"
    assert infer(past, SECOND) is None
    assert infer(past, replace(FIRST, version="")) is None


def test_past_that_can_not_be_read_leaves_new_versions_in_doubt() -> None:
    assert infer(PastTargets(), SECOND) is None
    assert infer(PastTargets(), FIRST) == "v1"


@pytest.mark.parametrize("complete", [True, False])
def test_past_names_removed_targets_whose_entries_it_lacks(complete: bool) -> None:
    changes: list[Change] = [TargetRemoved("i-0"), FIRST, TargetRemoved("i-1")]
    past = collect_past(changes, complete)
    assert past == PastTargets((FIRST,), frozenset({"i-0"}), complete)
