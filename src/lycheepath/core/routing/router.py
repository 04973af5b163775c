"""
The state of routing at one host, as the host wires it.

A thin composition of the book, the facts and the choice::

    router = Router(host="host-1", region="accra", random=Random())
    router.apply(environment)
    choice = router.choose(request, now)
    if choice:
        assert_residency(request, choice.region)
        router.start(request, choice, now)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .choice import assert_residency, choose_target
from .facts import read_facts
from .policy import DEFAULT_POLICY
from .targets import TargetRegistry

if TYPE_CHECKING:
    from random import Random

    from ..environment.model import Environment
    from .choice import Choice
    from .facts import Facts
    from .policy import Policy
    from .request import RoutedRequest


class Router:
    """State: the book of targets and the facts of the environment in force."""

    def __init__(
        self,
        host: str,
        region: str,
        random: Random,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self.host = host
        self.region = region
        self.registry = TargetRegistry(host)
        self._random = random
        self._policy = policy
        self._facts: Facts | None = None

    def apply(self, environment: Environment) -> None:
        """Put an environment document in force."""
        self._facts = read_facts(environment, self.host, self.region, self._policy)
        self.registry.apply(environment)

    def choose(
        self,
        request: RoutedRequest,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice | Absent:
        """
        Return the target for a request, or why there is none.

        ``excluded`` names targets that this request has already tried.
        """
        if self._facts is None:
            return Absent(Reason.VIEW_TOO_OLD, 1.0, "no environment is in force yet")
        return choose_target(
            request,
            self.registry.views(),
            self.registry.cached_tokens(request),
            self._facts,
            now,
            self._random,
            excluded,
        )

    def estimate_cost(self, request: RoutedRequest) -> int:
        """Return the prompt tokens that the warmest target would prefill."""
        cached = max(self.registry.cached_tokens(request).values(), default=0)
        return max(1, request.prompt_tokens - cached)

    def record_send(self, request: RoutedRequest, choice: Choice, now: float) -> None:
        """Record that the chosen target is being sent the request."""
        assert_residency(request, choice.region)
        self.registry.record_send(
            request, choice.target, now, choice.first_token_s, choice.cached_tokens
        )
