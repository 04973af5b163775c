"""
The policies that a replay compares: plain ones of the field, and ours.

The plain ones know which targets the published list calls dead, as ours does.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Protocol

from lycheepath.core.environment.model import Environment
from lycheepath.core.reasons import Absent, Reason
from lycheepath.core.routing.choice import Choice
from lycheepath.core.routing.policy import DEFAULT_POLICY, Policy
from lycheepath.core.routing.router import Router

if TYPE_CHECKING:
    from lycheepath.core.routing.reports import FailureKind, LoadReport
    from lycheepath.core.routing.request import RoutedRequest


class RoutingPolicy(Protocol):
    """What a replayed host asks and tells its policy."""

    def choose(
        self, request: RoutedRequest, now: float, excluded: frozenset[str]
    ) -> Choice | Absent:
        """Return the target of a request."""

    def start(self, request: RoutedRequest, choice: Choice, now: float) -> None:
        """Record that a request was sent."""

    def first_token(self, request_id: str, now: float) -> None:
        """Record a first token."""

    def finished(self, request_id: str, now: float, generated_tokens: int) -> None:
        """Record a whole answer."""

    def failed(self, request_id: str, kind: FailureKind, now: float) -> None:
        """Record a failure."""

    def load_report(self, target: str, report: LoadReport, measured_at: float) -> None:
        """Take in a load report."""

    def drained(self, target: str, draining: bool) -> None:
        """Take in what the published list says."""


PolicyFactory = Callable[[Environment, str, str, Random], RoutingPolicy]


class PlainPolicy:
    """State: in-flight counts and a turn counter, for the field's plain ways."""

    def __init__(
        self, environment: Environment, random: Random, home_only: bool, turns: bool
    ) -> None:
        regions = {zone.id: zone.region for zone in environment.zones}
        self._targets = {
            target.id: regions[target.zone] for target in environment.targets
        }
        self._random = random
        self._home_only = home_only
        self._turns = turns
        self._turn = random.randrange(len(self._targets))
        self._in_flight: Counter[str] = Counter()
        self._sent: dict[str, str] = {}
        self._out: set[str] = set()

    def choose(
        self, request: RoutedRequest, now: float, excluded: frozenset[str]
    ) -> Choice | Absent:
        wanted = request.bound_region
        if self._home_only:
            wanted = request.home_region
        usable = [
            target
            for target, region in self._targets.items()
            if wanted in (None, region) and target not in self._out | excluded
        ]
        if not usable:
            return Absent(Reason.NO_TARGET, 1.0)
        target = self._pick(usable)
        region = self._targets[target]
        away = region != request.home_region
        return Choice(target, region, 0.0, 0.0, 0, away, (), {})

    def start(self, request: RoutedRequest, choice: Choice, now: float) -> None:
        self._in_flight[choice.target] += 1
        self._sent[request.id] = choice.target

    def first_token(self, request_id: str, now: float) -> None:
        pass

    def finished(self, request_id: str, now: float, generated_tokens: int) -> None:
        self._in_flight[self._sent.pop(request_id)] -= 1

    def failed(self, request_id: str, kind: FailureKind, now: float) -> None:
        self._in_flight[self._sent.pop(request_id)] -= 1

    def load_report(self, target: str, report: LoadReport, measured_at: float) -> None:
        pass

    def drained(self, target: str, draining: bool) -> None:
        if draining:
            self._out.add(target)
        else:
            self._out.discard(target)

    def _pick(self, usable: list[str]) -> str:
        if self._turns:
            self._turn += 1
            return usable[self._turn % len(usable)]
        least = min(self._in_flight[target] for target in usable)
        ties = [target for target in usable if self._in_flight[target] == least]
        return self._random.choice(ties)


class OurPolicy:
    """The decision core, driven as a host drives it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        book = router.registry
        self.start = router.record_send
        self.first_token = book.record_first_token
        self.finished = book.record_completion
        self.failed = book.record_failure
        self.load_report = book.apply_load_report

    def choose(
        self, request: RoutedRequest, now: float, excluded: frozenset[str]
    ) -> Choice | Absent:
        return self.router.choose(request, now, excluded)

    def drained(self, target: str, draining: bool) -> None:
        """Ignore the list: a lost target is not leaving, and may be back already."""


def make_round_robin(
    environment: Environment, host: str, region: str, random: Random
) -> RoutingPolicy:
    """Take the targets in turn."""
    return PlainPolicy(environment, random, home_only=False, turns=True)


def make_least_in_flight(
    environment: Environment, host: str, region: str, random: Random
) -> RoutingPolicy:
    """Take the target with the fewest requests from this host."""
    return PlainPolicy(environment, random, home_only=False, turns=False)


def make_home_only(
    environment: Environment, host: str, region: str, random: Random
) -> RoutingPolicy:
    """Take the target at home with the fewest requests from this host."""
    return PlainPolicy(environment, random, home_only=True, turns=False)


def make_ours(policy: Policy) -> PolicyFactory:
    """Return a factory of the decision core with these knobs."""

    def make(
        environment: Environment, host: str, region: str, random: Random
    ) -> RoutingPolicy:
        router = Router(host, region, random, policy)
        router.apply(environment)
        return OurPolicy(router)

    return make


# The versions of the core's policy in the order in which they came.
_FIRST = Policy(
    learn_answer_length=False,
    engine_wait_s=float("inf"),
    spill_load=float("inf"),
    scale_cost_by_load=False,
    remote_cost_s=0.2,
)
_SECOND = replace(_FIRST, learn_answer_length=True)
_THIRD = replace(_SECOND, engine_wait_s=1.0)
_FOURTH = replace(_THIRD, spill_load=0.5)
_FIFTH = replace(_FOURTH, engine_wait_s=2.0)
_SIXTH = replace(_FIFTH, scale_cost_by_load=True)

VERSIONS = {
    "ours-1": _FIRST,
    "ours-2": _SECOND,
    "ours-3": _THIRD,
    "ours-4": _FOURTH,
    "ours-5": _FIFTH,
    "ours-6": _SIXTH,
    "ours": DEFAULT_POLICY,
}

POLICIES: dict[str, PolicyFactory] = {
    "round-robin": make_round_robin,
    "least-in-flight": make_least_in_flight,
    "home-only": make_home_only,
    **{name: make_ours(policy) for name, policy in VERSIONS.items()},
}
