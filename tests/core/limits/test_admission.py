from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from lycheepath.core.hosts.selection import MemberState, team_hosts
from lycheepath.core.limits.admission import Admission, Limiter
from lycheepath.core.limits.shares import REPORT_MAX_AGE_S, UseReport, overshoot_bound
from lycheepath.core.reasons import Absent

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheepath.core.environment.model import Environment

RATE = 3000.0
COST = 100.0
STEP_S = 0.01
WINDOW_S = 30.0


@pytest.mark.parametrize("hosts", [9, 2200])
@pytest.mark.parametrize("lag_s", [0.2, 1.0, None])
def test_limit_holds_within_its_error_bound(
    hosts: int,
    lag_s: float | None,
    make_environment: Callable[[int, float], Environment],
) -> None:
    """Demand is three times the limit and jumps between the hosts."""
    admitted, shared = _flood(make_environment(hosts, RATE), lag_s, jump_s=2.0)
    error = overshoot_bound(RATE, shared, REPORT_MAX_AGE_S) if lag_s else 0.0
    assert admitted <= RATE * WINDOW_S + RATE + error


def test_limit_holds_when_reports_stop_and_all_hosts_are_flooded(
    make_environment: Callable[[int, float], Environment],
) -> None:
    environment = make_environment(9, RATE)
    names = team_hosts("team", "r0", environment)
    admitted = 0.0
    for name in names:
        limiter = Limiter(name)
        limiter.apply_environment(environment, {"team": ("r0",)})
        for other in names:
            limiter.apply_report(other, UseReport({}, 0.0, 0.0))
        for step in range(int(WINDOW_S / STEP_S)):
            if limiter.admit("team", COST, 5, step * STEP_S):
                admitted += COST
    error = overshoot_bound(RATE, len(names), REPORT_MAX_AGE_S)
    assert admitted <= RATE * WINDOW_S + RATE + error


@pytest.mark.parametrize("hosts", [9, 2200])
def test_limit_is_granted_to_a_team_that_uses_one_host(
    hosts: int, make_environment: Callable[[int, float], Environment]
) -> None:
    environment = make_environment(hosts, RATE)
    admitted, shared = _flood(environment, 0.5, jump_s=2 * WINDOW_S)
    assert 0.9 * RATE * WINDOW_S <= admitted <= 1.1 * RATE * WINDOW_S
    admitted, _ = _flood(environment, None, jump_s=2 * WINDOW_S)
    assert admitted <= (RATE * WINDOW_S + RATE) / shared + COST


def _flood(
    environment: Environment, lag_s: float | None, jump_s: float
) -> tuple[float, int]:
    """Return the tokens admitted in the window and the number of sharing hosts."""
    names = team_hosts("team", "r0", environment)
    limiters = {name: Limiter(name) for name in names}
    for limiter in limiters.values():
        limiter.apply_environment(environment, {"team": ("r0",)})
    random = Random(5)
    pending: list[tuple[str, UseReport]] = []
    admitted = 0.0
    busy = names[0]
    for step in range(int(WINDOW_S / STEP_S)):
        now = step * STEP_S
        if step % int(jump_s / STEP_S) == 0:
            busy = random.choice(names)
        admitted += COST if limiters[busy].admit("team", COST, 5, now) else 0.0
        if step % 50 == 0:
            pending.extend((name, limiters[name].report_use(now)) for name in names)
        while lag_s and pending and pending[0][1].measured_at + lag_s <= now:
            sender, report = pending.pop(0)
            for name in names:
                limiters[name].apply_report(sender, report)
    return admitted, len(names)


def test_shares_of_dead_hosts_pass_on_and_never_to_strangers(
    make_environment: Callable[[int, float], Environment],
) -> None:
    environment = make_environment(9, RATE)
    home = team_hosts("team", "r0", environment)
    away = team_hosts("team", "r1", environment)[0]
    limiter = Limiter(away)
    limiter.apply_environment(environment, {"team": ("r0",)})
    assert isinstance(limiter.admit("team", COST, 5, 0.0), Absent)
    limiter.update_members(dict.fromkeys(home, MemberState.DEAD))
    assert isinstance(limiter.admit("team", COST, 5, 0.0), Admission)
    limiter.update_members({})
    assert isinstance(limiter.admit("team", COST, 5, 0.0), Absent)


def test_real_cost_replaces_the_one_taken(
    make_environment: Callable[[int, float], Environment],
) -> None:
    environment = make_environment(1, 1000.0)
    limiter = Limiter("h0")
    limiter.apply_environment(environment, {"team": ("r0",)})
    admission = limiter.admit("team", 1000.0, 5, 0.0)
    assert isinstance(admission, Admission)
    refusal = limiter.admit("team", 500.0, 5, 0.0)
    assert isinstance(refusal, Absent)
    assert refusal.retry_after_s == pytest.approx(0.5)
    limiter.settle(admission, 100.0, 0.0)
    assert limiter.admit("team", 500.0, 5, 0.0)
