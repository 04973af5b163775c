from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from pathlib import Path

import pytest

from lycheepath.core.environment.model import Environment
from lycheepath.core.environment.reading import read_environment
from lycheepath.core.orders.desired import ObservedState
from lycheepath.core.orders.issuers import plan_issuer
from lycheepath.core.orders.planning import (
    INITIAL_RESEND_DELAY_S,
    MAX_OBSERVATION_AGE_S,
    MAX_PLAN_AGE_S,
    MAX_RESEND_DELAY_S,
    TAKEOVER_DELAY_S,
    Order,
    OrderIssuer,
)
from lycheepath.core.orders.store import WeightStoreBudget
from lycheepath.core.reasons import Absent
from lycheepath.core.routing.reports import ModelState

ENVIRONMENTS = Path(__file__).parents[3] / "environments"
FULL_BUDGET_S = 10_000.0  # by this time each budget has reached its maximum


@pytest.fixture
def environment() -> Environment:
    outcome = read_environment((ENVIRONMENTS / "excise.json").read_bytes())
    assert isinstance(outcome, Environment)
    return outcome


@pytest.fixture
def issuer(environment: Environment) -> OrderIssuer:
    """The first candidate of runner ``perth-runner-1``, its budget full."""
    return _build_issuer(environment, 0)


def test_plan_issuer_divides_the_rate_among_two_hosts_of_each_region(
    environment: Environment,
) -> None:
    parts = [plan_issuer(environment, host.id) for host in environment.hosts]
    acting = [part for part in parts if part.ranks]
    assert len(acting) == 6
    assert environment.weight_store is not None
    total = sum(part.store_bytes_per_s for part in parts)
    assert total == pytest.approx(environment.weight_store.bytes_per_s)
    firsts = [
        runner for part in acting for runner, rank in part.ranks.items() if not rank
    ]
    assert len(firsts) == len(set(firsts)) == 9


def test_plan_orders_only_while_the_state_differs(issuer: OrderIssuer) -> None:
    (order,) = _plan(issuer, _observe(FULL_BUDGET_S), FULL_BUDGET_S)
    assert order.models == ("notices-assistant", "returns-assistant")
    assert order.load_bytes == 36_000_000_000
    loading = dict.fromkeys(order.models, ModelState.LOADING)
    assert _plan(issuer, _observe(FULL_BUDGET_S + 1, loading), FULL_BUDGET_S + 1) == ()


def test_plan_backs_off_while_a_runner_does_not_reach_its_state(
    issuer: OrderIssuer,
) -> None:
    lacks_role = dict.fromkeys(
        ("notices-assistant", "returns-assistant"), ModelState.LOADED
    )
    sent = []
    for second in range(400):
        now = FULL_BUDGET_S + second
        observed = replace(_observe(now, lacks_role), role="decode")
        if _plan(issuer, observed, now):
            sent.append(second)
    gaps = [later - earlier for earlier, later in pairwise(sent)]
    assert gaps[0] == INITIAL_RESEND_DELAY_S
    assert max(gaps) == MAX_RESEND_DELAY_S


def test_plan_of_the_second_candidate_waits_for_the_takeover_delay(
    environment: Environment,
) -> None:
    second = _build_issuer(environment, 1)
    assert _plan(second, _observe(FULL_BUDGET_S), FULL_BUDGET_S) == ()
    now = FULL_BUDGET_S + TAKEOVER_DELAY_S
    assert _plan(second, _observe(now - 1), now - 1) == ()
    assert len(_plan(second, _observe(now), now)) == 1


def test_recheck_refuses_outdated_orders_and_reports(
    issuer: OrderIssuer, environment: Environment
) -> None:
    now = FULL_BUDGET_S
    (order,) = _plan(issuer, _observe(now), now)
    assert issuer.recheck(order, _observe(now), now) is order
    late = now + MAX_PLAN_AGE_S + 0.1
    assert isinstance(issuer.recheck(order, _observe(late), late), Absent)
    old = _observe(now - MAX_OBSERVATION_AGE_S - 0.1)
    assert isinstance(issuer.recheck(order, old, now), Absent)
    knows_later = replace(_observe(now), fencing=order.fencing + 1)
    assert isinstance(issuer.recheck(order, knows_later, now), Absent)
    issuer.apply(replace(environment, revision=order.fencing + 1), now)
    assert isinstance(issuer.recheck(order, _observe(now), now), Absent)


def test_recheck_refuses_a_load_that_was_not_charged(issuer: OrderIssuer) -> None:
    held = dict.fromkeys(("notices-assistant", "returns-assistant"), ModelState.LOADED)
    observed = replace(_observe(FULL_BUDGET_S, held), role="decode")
    (order,) = _plan(issuer, observed, FULL_BUDGET_S)
    assert order.load_bytes == 0
    assert isinstance(
        issuer.recheck(order, _observe(FULL_BUDGET_S), FULL_BUDGET_S), Absent
    )


def test_plan_ignores_old_reports_and_runners_with_a_later_order(
    issuer: OrderIssuer,
) -> None:
    old = _observe(FULL_BUDGET_S - MAX_OBSERVATION_AGE_S - 1)
    assert _plan(issuer, old, FULL_BUDGET_S) == ()
    later = replace(_observe(FULL_BUDGET_S), fencing=issuer.revision + 1)
    assert _plan(issuer, later, FULL_BUDGET_S) == ()


def test_budget_starts_empty_and_accumulates_one_load() -> None:
    budget = WeightStoreBudget(0.0)
    budget.apply(10.0, 100.0, 0.0)
    assert budget.charge(50.0, 0.0) == 5.0
    assert budget.charge(50.0, 1_000.0) == 0.0
    assert budget.charge(60.0, 1_000.0) == pytest.approx(1.0)
    assert WeightStoreBudget(0.0).charge(1.0, 9.0) == float("inf")


def _build_issuer(environment: Environment, rank: int) -> OrderIssuer:
    for host in environment.hosts:
        if plan_issuer(environment, host.id).ranks.get("perth-runner-1") == rank:
            issuer = OrderIssuer(host.id, 0.0)
            issuer.apply(environment, 0.0)
            return issuer
    raise AssertionError(f"no candidate of rank {rank}")


def _observe(at_s: float, models: dict[str, ModelState] | None = None) -> ObservedState:
    return ObservedState(at_s, models or {})


def _plan(
    issuer: OrderIssuer, observed: ObservedState, now: float
) -> tuple[Order, ...]:
    return issuer.plan({"perth-runner-1": observed}, {}, now)
