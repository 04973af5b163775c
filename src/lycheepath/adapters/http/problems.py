"""
Errors as problem details (RFC 9457) that report whether the request was run.

Every error answer has the member ``run``: ``run`` if the request was run,
``not-run`` if it was not run and never will be, else ``unknown``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import orjson

from ...core.outcomes import Run
from ...core.reasons import Absent, Reason

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:lycheepath:problem:"


STATUS_BY_REASON = {
    Reason.NO_SUCH_MODEL: 404,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.NO_TARGET: 503,
    Reason.RESIDENCY: 421,
    Reason.OVERLOADED: 503,
    Reason.DEADLINE: 503,
    Reason.LIMIT: 429,
    Reason.NOT_TEAM_HOST: 421,
    Reason.QUARANTINED: 422,
    Reason.DRAINING: 503,
    Reason.ALREADY_FORWARDED: 508,
    Reason.VIEW_TOO_OLD: 503,
    Reason.RETRIES_SPENT: 503,
    Reason.REFUSED_BY_TARGET: 400,
    Reason.TICKET_FORGED: 403,
    Reason.TICKET_EXPIRED: 410,
    Reason.TICKET_VOID: 410,
    Reason.OWNER_UNREACHABLE: 503,
    Reason.KEY_TOO_OLD: 503,
    Reason.KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
}


@dataclass(frozen=True, slots=True)
class Problem:
    """
    An error answer.

    ``retry_after_s`` is rounded up to whole seconds in the Retry-After
    header; zero omits the header. ``members`` are added to the body.
    """

    status: int
    reason: str
    run: Run
    detail: str = ""
    retry_after_s: float = 0.0
    members: dict[str, Any] = field(default_factory=dict)

    def body(self) -> bytes:
        """Return the JSON body."""
        return orjson.dumps(
            {
                "type": TYPE_PREFIX + self.reason,
                "title": self.reason.replace("-", " "),
                "status": self.status,
                "detail": self.detail,
                "run": self.run.value,
                "reason": self.reason,
                **self.members,
            }
        )

    def headers(self) -> dict[str, str]:
        """Return the headers of the answer."""
        headers = {"content-type": CONTENT_TYPE}
        if self.retry_after_s > 0:
            headers["retry-after"] = str(math.ceil(self.retry_after_s))
        return headers


def problem_from_absent(
    absent: Absent, run: Run = Run.NOT_RUN, **members: Any
) -> Problem:
    """Return the problem that reports a refusal by the core."""
    return Problem(
        status=STATUS_BY_REASON.get(absent.reason, 503),
        reason=absent.reason.value,
        run=run,
        detail=absent.detail,
        retry_after_s=absent.retry_after_s,
        members=members,
    )
