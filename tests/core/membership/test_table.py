from __future__ import annotations

from dataclasses import replace

import pytest

from lycheepath.core.membership.errors import ResurrectionError
from lycheepath.core.membership.model import Member, State
from lycheepath.core.membership.table import MemberTable

ALIVE = Member("a-1", 7, 0, State.ALIVE, "10.0.0.1:7400", region="a")


def test_table_refuses_to_make_a_dead_incarnation_alive() -> None:
    table = MemberTable(limit=10)
    table.put(ALIVE, 0.0)
    table.put(replace(ALIVE, state=State.DEAD), 1.0)
    with pytest.raises(ResurrectionError):
        table.put(ALIVE, 2.0)
    table.put(replace(ALIVE, refutation=1), 3.0)
    table.put(replace(ALIVE, state=State.ENDED), 4.0)
    with pytest.raises(ResurrectionError):
        table.put(replace(ALIVE, refutation=9), 5.0)
    table.put(replace(ALIVE, incarnation=8), 6.0)
    assert table.live_ids() == ["a-1"]


def test_table_hash_covers_live_members_only() -> None:
    one = MemberTable(limit=10)
    other = MemberTable(limit=10)
    one.put(ALIVE, 0.0)
    other.put(ALIVE, 0.0)
    other.put(Member("a-2", 3), 0.0)
    assert one.view_hash != other.view_hash
    other.put(Member("a-2", 3, state=State.DEAD), 1.0)
    assert one.view_hash == other.view_hash


def test_table_sheds_the_member_that_is_dead_for_longest() -> None:
    table = MemberTable(limit=2)
    table.put(Member("a-2", 3, state=State.DEAD), 0.0)
    table.put(ALIVE, 1.0)
    table.put(Member("a-3", 1), 2.0)
    assert {member.id for member in table} == {"a-1", "a-3"}
    assert table.shed == 1
    table.put(Member("a-4", 1), 3.0)
    assert table.live_ids() == ["a-1", "a-3"]
