"""
Hosts that are started, killed, paused and cut off while they tell each other.

After a few undisturbed rounds every running host knows just the running ones,
if a seed is among them: hosts that have never met have nothing else to go by.
"""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from lycheepath.core.fleet.view import AWAY_SILENCE_S, FleetView, HostRow
from tests.core.randomised import run_machine

SEEDS = ("10.0.0.0", "10.0.0.3")
BEAT_S = 0.1
HOSTS = 6
NUMBERS = strategies.integers(0, HOSTS - 1)
# Rounds in which silence is noticed and news goes around.
QUIET_ROUNDS = int((AWAY_SILENCE_S + 2.0) / BEAT_S)


class FleetMachine(RuleBasedStateMachine):
    """State: the views of the running hosts, and which links are cut."""

    @initialize(seed=strategies.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.views: dict[str, FleetView] = {}
        self.cut: set[tuple[str, str]] = set()
        self.starts = 0
        for number in range(HOSTS):
            self.start(number)

    @rule(number=NUMBERS)
    def start(self, number: int) -> None:
        ip = f"10.0.0.{number}"
        if ip in self.views:
            return
        self.starts += 1
        region = "east" if number < HOSTS // 2 else "west"
        # A later start may draw a lower number.
        own = HostRow(
            f"h{number}", self.random.getrandbits(20), 0, ip, f"{region}-a", region
        )
        self.views[ip] = FleetView(own, SEEDS, self.random)

    @rule(number=NUMBERS)
    def kill(self, number: int) -> None:
        self.views.pop(f"10.0.0.{number}", None)

    @rule(left=NUMBERS, right=NUMBERS)
    def cut_one_way(self, left: int, right: int) -> None:
        self.cut.add((f"10.0.0.{left}", f"10.0.0.{right}"))

    @rule()
    def heal(self) -> None:
        self.cut.clear()

    @rule(rounds=strategies.integers(1, 30), loss=strategies.floats(0, 0.5))
    def play(self, rounds: int, loss: float) -> None:
        for _ in range(rounds):
            self.now += BEAT_S
            for ip, view in list(self.views.items()):
                self.tell(ip, view, loss)

    @rule()
    def settle(self) -> None:
        self.cut.clear()
        if not any(seed in self.views for seed in SEEDS):
            self.start(0)
        self.play(QUIET_ROUNDS, 0.0)
        running = {view.local_row.id for view in self.views.values()}
        for view in self.views.values():
            live = {row.id for row in view.live_hosts(self.now)}
            assert live == running - {view.local_row.id}

    def tell(self, ip: str, view: FleetView, loss: float) -> None:
        own = view.advance_heartbeat(True)
        for to, region in view.next_receivers(self.now):
            if (ip, to) in self.cut or self.random.random() < loss:
                continue
            receiver = self.views.get(to)
            if receiver is None:
                continue
            receiver.record_heartbeat(own, self.now, True)
            for row in view.rows_to_send(self.now, region):
                receiver.record_heartbeat(row, self.now, False)


def test_hosts_find_each_other_after_any_faults() -> None:
    run_machine(FleetMachine, Counter())
