"""
Decides whether a request that got no answer may be sent again.

A request that may have run is repeated only if its route allows it, and at no more
targets than the route's ``max_attempts``. One that has certainly not run may be sent
to another target. Both use the fleet's retry budget.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..catalog.model import Route

# Maximum number of attempts of one request, including those that didn't run: a refusal
# is quick, but not free.
MAX_SENDS = 4


class AttemptResult(Enum):
    """
    The result of one attempt.

    ``ANSWERED`` completes the request. With ``NOT_RUN`` it certainly did not run, with
    ``LOST`` it may have run, with ``FAILED`` it ran and was answered with a failure.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    LOST = "lost"
    FAILED = "failed"


@dataclass(slots=True)
class AttemptCounts:
    """The attempts of one request; ``runs`` are those that may have run."""

    sends: int = 0
    runs: int = 0

    def record(self, result: AttemptResult) -> None:
        """Count an attempt by its result."""
        self.sends += 1
        if result is not AttemptResult.NOT_RUN:
            self.runs += 1


def may_run_again(route: Route, attempts: AttemptCounts) -> bool:
    """Return whether another run may follow the one in flight, not counted yet."""
    return route.repeatable and attempts.runs + 1 < route.max_attempts


def may_send_again(
    route: Route, attempts: AttemptCounts, result: AttemptResult
) -> bool:
    """Return whether the route allows another attempt after ``result``."""
    if attempts.sends >= MAX_SENDS or result is AttemptResult.ANSWERED:
        return False
    if attempts.runs == 0:
        return True
    return route.repeatable and attempts.runs < route.max_attempts
