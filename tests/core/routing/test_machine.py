"""
A randomised run of the target registry, the choice and the limits together.

The invariants: residency is never violated, no draining target is chosen, counts
of in-flight requests are never negative and end at zero, the limit holds, and at
least half of a region's targets that aren't draining are not ejected.
"""

from __future__ import annotations

from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lycheepath.core.environment.model import Limit
from lycheepath.core.limits.admission import Admission, Limiter
from lycheepath.core.routing.choice import Choice
from lycheepath.core.routing.reports import FailureKind, LoadReport, ModelState
from lycheepath.core.routing.request import RoutedRequest
from lycheepath.core.routing.router import Router

from .conftest import build_environment

RUNS = 60
STEPS = 120
RATE = 2_000.0
BURST = 20_000.0
REGIONS = ("region-0", "region-1", "region-2")
TARGETS = tuple(f"{region}-runner-{n}" for region in REGIONS for n in range(3))

names = st.sampled_from(TARGETS)
bindings = st.sampled_from((None, *REGIONS))


class RoutingMachine(RuleBasedStateMachine):
    """Drives the routing core of one host by random events in random order."""

    steps = 0

    def __init__(self) -> None:
        super().__init__()
        limits = (Limit("*", RATE, BURST),)
        self.environment = build_environment(3, 3, limits=limits)
        self.router = Router("host-region-0", "region-0", Random(7))
        self.router.apply(self.environment)
        self.limiter = Limiter("host-region-0")
        self.limiter.apply_environment(self.environment, {"team": ("region-0",)})
        self.now = 0.0
        self.count = 0
        self.admitted = 0.0
        self.listed_draining: set[str] = set()
        self.reported_draining: set[str] = set()
        self.measured: dict[str, float] = {}
        self.in_flight: dict[str, tuple[RoutedRequest, str]] = {}

    @rule(
        binding=bindings,
        home=st.sampled_from(REGIONS),
        tokens=st.integers(1, 8000),
        prefix=st.integers(0, 5),
        max_wait_s=st.floats(0.01, 120.0),
    )
    def send(
        self,
        binding: str | None,
        home: str,
        tokens: int,
        prefix: int,
        max_wait_s: float,
    ) -> None:
        self.count += 1
        admission = self.limiter.admit("team", tokens, 5, self.now)
        if not isinstance(admission, Admission):
            assert admission.retry_after_s > 0.0
            return
        self.admitted += tokens
        blocks = tuple(prefix * 1000 + index for index in range(tokens // 64))
        request = RoutedRequest(
            f"q{self.count}",
            "chat",
            blocks,
            tokens,
            200,
            5,
            self.now + max_wait_s,
            home,
            binding,
        )
        choice = self.router.choose(request, self.now)
        if not isinstance(choice, Choice):
            self.limiter.settle(admission, 0.0, self.now)
            self.admitted -= tokens
            return
        assert binding in (None, choice.region)
        assert choice.target.startswith(choice.region)
        assert choice.target not in self.listed_draining | self.reported_draining
        assert self.now + choice.finish_s <= request.deadline
        assert len(choice.scores) <= 8
        self.router.record_send(request, choice, self.now)
        self.in_flight[request.id] = (request, choice.target)

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), kind=st.sampled_from((None, *FailureKind)))
    def end(self, data: st.DataObject, kind: FailureKind | None) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.in_flight)))
        del self.in_flight[request_id]
        registry = self.router.registry
        before = self.find_ejected()
        if kind is None:
            registry.record_first_token(request_id, self.now)
            registry.record_completion(request_id, self.now, 20)
            registry.record_completion(request_id, self.now, 20)
        else:
            registry.record_failure(request_id, kind, self.now)
            registry.record_failure(request_id, kind, self.now)
        for name in self.find_ejected() - before:
            self.check_ejection(name)

    @rule(name=names, running=st.integers(0, 40), age=st.floats(0.0, 20.0))
    def report(self, name: str, running: int, age: float) -> None:
        states = {"chat": ModelState.LOADED}
        draining = running % 8 == 0
        report = LoadReport(running, models=states, draining=draining)
        measured_at = self.now - age
        self.router.registry.apply_load_report(name, report, measured_at)
        if measured_at >= self.measured.get(name, float("-inf")):
            self.measured[name] = measured_at
            (
                self.reported_draining.add
                if draining
                else self.reported_draining.discard
            )(name)

    @rule(name=names, draining=st.booleans())
    def drain(self, name: str, draining: bool) -> None:
        self.router.registry.set_draining(name, draining)
        (self.listed_draining.add if draining else self.listed_draining.discard)(name)

    @rule(step=st.floats(0.0, 30.0))
    def wait(self, step: float) -> None:
        self.now += step

    @rule()
    def apply_again(self) -> None:
        self.router.apply(self.environment)

    @invariant()
    def counts_agree(self) -> None:
        type(self).steps += 1
        for target in TARGETS:
            expected = sum(sent == target for _, sent in self.in_flight.values())
            assert self.router.registry.count_in_flight(target) == expected

    @invariant()
    def limit_holds(self) -> None:
        assert self.admitted <= RATE * self.now + BURST

    def find_ejected(self) -> set[str]:
        views = self.router.registry.views()
        return {view.id for view in views if self.now < view.ejected_until}

    def check_ejection(self, name: str) -> None:
        """
        Check that half of the targets that accept requests stay, at least one.

        Draining targets accept none and are not counted. A target may stop
        draining later, so this holds at the time of an ejection only.
        """
        region, _, _ = name.rpartition("-runner-")
        closed = self.listed_draining | self.reported_draining
        accepting = {t for t in TARGETS if t.startswith(region)} - closed
        assert 2 * len(accepting & self.find_ejected()) <= len(accepting)

    def teardown(self) -> None:
        for request_id in self.in_flight:
            self.router.registry.record_failure(
                request_id, FailureKind.CANCELLED, self.now
            )
        assert all(
            self.router.registry.count_in_flight(target) == 0 for target in TARGETS
        )


def test_core_keeps_its_invariants_in_random_runs() -> None:
    run_state_machine_as_test(
        RoutingMachine,
        settings=settings(
            max_examples=RUNS,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=True,
            database=None,
        ),
    )
    print(f"seed: derandomised, steps: {RoutingMachine.steps}")
    assert RoutingMachine.steps > RUNS


def test_draining_targets_are_not_counted_at_ejections() -> None:
    """One of the two remaining targets may be ejected, the last one may not."""
    machine = RoutingMachine()
    registry = machine.router.registry
    for number in range(1, 6):
        machine.send("region-0", "region-0", 1, 0, 6.0)
        _, target = machine.in_flight.pop(f"q{number}")
        before = machine.find_ejected()
        registry.record_failure(f"q{number}", FailureKind.WRONG_ANSWER, machine.now)
        for name in machine.find_ejected() - before:
            machine.check_ejection(name)
        if not machine.listed_draining:
            registry.set_draining(target, True)
            machine.listed_draining.add(target)
    assert len(machine.find_ejected() - machine.listed_draining) == 1
