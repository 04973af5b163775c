"""
What a keeper says of a target that a request may be sent to.

A quote is some milliseconds old when it is used, and stands in for what the
asking host knows itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..serving.requests import PromptPart
    from .registry import TargetState


@dataclass(frozen=True, slots=True)
class TargetLoadReport:
    """
    A target as its keeper sees it.

    ``in_flight`` are the requests of all hosts there, ``unread`` the tokens that it
    has still to read, by the urgency of their requests, ``cached`` the leading
    tokens of its prompt that the target has. ``event_s`` is the time between two
    events of its streams.
    """

    in_flight: int
    unread_tokens: Mapping[int, int]
    cached_tokens: int
    event_interval_s: float


def make_target_load_report(
    target: TargetState, parts: Sequence[PromptPart], now: float
) -> TargetLoadReport:
    """Return what this host knows of a target."""
    return TargetLoadReport(
        target.count_in_flight(now),
        target.count_unread(now),
        target.cache.count_cached(parts),
        target.event_s,
    )
