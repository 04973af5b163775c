from __future__ import annotations

import random
from collections import Counter

from lycheepath.core.placement.candidates import (
    DRAWN,
    DRAWN_ALONE,
    OWNERS_PER_PART,
    Owners,
    find_shared_part,
    pick_candidates,
)
from lycheepath.core.serving.requests import Prompt, PromptPart
from tests.core.placement.test_choice import make_book, make_entry, make_prompt

BOOK = make_book(*(make_entry(n) for n in range(20)))
TARGETS = BOOK.of_service("pool")


def test_owners_of_a_part_are_candidates_beside_some_drawn() -> None:
    owners = Owners().rank("pool east", "part", TARGETS)
    draw = random.Random(1)
    drawn: Counter[str] = Counter()
    for _ in range(400):
        names = [t.entry.id for t in pick_candidates(TARGETS, owners, draw)]
        assert names[:OWNERS_PER_PART] == list(owners[:OWNERS_PER_PART])
        assert len(set(names)) == OWNERS_PER_PART + DRAWN
        drawn.update(names[OWNERS_PER_PART:])
    assert len(drawn) == len(TARGETS) - OWNERS_PER_PART
    assert min(drawn.values()) > 20


def test_closed_owner_is_followed_by_the_next_in_rank() -> None:
    owners = Owners().rank("pool east", "part", TARGETS)
    left = [target for target in TARGETS if target.entry.id != owners[0]]
    picked = pick_candidates(left, owners, random.Random(1))
    assert [t.entry.id for t in picked[:OWNERS_PER_PART]] == list(
        owners[1 : OWNERS_PER_PART + 1]
    )


def test_few_targets_are_all_candidates() -> None:
    few = TARGETS[:2]
    assert pick_candidates(few, (), random.Random(1)) == few
    many = pick_candidates(TARGETS, (), random.Random(1))
    assert len(many) == DRAWN_ALONE


def test_owners_are_ranked_anew_for_other_targets() -> None:
    owners = Owners()
    before = owners.rank("pool east", "part", TARGETS)
    assert owners.rank("pool east", "part", TARGETS[:1]) == before
    owners.forget()
    only = TARGETS[0].entry.id
    assert owners.rank("pool east", "part", TARGETS[:1]) == (only,)


def test_long_shared_part_has_an_owner_and_a_short_one_has_none() -> None:
    assert find_shared_part(make_prompt("s")) == "s"
    assert find_shared_part(None) == ""
    parts = (PromptPart("s", 900), PromptPart("own", 9000))
    assert find_shared_part(Prompt("m", 9900, 5, parts)) == ""
    assert find_shared_part(Prompt("m", 9000, 5, parts[1:])) == ""
