from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from hypothesis import seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lycheepath.core.environment.model import Environment, Role
from lycheepath.core.environment.reading import read_environment
from lycheepath.core.orders.desired import ObservedState, list_desired
from lycheepath.core.orders.issuers import plan_issuer
from lycheepath.core.orders.planning import Order, OrderIssuer
from lycheepath.core.routing.reports import ModelState

if TYPE_CHECKING:
    import pytest

SEED = 20261203
EXAMPLES = 60 * int(os.environ.get("LYCHEEPATH_LONG_RUN", "1"))
STEPS = 40
LOAD_S = 8.0
RATE_BYTES_PER_S = 4
SETTLE_S = 900
IDLE_S = 300
HOSTS = ("host-1", "host-2")
WEIGHTS_BYTES = {"a": 60, "b": 100}
TRIAL = json.loads(
    (Path(__file__).parents[3] / "environments" / "trial.json").read_text("utf-8")
)

steps_taken = 0


@dataclass
class SimulatedRunner:
    """An engine that receives orders; some of them ignore fencing numbers."""

    checks_fencing: bool
    models: dict[str, ModelState] = field(default_factory=dict)
    ready_at: dict[str, float] = field(default_factory=dict)
    role: str = "any"
    fencing: int = 0

    def apply_order(self, order: Order, now: float) -> tuple[int, int]:
        """Return the status and the number of bytes that the runner starts to fetch."""
        if self.checks_fencing and order.fencing < self.fencing:
            return 409, 0
        self.fencing = order.fencing
        self.role = order.role.value
        self.models = {
            model: state
            for model, state in self.models.items()
            if model in order.models
        }
        missing = [model for model in order.models if model not in self.models]
        for model in missing:
            self.models[model] = ModelState.LOADING
            self.ready_at[model] = now + LOAD_S
        return 200, sum(WEIGHTS_BYTES[model] for model in missing)

    def report(self, now: float) -> ObservedState:
        """Return the runner's state; completed loads are reported as ``LOADED``."""
        for model, state in self.models.items():
            if state is ModelState.LOADING and now >= self.ready_at[model]:
                self.models[model] = ModelState.LOADED
        return ObservedState(now, dict(self.models), self.role, self.fencing)


def build_document(revision: int) -> Environment:
    """Return a document whose revisions differ in models and roles."""
    runners = [
        {
            "id": f"runner-{index}",
            "zone": "home-a",
            "address": f"127.0.0.1:{9300 + index}",
            "kind": "runner",
            "models": [["a"], ["b"], ["b", "a"]][(revision + index) % 3],
            "role": ["any", "decode"][revision % 2],
            "checks_fencing": index % 2 == 0,
        }
        for index in range(3)
    ]
    models = [{"id": id_, "weights_bytes": size} for id_, size in WEIGHTS_BYTES.items()]
    store = {"region": "home", "bytes_per_s": RATE_BYTES_PER_S}
    members = {"revision": revision, "targets": runners, "models": models}
    text = json.dumps(TRIAL | members | {"services": [], "weight_store": store})
    document = read_environment(text)
    assert isinstance(document, Environment), document
    return document


