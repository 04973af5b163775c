from __future__ import annotations

from typing import TYPE_CHECKING

from soak.brittle import (
    WINDOW_S,
    BrittleTime,
    BrittleWatch,
    Fall,
    draw_times,
    find_falls,
    write_times,
)
from soak.limits import CONTACT_S

if TYPE_CHECKING:
    from pathlib import Path

TIME = BrittleTime(10.0, 22.0, 3)
SOUND = {"r1": True, "r2": True, "r3": False}


def fall(*rejected: str, at: float = 17.0) -> Fall:
    return Fall(at, "i-1", rejected)


def count(*falls: Fall, targets: int = 10) -> int:
    return len(list(find_falls([TIME], falls, targets, SOUND)))


def test_more_falls_than_allowed_in_one_time_are_found() -> None:
    falls = [fall("r1", "r2", "r3")] * 4
    assert count(*falls) == 1
    assert count(*falls[:3]) == 0
    assert count(*falls[:3], targets=9) == 1
    assert count(*falls[:2], *[fall("r1", at=23.0)] * 2) == 0


def test_falls_under_requests_of_hosts_with_a_fault_do_not_count() -> None:
    assert count(*[fall("r1", "r3")] * 9) == 0
    assert count(*[fall("r4")] * 9) == 0


def test_target_falls_when_it_rejects_too_many_in_a_second(tmp_path: Path) -> None:
    watch = BrittleWatch(tmp_path / "times")
    assert watch.reject("r0", 50.0) == ()
    write_times(watch.path, [TIME], started=100.0)
    early, late = 110.0, 110.0 + CONTACT_S
    assert watch.find_time(early) == BrittleTime(110.0, 122.0, 3)
    assert [watch.reject(f"r{n}", early) for n in range(9)] == [()] * 9
    spread = [watch.reject(f"r{n}", late + n * WINDOW_S / 3) for n in range(9)]
    assert spread == [()] * 9
    assert [watch.reject(f"r{n}", 121.0) for n in range(4)][2:] == [
        (),
        ("r0", "r1", "r2", "r3"),
    ]


def test_times_in_which_targets_are_brittle_follow_from_the_seed() -> None:
    times = draw_times(30.0, 1.0, 3)
    assert times == draw_times(30.0, 1.0, 3)
    assert all(each.until - each.since > CONTACT_S for each in times)
    assert draw_times(30.0, 0.0, 3) == ()
