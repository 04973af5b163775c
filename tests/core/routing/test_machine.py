"""
A randomised run of the book, the choice and the limits together.

The invariants: residency is never broken, no draining target is chosen, counts
in flight are never negative and end at zero, the limit's bound holds, and no
ejection leaves less than half of a region's targets that aren't draining.
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
    """Drives one host's core by random events in random order."""

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
        self.drained: set[str] = set()
        self.leaving: set[str] = set()
        self.measured: dict[str, float] = {}
        self.flying: dict[str, tuple[RoutedRequest, str]] = {}

    @rule(
        binding=bindings,
        home=st.sampled_from(REGIONS),
        tokens=st.integers(1, 8000),
        prefix=st.integers(0, 5),
        patience=st.floats(0.01, 120.0),
    )
    def send(
        self, binding: str | None, home: str, tokens: int, prefix: int, patience: float
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
            self.now + patience,
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
        assert choice.target not in self.drained | self.leaving
        assert self.now + choice.finish_s <= request.deadline
        assert len(choice.scores) <= 8
        self.router.record_send(request, choice, self.now)
        self.flying[request.id] = (request, choice.target)

    @precondition(lambda self: self.flying)
    @rule(data=st.data(), kind=st.sampled_from((None, *FailureKind)))
    def end(self, data: st.DataObject, kind: FailureKind | None) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.flying)))
        del self.flying[request_id]
        book = self.router.registry
        before = self.find_ejected()
        if kind is None:
            book.record_first_token(request_id, self.now)
            book.record_completion(request_id, self.now, 20)
            book.record_completion(request_id, self.now, 20)
        else:
            book.record_failure(request_id, kind, self.now)
            book.record_failure(request_id, kind, self.now)
        for name in self.find_ejected() - before:
            self.check_ejection(name)

    @rule(name=names, running=st.integers(0, 40), age=st.floats(0.0, 20.0))
    def report(self, name: str, running: int, age: float) -> None:
        states = {"chat": ModelState.LOADED}
        leaving = running % 8 == 0
        report = LoadReport(running, models=states, draining=leaving)
        measured_at = self.now - age
        self.router.registry.apply_load_report(name, report, measured_at)
        if measured_at >= self.measured.get(name, float("-inf")):
            self.measured[name] = measured_at
            (self.leaving.add if leaving else self.leaving.discard)(name)

    @rule(name=names, draining=st.booleans())
    def drain(self, name: str, draining: bool) -> None:
        self.router.registry.set_draining(name, draining)
        (self.drained.add if draining else self.drained.discard)(name)

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
            expected = sum(sent == target for _, sent in self.flying.values())
            assert self.router.registry.in_flight(target) == expected

    @invariant()
    def limit_holds(self) -> None:
        assert self.admitted <= RATE * self.now + BURST

    def find_ejected(self) -> set[str]:
        views = self.router.registry.views()
        return {view.id for view in views if self.now < view.ejected_until}

    def check_ejection(self, name: str) -> None:
        """
        Half of the targets that take requests stay, and one at least.

        What drains takes none, so it counts neither way; it may announce later
        that it doesn't drain any more, so this holds at ejections only.
        """
        region, _, _ = name.rpartition("-runner-")
        closed = self.drained | self.leaving
        taking = {t for t in TARGETS if t.startswith(region)} - closed
        assert 2 * len(taking & self.find_ejected()) <= len(taking)

    def teardown(self) -> None:
        for request_id in self.flying:
            self.router.registry.record_failure(
                request_id, FailureKind.CANCELLED, self.now
            )
        assert all(self.router.registry.in_flight(target) == 0 for target in TARGETS)


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


def test_ejected_target_that_drains_counts_neither_way() -> None:
    """One of the two that are left may be ejected, the last one may not."""
    machine = RoutingMachine()
    book = machine.router.registry
    for number in range(1, 6):
        machine.send("region-0", "region-0", 1, 0, 6.0)
        _, target = machine.flying.pop(f"q{number}")
        before = machine.find_ejected()
        book.record_failure(f"q{number}", FailureKind.WRONG_ANSWER, machine.now)
        for name in machine.find_ejected() - before:
            machine.check_ejection(name)
        if not machine.drained:
            book.set_draining(target, True)
            machine.drained.add(target)
    assert len(machine.find_ejected() - machine.drained) == 1
