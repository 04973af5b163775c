"""
The latest decisions of this host on which targets to choose or reject.

Only identities, sizes and scores are stored, never the text of a request.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from ..core.reasons import Absent

if TYPE_CHECKING:
    from ..core.routing.choice import Choice
    from ..core.routing.request import RoutedRequest

MAX_REQUESTS = 500


@dataclass(frozen=True, slots=True)
class Explanation:
    """One decision for a request; a request with several attempts has several."""

    request_id: str
    model: str
    home_region: str
    bound_region: str | None
    prompt_tokens: int
    target: str
    reason: str
    scores: tuple[dict[str, Any], ...]
    rejected: dict[str, str]

    @classmethod
    def of_choice(cls, request: RoutedRequest, choice: Choice | Absent) -> Explanation:
        """Return the explanation of one decision."""
        scores: tuple[dict[str, Any], ...]
        if isinstance(choice, Absent):
            target, scores, rejected = "", (), {}
            reason = f"{choice.reason.value}: {choice.detail}"
        else:
            target, reason = choice.target, "lowest score"
            scores = tuple(score._asdict() for score in choice.scores)
            rejected = dict(choice.rejected)
        return cls(
            request_id=request.id,
            model=request.model,
            home_region=request.home_region,
            bound_region=request.bound_region,
            prompt_tokens=request.prompt_tokens,
            target=target,
            reason=reason,
            scores=scores,
            rejected=rejected,
        )


class Explanations:
    """The decisions of the latest requests; the oldest are dropped first."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._by_request: OrderedDict[str, list[Explanation]] = OrderedDict()

    def add(self, explanation: Explanation) -> None:
        """Store one decision."""
        decisions = self._by_request.setdefault(explanation.request_id, [])
        decisions.append(explanation)
        if len(self._by_request) > self._max_requests:
            self._by_request.popitem(last=False)

    def read(self, request_id: str) -> list[dict[str, Any]]:
        """Return the decisions for a request as dictionaries."""
        return [asdict(e) for e in self._by_request.get(request_id, [])]
