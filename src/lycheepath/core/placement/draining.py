"""
What a host that leaves still takes.

Its requests are cut when its time is over, so it refuses at once what would not
have ended by then. In the first seconds callers can't know that it leaves, and an
answer that may well end is worth more to them than coming again; later ones come
only where a region has no other host, and have to end for certain::

    placed = admit_while_draining(wanted, placed, left_s=4.0, leaving_s=3.5)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .opening import MIN_RETRY_AFTER_S

if TYPE_CHECKING:
    from ..serving.requests import Prompt
    from .model import Placement, PlacementRequest

# Callers learn from the directory within this time that a host leaves: the longest
# that they keep an answer, and what is on its way then.
DRAIN_NOTICE_S = 3.0
# An answer seldom takes longer than estimated by this factor.
SLOW_FACTOR = 1.5


def admit_while_draining(
    wanted: PlacementRequest, placed: Placement, left_s: float, leaving_s: float
) -> Placement | Absent:
    """
    Return a placement, or why its answer would be cut.

    ``left_s`` is the time until the host ends, ``leaving_s`` that since it began to
    leave.
    """
    ends_s = estimate_end_s(wanted.prompt, placed)
    if leaving_s > DRAIN_NOTICE_S:
        ends_s *= SLOW_FACTOR
    if ends_s <= left_s:
        return placed
    detail = f"the answer takes {ends_s:.1f} s, this host leaves in {left_s:.1f} s"
    return Absent(Reason.DRAINING, MIN_RETRY_AFTER_S, detail)


def estimate_end_s(prompt: Prompt | None, placed: Placement) -> float:
    """Return the time until an answer ends, if it is as long as it may be."""
    service = placed.target.service
    if prompt is None or service is None or service.engine is None:
        return placed.first_event_s
    events = prompt.max_answer_tokens / service.engine.event_tokens
    return placed.first_event_s + events * placed.event_interval_s
