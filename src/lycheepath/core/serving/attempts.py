"""
Whether a request that got no answer may be sent once more.

A request that may have run is repeated only where its route allows it, and to
no more targets than the route names. One that has not run may go elsewhere.
Both draw on the fleet's budget for retries.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..catalog.model import Route

# Sendings of one request in all: refusals are quick, but not free.
MOST_SENDS = 4


class AttemptResult(Enum):
    """
    What one sending of a request came to.

    ``NOT_RUN`` is certain. ``LOST`` may have run, ``FAILED`` has run and was
    answered with a failure. ``ANSWERED`` needs nothing more.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    LOST = "lost"
    FAILED = "failed"


@dataclass(slots=True)
class AttemptCounts:
    """State: the sendings of one request."""

    sends: int = 0
    runs: int = 0

    def record(self, result: AttemptResult) -> None:
        """Count what a sending came to."""
        self.sends += 1
        if result is not AttemptResult.NOT_RUN:
            self.runs += 1


def may_run_again(route: Route, tries: AttemptCounts) -> bool:
    """Tell whether another run may follow one that is under way, not yet noted."""
    return route.repeatable and tries.runs + 1 < route.max_attempts


def may_send_again(route: Route, tries: AttemptCounts, result: AttemptResult) -> bool:
    """Tell whether the route allows another sending after ``result``."""
    if tries.sends >= MOST_SENDS or result is AttemptResult.ANSWERED:
        return False
    if tries.runs == 0:
        return True
    return route.repeatable and tries.runs < route.max_attempts
