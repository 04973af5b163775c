"""The refusals that a ledger gives, one function for each kind."""

from __future__ import annotations

from ..reasons import Reason
from .claims import Refusal, Run, refuse_copy


def refuse_cancelled(reason: Reason) -> Refusal:
    """Say "not run" of a claim that was cancelled for ever."""
    return refuse_copy(
        503,
        Run.NOT_RUN,
        reason,
        detail="cancelled before it was sent; use a new key or ticket",
    )


def refuse_spent() -> Refusal:
    """Say "not run" to the holder of a permit that was cancelled meanwhile."""
    return refuse_cancelled(Reason.PERMIT_TOO_OLD)


def refuse_lost() -> Refusal:
    """Say "unknown" of a claim that was sent and got no whole answer."""
    return Refusal(
        502,
        Run.UNKNOWN,
        Reason.ANSWER_LOST,
        detail="sent, but no whole answer came; it will not be sent again",
    )
