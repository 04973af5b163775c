"""How requests that were sent to targets end."""

from __future__ import annotations

from enum import Enum


class AttemptOutcome(Enum):
    """Outcome of one request sent to a target; the values appear in the log."""

    COMPLETED = "whole"
    FAILED = "failed"
    INVALID = "wrong"
    REFUSED = "refused"
    NOT_RUN = "not-run"
    REPLACED = "replaced"
    TIMED_OUT = "silent"
    UNDETERMINED = "left"
