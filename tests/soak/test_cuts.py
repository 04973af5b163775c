from __future__ import annotations

import pytest

from soak.cuts import (
    MAX_FAILED,
    AppliedCut,
    CutKind,
    CutScope,
    FirstTry,
    draw_cuts,
    find_cut_off,
)
from soak.limits import CONTACT_S

CUT = AppliedCut(frozenset({"h1"}), 10.0, 20.0)


def make_tries(host: str, served: int, failed: int, at: float) -> list[FirstTry]:
    answers = [True] * served + [False] * failed
    return [FirstTry(at, host, answer) for answer in answers]


def find(served: int, failed: int, cut: AppliedCut = CUT, at: float = 17.0) -> int:
    tries = make_tries("h1", served, failed, at) + make_tries("h2", 90, 10, at)
    return len(list(find_cut_off([cut], tries)))


def test_callers_of_cut_off_hosts_that_are_served_much_less_are_found() -> None:
    assert find(served=20, failed=20) == 1
    assert find(served=40, failed=20) == 0
    assert find(served=0, failed=MAX_FAILED) == 0


@pytest.mark.parametrize("at", [CUT.since + CONTACT_S - 0.1, CUT.until])
def test_tries_before_the_contact_time_or_after_a_cut_do_not_count(at: float) -> None:
    assert find(served=0, failed=40, at=at) == 0


def test_hosts_that_reach_some_targets_do_not_count() -> None:
    partly = AppliedCut(CUT.hosts, CUT.since, CUT.until, whole=False)
    assert find(served=0, failed=40, cut=partly) == 0


def test_cuts_have_each_kind_and_scope_and_leave_some_hosts() -> None:
    plans = [draw_cuts(6, 12, 40.0, 1.0, seed) for seed in range(10)]
    cuts = [cut for plan in plans for cut in plan]
    assert {cut.kind for cut in cuts} == set(CutKind)
    assert {cut.scope for cut in cuts} == set(CutScope)
    assert all(0 < len(cut.hosts) < 6 for cut in cuts)
    assert plans[3] == draw_cuts(6, 12, 40.0, 1.0, 3)
    assert draw_cuts(6, 12, 40.0, 0.0, 3) == ()
