"""What a caller is told of a request that got no answer: was it run?"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .reasons import Absent


class Run(Enum):
    """
    Whether a request was run.

    ``NOT_RUN`` promises that it was not run and never will be; only who could
    have run it may say so. ``UNKNOWN`` promises nothing.
    """

    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestFailedError(Exception):
    """Ends a request without an answer; ``run`` says whether it was run."""

    def __init__(self, absent: Absent, run: Run) -> None:
        super().__init__(f"{absent.reason.value}: {absent.detail}")
        self.absent = absent
        self.run = run
