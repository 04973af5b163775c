"""Outcomes of requests that got no answer: whether they were run."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .reasons import Absent


class Run(Enum):
    """
    Whether a request was run.

    ``NOT_RUN`` guarantees that it was not run and never will be; only the
    process that could have run it may return it. ``UNKNOWN`` guarantees
    nothing.
    """

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestFailedError(Exception):
    """Ends a request without an answer; ``run`` states whether it was run."""

    def __init__(self, absent: Absent, run: Run) -> None:
        super().__init__(f"{absent.reason.value}: {absent.detail}")
        self.absent = absent
        self.run = run
