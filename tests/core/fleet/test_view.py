from __future__ import annotations

import random

from lycheepath.core.fleet.view import (
    AWAY_EVERY,
    REGION_RECEIVERS,
    ROWS,
    SILENCE_S,
    FleetView,
    HostRow,
)


def make_row(
    number: int, region: str = "east", start: int = 1, beat: int = 1
) -> HostRow:
    return HostRow(
        f"host-{number}", start, beat, f"10.0.0.{number}", f"{region}-a", region
    )


def make_view(*seeds: str) -> FleetView:
    return FleetView(make_row(0), seeds, random.Random(1))


def test_view_takes_a_silent_host_for_gone() -> None:
    view = make_view()
    view.hear(make_row(1), 0.0, True)
    assert [row.id for row in view.live(SILENCE_S)] == ["host-1"]
    assert view.live(SILENCE_S + 0.1) == []


def test_view_keeps_a_host_alive_by_what_others_tell() -> None:
    view = make_view()
    view.hear(make_row(1), 0.0, True)
    view.hear(make_row(1, beat=2), SILENCE_S - 0.1, False)
    assert view.live(2 * SILENCE_S - 0.2)


def test_view_is_not_deceived_by_repeated_beats() -> None:
    view = make_view()
    view.hear(make_row(1), 0.0, True)
    view.hear(make_row(1), SILENCE_S - 0.1, False)
    assert not view.live(SILENCE_S + 0.1)


def test_view_takes_a_new_start_from_the_host_itself() -> None:
    view = make_view()
    view.hear(make_row(1, start=5, beat=900), 0.0, True)
    assert view.hear(make_row(1, start=3), 0.1, True)
    assert not view.hear(make_row(1, start=5, beat=901), 0.2, False)
    assert view.live(0.3)[0].start == 3


def test_view_forgives_its_own_pause() -> None:
    view = make_view()
    view.hear(make_row(1), 0.0, True)
    view.forgive(10.0)
    assert view.live(10.5)


def test_view_tells_seeds_until_they_are_live() -> None:
    view = make_view("10.0.0.1")
    view.beat(True)
    for _ in range(AWAY_EVERY):
        receivers = view.next_receivers(0.0)
        if receivers:
            break
        view.beat(True)
    assert receivers == [("10.0.0.1", "")]
    view.hear(make_row(1), 0.0, True)
    assert view.next_receivers(0.1) == [("10.0.0.1", "east")]


def test_view_tries_a_silent_host_again() -> None:
    view = make_view()
    view.hear(make_row(1), 0.0, True)
    view._beats = AWAY_EVERY
    assert view.next_receivers(10.0) == [("10.0.0.1", "")]


def test_view_tells_as_much_in_a_large_fleet_as_in_a_small_one() -> None:
    view = make_view()
    for number in range(1, 200):
        region = "east" if number % 2 else "west"
        view.hear(make_row(number, region), 0.0, False)
    view._beats = AWAY_EVERY
    receivers = view.next_receivers(0.1)
    assert len(receivers) == REGION_RECEIVERS + 1
    assert len(view.rows_to_tell(0.1)) == ROWS


def test_views_of_a_fleet_find_each_other_through_one_seed() -> None:
    views = {
        f"10.0.0.{n}": FleetView(
            make_row(n, "east" if n < 5 else "west"), ["10.0.0.1"], random.Random(n)
        )
        for n in range(1, 10)
    }
    for round_number in range(60):
        now = round_number * 0.1
        for view in views.values():
            own = view.beat(True)
            rows = view.rows_to_tell(now)
            for ip, _ in view.next_receivers(now):
                views[ip].hear(own, now, True)
                for row in rows:
                    views[ip].hear(row, now, False)
    assert all(len(view.live(now)) == 8 for view in views.values())