class OrdersMachine(RuleBasedStateMachine):
    """
    Two issuers with different revisions, process pauses and runners that ignore
    fencing numbers.

    ``paused`` holds the orders that a host had planned when it was paused. The
    first of them may already have been checked; it is then sent late, which no
    check can prevent.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.documents = [build_document(revision) for revision in (1, 2, 3, 4, 5)]
        self.published = 0
        self.runners = {
            target.id: SimulatedRunner(target.checks_fencing)
            for target in self.documents[0].targets
        }
        self.issuers = {host: OrderIssuer(host, 0.0) for host in HOSTS}
        self.paused: dict[str, list[Order]] = {}
        self.loads: list[tuple[float, int]] = []
        for issuer in self.issuers.values():
            issuer.apply(self.documents[0], 0.0)

    @rule()
    def publish(self) -> None:
        self.published = min(self.published + 1, len(self.documents) - 1)

    @rule(host=st.sampled_from(HOSTS))
    def apply_next_revision(self, host: str) -> None:
        issuer = self.issuers[host]
        if host not in self.paused and issuer.revision <= self.published:
            issuer.apply(self.documents[issuer.revision], self.now)

    @rule(host=st.sampled_from(HOSTS))
    def pause(self, host: str) -> None:
        """Pause a host right after it planned its orders."""
        if host not in self.paused:
            self.paused[host] = list(self._plan(host))

    @rule(host=st.sampled_from(HOSTS), checked_before=st.booleans())
    def resume(self, host: str, checked_before: bool) -> None:
        orders = self.paused.pop(host, [])
        for number, order in enumerate(orders):
            if checked_before and number == 0:
                self._deliver(host, order)
            else:
                self._check_and_send(host, order)

    @rule(host=st.sampled_from(HOSTS))
    def restart_host(self, host: str) -> None:
        self.paused.pop(host, None)
        revision = self.issuers[host].revision
        self.issuers[host] = OrderIssuer(host, self.now)
        self.issuers[host].apply(self.documents[revision - 1], self.now)

    @rule(runner=st.integers(0, 2))
    def restart_runner(self, runner: int) -> None:
        name = f"runner-{runner}"
        self.runners[name] = SimulatedRunner(self.runners[name].checks_fencing)

    @rule(seconds=st.integers(1, 60))
    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self._tick()

    @invariant()
    def store_rate_is_respected(self) -> None:
        """
        Bound the bytes ordered in any span of time.

        The bound is the rate times the span, plus one accumulated load and one
        delayed load for each candidate.
        """
        largest = sum(WEIGHTS_BYTES.values())
        allowed = 2 * len(HOSTS) * largest
        for first, (start, _) in enumerate(self.loads):
            total = 0
            for at, size in self.loads[first:]:
                total += size
                assert total <= RATE_BYTES_PER_S * (at - start) + allowed

    def teardown(self) -> None:
        """Check that all runners converge and orders stop once revisions agree."""
        for host in HOSTS:
            self.resume(host, checked_before=True)
            self.issuers[host].apply(self.documents[self.published], self.now)
        for _ in range(SETTLE_S):
            self._tick()
        desired = list_desired(self.documents[self.published])
        for name, runner in self.runners.items():
            report = runner.report(self.now)
            assert tuple(sorted(report.models)) == desired[name].models
            assert set(report.models.values()) == {ModelState.LOADED}
            assert report.role == desired[name].role.value
        sent = sum(self._tick() for _ in range(IDLE_S))
        assert sent == 0

    def _tick(self) -> int:
        global steps_taken
        steps_taken += 1
        self.now += 1
        sent = 0
        for host in HOSTS:
            if host not in self.paused:
                for order in self._plan(host):
                    sent += self._check_and_send(host, order)
        return sent

    def _plan(self, host: str) -> tuple[Order, ...]:
        reports = {name: run.report(self.now) for name, run in self.runners.items()}
        return self.issuers[host].plan(reports, {"a": 1.0}, self.now)

    def _check_and_send(self, host: str, order: Order) -> bool:
        report = self.runners[order.runner].report(self.now)
        checked = self.issuers[host].recheck(order, report, self.now)
        if not isinstance(checked, Order):
            return False
        self._deliver(host, checked)
        return True

    def _deliver(self, host: str, order: Order) -> None:
        status, size = self.runners[order.runner].apply_order(order, self.now)
        self.issuers[host].record_answer(order, status, self.now)
        if size:
            self.loads.append((self.now, size))


def test_orders_settle_and_respect_the_store(
    capsys: pytest.CaptureFixture[str],
) -> None:
    ranks = [plan_issuer(build_document(1), host).ranks for host in HOSTS]
    assert all(len(part) == 3 for part in ranks)
    run_state_machine_as_test(
        seed(SEED)(OrdersMachine),
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
        ),
    )
    with capsys.disabled():
        print(f"\norders machine: seed {SEED}, {steps_taken} rounds")


def test_role_names_are_those_of_the_engines() -> None:
    assert [role.value for role in Role] == ["any", "prefill", "decode"]
