"""The refusals that a ledger returns, one function for each kind."""

from __future__ import annotations

from ..reasons import Reason
from .claims import Refusal, Run, refuse_copy


def refuse_cancelled(reason: Reason) -> Refusal:
    """Return "not run" for a permanently cancelled claim."""
    return refuse_copy(
        503,
        Run.NOT_RUN,
        reason,
        detail="cancelled before it was sent; use a new key or ticket",
    )


def refuse_spent() -> Refusal:
    """Return "not run" for a permit whose claim has been cancelled."""
    return refuse_cancelled(Reason.PERMIT_TOO_OLD)


def refuse_lost() -> Refusal:
    """Return "unknown" for a claim that was sent and got no complete answer."""
    return Refusal(
        502,
        Run.UNKNOWN,
        Reason.ANSWER_LOST,
        detail="sent, but no whole answer came; it will not be sent again",
    )
