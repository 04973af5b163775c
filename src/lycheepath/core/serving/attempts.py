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
    """
    The attempts of one request.

    ``sends`` and ``runs`` count those that have ended, and those of them that may have
    run. ``in_flight`` are in progress and may be running.
    """

    sends: int = 0
    runs: int = 0
    in_flight: int = 0

    @property
    def started(self) -> int:
        """The number of attempts that have been made."""
        return self.sends + self.in_flight

    @property
    def may_have_run(self) -> int:
        """The number of attempts that may have run."""
        return self.runs + self.in_flight

    def start(self) -> None:
        """Count an attempt that begins."""
        self.in_flight += 1

    def end(self, result: AttemptResult) -> None:
        """Count the end of an attempt that was counted when it began."""
        self.in_flight -= 1
        self.record(result)

    def record(self, result: AttemptResult) -> None:
        """Count an attempt by its result."""
        self.sends += 1
        if result is not AttemptResult.NOT_RUN:
            self.runs += 1


def may_run_again(route: Route, attempts: AttemptCounts) -> bool:
    """Return whether another run may follow those that may have run."""
    return route.repeatable and attempts.may_have_run < route.max_attempts


def may_start_another(route: Route, attempts: AttemptCounts) -> bool:
    """Return whether the route allows another attempt, beside those in flight."""
    if attempts.started >= MAX_SENDS:
        return False
    return attempts.may_have_run == 0 or may_run_again(route, attempts)
