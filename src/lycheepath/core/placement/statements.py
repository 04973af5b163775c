"""Applies to the registry what targets state in the heads of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..catalog.catalog import StateChange
from .rate_limit import describe_rate

if TYPE_CHECKING:
    from ..serving.answers import AnswerHead
    from .registry import TargetRegistry


def record_rate_limit(
    registry: TargetRegistry,
    target_id: str,
    answer_head: AnswerHead,
    sent_at: float,
    now: float,
) -> bool:
    """
    Record the limit that an answer states, or that it states none.

    Returns whether the limit has changed. An answer that isn't signed may come from a
    fault of the target, so it ends no limit; neither does one whose limit can't be
    read.
    """
    target = registry.targets.get(target_id)
    rate = answer_head.rate_limit
    if target is None or answer_head.target_replaced:
        return False
    if rate is None and (not answer_head.signed or answer_head.rate_limit_unreadable):
        return False
    limit = target.availability.rate_limit
    before = describe_rate(limit.rate)
    if not limit.observe_answer(rate, sent_at, now):
        return False
    detail = f"{before} to {describe_rate(rate)}, by its own answer"
    registry.state_changes.append(StateChange("target-limit", target_id, detail))
    return True


def record_unreadable_headers(
    registry: TargetRegistry, target_id: str, answer_head: AnswerHead
) -> None:
    """Record the invalid headers of an answer; each is logged once for a target."""
    target = registry.targets.get(target_id)
    if target is None or answer_head.target_replaced:
        return
    known = target.availability.unreadable_headers
    for header in answer_head.unreadable_headers:
        if header not in known:
            known.add(header)
            registry.state_changes.append(
                StateChange("target-header-unread", target_id, header)
            )
