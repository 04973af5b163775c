from __future__ import annotations

import random
from dataclasses import replace

import pytest

from lycheepath.core.fleet.view import (
    AWAY_EVERY,
    AWAY_ROWS,
    BEAT_S,
    NEAR_ROWS,
    OTHER_ROWS,
    REGION_RECEIVERS,
    SILENCE_S,
    FleetView,
    HostRow,
    choose_silence_s,
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
    view.record_heartbeat(make_row(1), 0.0, True)
    assert [row.id for row in view.live_hosts(SILENCE_S)] == ["host-1"]
    assert view.live_hosts(SILENCE_S + 0.1) == []


def test_view_keeps_a_host_alive_by_what_others_tell() -> None:
    view = make_view()
    view.record_heartbeat(make_row(1), 0.0, True)
    view.record_heartbeat(make_row(1, beat=2), SILENCE_S - 0.1, False)
    assert view.live_hosts(2 * SILENCE_S - 0.2)


def test_view_is_not_deceived_by_repeated_beats() -> None:
    view = make_view()
    view.record_heartbeat(make_row(1), 0.0, True)
    view.record_heartbeat(make_row(1), SILENCE_S - 0.1, False)
    assert not view.live_hosts(SILENCE_S + 0.1)


def test_view_takes_a_new_start_from_the_host_itself() -> None:
    view = make_view()
    view.record_heartbeat(make_row(1, start=5, beat=900), 0.0, True)
    assert view.record_heartbeat(make_row(1, start=3), 0.1, True)
    assert not view.record_heartbeat(make_row(1, start=5, beat=901), 0.2, False)
    assert view.live_hosts(0.3)[0].instance_id == 3


def test_view_forgives_its_own_pause() -> None:
    view = make_view()
    view.record_heartbeat(make_row(1), 0.0, True)
    view.discount_pause(10.0)
    assert view.live_hosts(10.5)


def test_view_tells_seeds_until_they_are_live() -> None:
    view = make_view("10.0.0.1")
    view.advance_heartbeat(True)
    for _ in range(AWAY_EVERY):
        receivers = view.next_receivers(0.0)
        if receivers:
            break
        view.advance_heartbeat(True)
    assert receivers == [("10.0.0.1", "")]
    view.record_heartbeat(make_row(1), 0.0, True)
    assert view.next_receivers(0.1) == [("10.0.0.1", "east")]


def test_view_tries_a_silent_host_again() -> None:
    view = make_view()
    view.record_heartbeat(make_row(1), 0.0, True)
    view._beats = AWAY_EVERY
    assert view.next_receivers(10.0) == [("10.0.0.1", "")]


def test_view_tells_as_much_in_a_large_fleet_as_in_a_small_one() -> None:
    view = make_view()
    for number in range(1, 200):
        region = "east" if number % 2 else "west"
        view.record_heartbeat(make_row(number, region), 0.0, False)
    view._beats = AWAY_EVERY
    receivers = view.next_receivers(0.1)
    assert len(receivers) == REGION_RECEIVERS + 1
    assert len(view.rows_to_send(0.1, "east")) == NEAR_ROWS + OTHER_ROWS
    assert len(view.rows_to_send(0.1, "west")) == AWAY_ROWS + OTHER_ROWS


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
            own = view.advance_heartbeat(True)
            for ip, region in view.next_receivers(now):
                views[ip].record_heartbeat(own, now, True)
                for row in view.rows_to_send(now, region):
                    views[ip].record_heartbeat(row, now, False)
    assert all(len(view.live_hosts(now)) == 8 for view in views.values())


@pytest.mark.parametrize(
    ("hosts", "silence_s"), [(3, 0.8), (9, 0.8), (30, 0.8), (65, 3.3), (100, 5.2)]
)
def test_silence_that_is_a_loss_grows_with_the_region(
    hosts: int, silence_s: float
) -> None:
    assert choose_silence_s(hosts) == pytest.approx(silence_s, abs=0.1)


class LargeFleet:
    """
    Three regions of 30 hosts with one seed, of which messages get lost.

    The load is that of the grown deployments: who is live has to be known
    within the time before traffic starts, and nobody may be taken for gone.
    """

    def __init__(self, loss: float) -> None:
        self.random = random.Random(3)
        self.loss = loss
        self.now = 0.0
        self.views = {}
        for number in range(90):
            region = ("east", "west", "south")[number % 3]
            row = make_row(number, region)
            draw = random.Random(number)
            self.views[row.ip] = FleetView(row, ["10.0.0.0"], draw)

    def play(self, seconds: float) -> int:
        """Return how many rows were missing or stale, over all looks."""
        missing = 0
        for _ in range(int(seconds / BEAT_S)):
            self.now += BEAT_S
            for view in self.views.values():
                self.tell(view)
            for view in self.views.values():
                missing += len(self.views) - 1 - len(view.live_hosts(self.now))
        return missing

    def tell(self, view: FleetView) -> None:
        own = view.advance_heartbeat(True)
        for ip, region in view.next_receivers(self.now):
            receiver = self.views.get(ip)
            if receiver is None or self.random.random() < self.loss:
                continue
            receiver.record_heartbeat(own, self.now, True)
            for row in view.rows_to_send(self.now, region):
                receiver.record_heartbeat(row, self.now, False)


def test_large_fleet_finds_itself_in_time_and_loses_nobody() -> None:
    fleet = LargeFleet(loss=0.02)
    fleet.play(8.0)
    looks = 100 * 90 * 89
    assert fleet.play(10.0) <= looks / 1000


def test_large_fleet_notices_who_is_lost() -> None:
    """In half of the 9 s after which the directory may name it no more."""
    fleet = LargeFleet(loss=0.0)
    fleet.play(8.0)
    del fleet.views["10.0.0.30"]
    fleet.play(4.5)
    assert all(
        "host-30" not in {row.id for row in view.live_hosts(fleet.now, "east")}
        for view in fleet.views.values()
        if view.local_row.region == "east"
    )


def test_view_names_hosts_that_leave_while_they_go_on_the_last_first() -> None:
    view = make_view()
    view.record_heartbeat(replace(make_row(1), drain_remaining_s=4.0), 0.0, True)
    view.record_heartbeat(replace(make_row(2), drain_remaining_s=7.0), 0.1, True)
    view.record_heartbeat(make_row(3), 0.1, True)
    view.record_heartbeat(replace(make_row(4), ready=True), 0.1, True)
    assert [row.id for row in view.draining_hosts(0.2)] == ["host-2", "host-1"]
    view.record_heartbeat(
        replace(make_row(1, beat=2), drain_remaining_s=0.0), 0.3, True
    )
    assert [row.id for row in view.draining_hosts(0.4, "east")] == ["host-2"]
    assert view.draining_hosts(0.4, "west") == []
    assert view.draining_hosts(0.1 + SILENCE_S + 0.1) == []


def test_view_remembers_hosts_that_are_gone() -> None:
    view = make_view()
    view.record_heartbeat(make_row(1), 0.0, True)
    view.record_heartbeat(make_row(2, "west"), 0.0, True)
    assert view.live_hosts(30.0) == []
    assert [row.id for row in view.known_hosts("west")] == ["host-2"]
