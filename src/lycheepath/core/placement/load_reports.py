"""
The load of a target as reported by its coordinator.

A load report is a few milliseconds old when it is used, and replaces what the
querying host knows itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..serving.requests import PromptPart
    from .pace import PaceReport
    from .registry import TargetState


@dataclass(frozen=True, slots=True)
class TargetLoadReport:
    """
    The load of a target as known to its coordinator.

    ``in_flight`` is the number of all hosts' requests there, ``unread_tokens`` the
    tokens still to be read, by request priority, and ``cached_tokens`` the leading
    tokens of the request's prompt that the target has cached. ``event_interval_s``
    is the time between two events of its streams, ``pace`` what all hosts have observed
    of it, None if that isn't known.
    """

    in_flight: int
    unread_tokens: Mapping[int, int]
    cached_tokens: int
    event_interval_s: float
    pace: PaceReport | None = None


def make_target_load_report(
    target: TargetState, parts: Sequence[PromptPart], now: float
) -> TargetLoadReport:
    """Return the load of a target as known to this host."""
    return TargetLoadReport(
        target.count_in_flight(now),
        target.count_unread_tokens(now),
        target.cache.count_cached(parts),
        target.event_interval_s,
        None if target.pace.record.is_empty else target.report_pace(now),
    )
