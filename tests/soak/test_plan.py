from __future__ import annotations

from itertools import pairwise

from soak.plan import LINK_KINDS, FaultKind, Sizes, draw_plan

SIZES = Sizes(hosts=6, targets=12, seconds=40.0)


def test_plan_is_the_same_for_the_same_seed() -> None:
    assert draw_plan(SIZES, 5) == draw_plan(SIZES, 5)
    assert draw_plan(SIZES, 5) != draw_plan(SIZES, 6)


def test_plan_keeps_to_its_time_in_order() -> None:
    faults = draw_plan(SIZES, 5)
    times = [fault.at_s for fault in faults]
    assert times == sorted(times)
    assert times[0] > 0.0
    assert times[-1] < SIZES.seconds


def test_plans_have_faults_of_each_kind_that_overlap() -> None:
    plans = [draw_plan(SIZES, seed) for seed in range(20)]
    faults = [fault for plan in plans for fault in plan]
    assert {fault.kind for fault in faults} == set(FaultKind)
    assert all(bool(f.disturbance) == (f.kind in LINK_KINDS) for f in faults)
    assert any(
        later.at_s < earlier.at_s + earlier.duration_s
        for plan in plans
        for earlier, later in pairwise(plan)
    )
