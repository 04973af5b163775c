"""
The policies that a replay compares: common baselines and the routing core.

The baselines leave out the targets that the published list marks as draining.
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
    """The interface between a replayed host and its policy."""

    def choose(
        self, request: RoutedRequest, now: float, excluded: frozenset[str]
    ) -> Choice | Absent:
        """Choose a target for a request, or return why there is none."""

    def record_send(self, request: RoutedRequest, choice: Choice, now: float) -> None:
        """Record that a request was sent to the chosen target."""

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token of a request."""

    def record_completion(
        self, request_id: str, now: float, generated_tokens: int
    ) -> None:
        """Record the completed answer of a request."""

    def record_failure(self, request_id: str, kind: FailureKind, now: float) -> None:
        """Record a failed attempt."""

    def apply_load_report(
        self, target: str, report: LoadReport, measured_at: float
    ) -> None:
        """Apply a target's load report."""

    def set_draining(self, target: str, draining: bool) -> None:
        """Apply the draining state of a target from the published list."""


PolicyFactory = Callable[[Environment, str, str, Random], RoutingPolicy]


class BaselinePolicy:
    """Round robin or least in flight, optionally limited to the home region."""

    def __init__(
        self,
        environment: Environment,
        random: Random,
        home_only: bool,
        round_robin: bool,
    ) -> None:
        regions = {zone.id: zone.region for zone in environment.zones}
        self._targets = {
            target.id: regions[target.zone] for target in environment.targets
        }
        self._random = random
        self._home_only = home_only
        self._round_robin = round_robin
        self._next_index = random.randrange(len(self._targets))
        self._in_flight: Counter[str] = Counter()
        self._sent: dict[str, str] = {}
        self._draining: set[str] = set()

    def choose(
        self, request: RoutedRequest, now: float, excluded: frozenset[str]
    ) -> Choice | Absent:
        required_region = request.bound_region
        if self._home_only:
            required_region = request.home_region
        usable = [
            target
            for target, region in self._targets.items()
            if required_region in (None, region)
            and target not in self._draining | excluded
        ]
        if not usable:
            return Absent(Reason.NO_TARGET, 1.0)
        target = self._pick(usable)
        region = self._targets[target]
        is_remote = region != request.home_region
        return Choice(target, region, 0.0, 0.0, 0, is_remote, (), {})

    def record_send(self, request: RoutedRequest, choice: Choice, now: float) -> None:
        self._in_flight[choice.target] += 1
        self._sent[request.id] = choice.target

    def record_first_token(self, request_id: str, now: float) -> None:
        pass

    def record_completion(
        self, request_id: str, now: float, generated_tokens: int
    ) -> None:
        self._in_flight[self._sent.pop(request_id)] -= 1

    def record_failure(self, request_id: str, kind: FailureKind, now: float) -> None:
        self._in_flight[self._sent.pop(request_id)] -= 1

    def apply_load_report(
        self, target: str, report: LoadReport, measured_at: float
    ) -> None:
        pass

    def set_draining(self, target: str, draining: bool) -> None:
        if draining:
            self._draining.add(target)
        else:
            self._draining.discard(target)

    def _pick(self, usable: list[str]) -> str:
        if self._round_robin:
            self._next_index += 1
            return usable[self._next_index % len(usable)]
        least = min(self._in_flight[target] for target in usable)
        ties = [target for target in usable if self._in_flight[target] == least]
        return self._random.choice(ties)


class CorePolicy:
    """The routing core, called as a host calls it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        registry = router.registry
        self.record_send = router.record_send
        self.record_first_token = registry.record_first_token
        self.record_completion = registry.record_completion
        self.record_failure = registry.record_failure
        self.apply_load_report = registry.apply_load_report

    def choose(
        self, request: RoutedRequest, now: float, excluded: frozenset[str]
    ) -> Choice | Absent:
        return self.router.choose(request, now, excluded)

    def set_draining(self, target: str, draining: bool) -> None:
        """Ignore the list: a lost target isn't draining and may have recovered."""


def make_round_robin(
    environment: Environment, host: str, region: str, random: Random
) -> RoutingPolicy:
    """Return a policy that takes the targets in turn."""
    return BaselinePolicy(environment, random, home_only=False, round_robin=True)


def make_least_in_flight(
    environment: Environment, host: str, region: str, random: Random
) -> RoutingPolicy:
    """Return a policy that takes the target with the fewest in-flight requests."""
    return BaselinePolicy(environment, random, home_only=False, round_robin=False)


def make_home_only(
    environment: Environment, host: str, region: str, random: Random
) -> RoutingPolicy:
    """Return a least-in-flight policy limited to the home region."""
    return BaselinePolicy(environment, random, home_only=True, round_robin=False)


def make_core_policy(policy: Policy) -> PolicyFactory:
    """Return a factory of the routing core with the given parameters."""

    def make(
        environment: Environment, host: str, region: str, random: Random
    ) -> RoutingPolicy:
        router = Router(host, region, random, policy)
        router.apply(environment)
        return CorePolicy(router)

    return make


# Parameters of successive versions of the core's policy, oldest first.
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
    **{name: make_core_policy(policy) for name, policy in VERSIONS.items()},
}
