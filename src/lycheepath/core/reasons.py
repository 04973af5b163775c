"""
Sentinel values for missing results, with their reasons.

A decision that can be refused returns either its result or an ``Absent``. An
``Absent`` is falsy, holds a reason from a closed set, and may hold the time
after which the caller should retry::

    choice = choose_target(request, targets, now)
    if isinstance(choice, Absent):
        return refuse(choice.reason, choice.retry_after_s)
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Literal


class Reason(Enum):
    """Why a decision has no result."""

    NO_SUCH_MODEL = "no-such-model"
    NO_SUCH_SERVICE = "no-such-service"
    NO_TARGET = "no-target"
    TARGETS_BUSY = "targets-busy"
    RATE_LIMITED = "rate-limited"
    RESIDENCY = "residency"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    LIMIT = "limit"
    TEAM_SHARE = "team-share"
    NOT_TEAM_HOST = "not-team-host"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    ALREADY_FORWARDED = "already-forwarded"
    VIEW_TOO_OLD = "view-too-old"
    RETRIES_SPENT = "retries-spent"
    REFUSED_BY_TARGET = "refused-by-target"
    TICKET_FORGED = "ticket-forged"
    TICKET_EXPIRED = "ticket-expired"
    TICKET_VOID = "ticket-void"
    OWNER_UNREACHABLE = "owner-unreachable"
    KEY_TOO_OLD = "key-too-old"
    KEY_REUSED = "key-reused"
    IN_PROGRESS = "in-progress"
    KEY_TOO_LONG = "key-too-long"
    KEY_MOVED = "key-moved"
    NOT_OWNER = "not-owner"
    PERMIT_TOO_OLD = "permit-too-old"
    ANSWER_LOST = "answer-lost"
    NO_HANDOVER = "no-handover"
    TICKET_NEEDED = "ticket-needed"


@dataclass(frozen=True, slots=True)
class Absent:
    """
    A missing result with its reason.

    ``retry_after_s`` is in seconds; zero means that a retry can't succeed.
    ``detail`` is a human-readable text and must not be parsed.
    """

    reason: Reason
    retry_after_s: float = 0.0
    detail: str = ""

    def __bool__(self) -> Literal[False]:
        return False
