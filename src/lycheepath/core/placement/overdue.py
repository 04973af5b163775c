"""Finds targets from which nothing is heard for longer than their work takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .estimates import LOWEST_PRIORITY

if TYPE_CHECKING:
    from .registry import TargetRegistry, TargetState

# A target is overdue if nothing has been received from it for at least this long, in
# seconds, and for ``OVERDUE_FACTOR`` times the estimated duration of its work.
MIN_OVERDUE_S = 0.25
OVERDUE_FACTOR = 3.0


def is_overdue(registry: TargetRegistry, target: TargetState, now: float) -> bool:
    """Whether nothing was received from a target for longer than its work takes."""
    request = target.find_oldest_waiting()
    if request is None:
        return False
    waited = now - request.sent_at
    if waited < MIN_OVERDUE_S or now - target.last_contact_at < MIN_OVERDUE_S:
        return False
    speed = registry.speed(target.entry.service)
    slowdown = max(1.0, target.slowdown.find(now))
    if target.service is None or target.service.engine is None:
        return waited > OVERDUE_FACTOR * speed.service_s * slowdown
    tokens = max(
        request.tokens_ahead + request.unread_tokens,
        target.count_tokens_ahead(LOWEST_PRIORITY, now),
    )
    work_s = speed.estimate_read_s(tokens)
    if not request.slot_was_free:
        work_s += speed.occupancy_s
    return waited > OVERDUE_FACTOR * work_s * slowdown
