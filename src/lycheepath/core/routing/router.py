"""
Routing state of one host.

A thin composition of the target registry, the routing context and the choice::

    router = Router(host="host-1", region="accra", random=Random())
    router.apply(environment)
    choice = router.choose(request, now)
    if choice:
        assert_residency(request, choice.region)
        router.record_send(request, choice, now)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .choice import assert_residency, choose_target
from .context import build_context
from .policy import DEFAULT_POLICY
from .targets import TargetRegistry

if TYPE_CHECKING:
    from random import Random

    from ..environment.model import Environment
    from .choice import Choice
    from .context import RoutingContext
    from .policy import Policy
    from .request import RoutedRequest


class Router:
    """The target registry and the context of the environment in force."""

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
        self._context: RoutingContext | None = None

    def apply(self, environment: Environment) -> None:
        """Apply an environment document."""
        self._context = build_context(environment, self.host, self.region, self._policy)
        self.registry.apply(environment)

    def choose(
        self,
        request: RoutedRequest,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice | Absent:
        """
        Return the target for a request, or why there is none.

        ``excluded`` holds the targets of the request's previous attempts.
        """
        if self._context is None:
            return Absent(Reason.VIEW_TOO_OLD, 1.0, "no environment is in force yet")
        return choose_target(
            request,
            self.registry.views(),
            self.registry.cached_tokens(request),
            self._context,
            now,
            self._random,
            excluded,
        )

    def estimate_cost(self, request: RoutedRequest) -> int:
        """Return the prompt tokens to prefill at the target that caches most."""
        cached = max(self.registry.cached_tokens(request).values(), default=0)
        return max(1, request.prompt_tokens - cached)

    def record_send(self, request: RoutedRequest, choice: Choice, now: float) -> None:
        """Record that the request is sent to the chosen target."""
        assert_residency(request, choice.region)
        self.registry.record_send(
            request, choice.target, now, choice.first_token_s, choice.cached_tokens
        )
