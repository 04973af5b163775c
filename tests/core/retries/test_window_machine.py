"""
A fleet that shares the retry budget, with hosts that join, leave and are partitioned.

Each host counts its own requests and takes its share by the number of hosts that it
knows. That number is never lower than the number of running hosts by more than the
reserve covers. In any window the fleet must stay within the limit.
"""

from __future__ import annotations

from collections import Counter

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheepath.core.retries.window import USED_SHARE, RetryWindow
from tests.core.randomised import run_machine

RATIO = 0.2
ALLOWANCE = 58.0
WINDOW_S = 10.0
HOSTS = 9
SERVICE = "books"
NUMBERS = strategies.integers(0, HOSTS - 1)


class WindowMachine(RuleBasedStateMachine):
    """The hosts' windows, and the times of all requests and retries."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.hosts = [RetryWindow(RATIO, ALLOWANCE, WINDOW_S) for _ in range(HOSTS)]
        self.requests: list[float] = []
        self.retries: list[float] = []
        # A host that has just started or is partitioned knows fewer hosts.
        self.known = [HOSTS] * HOSTS

    @rule(number=NUMBERS, count=strategies.integers(1, 60))
    def request(self, number: int, count: int) -> None:
        for _ in range(count):
            self.hosts[number].count_request(SERVICE, self.now)
            self.requests.append(self.now)

    @rule(number=NUMBERS, count=strategies.integers(1, 40))
    def retry(self, number: int, count: int) -> None:
        for _ in range(count):
            if self.hosts[number].take(SERVICE, self.known[number], self.now):
                self.retries.append(self.now)

    @rule(number=NUMBERS)
    def see_fewer_hosts(self, number: int) -> None:
        """The host knows as few hosts as the unused share of the limit covers."""
        self.known[number] = int(HOSTS * USED_SHARE) + 1

    @rule(number=NUMBERS)
    def see_all_hosts(self, number: int) -> None:
        self.known[number] = HOSTS

    @rule(seconds=strategies.floats(0.01, 7.0))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def stays_within_the_limit_of_the_fleet(self) -> None:
        since = self.now - WINDOW_S
        retries = sum(at >= since for at in self.retries)
        requests = sum(at >= since for at in self.requests)
        assert retries <= RATIO * requests + ALLOWANCE


def test_fleet_stays_within_its_retry_budget() -> None:
    run_machine(WindowMachine, Counter())
