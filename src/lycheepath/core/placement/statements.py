"""Applies to the registry what targets state in the heads of their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..catalog.catalog import StateChange
from .brittleness import describe_limit
from .rate_limit import MAX_AGE_S, LimitStatement, describe_rate

if TYPE_CHECKING:
    from ..catalog.model import Instance
    from ..serving.answers import AnswerHead
    from .registry import TargetRegistry, TargetState


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


def record_work_time(
    registry: TargetRegistry, target_id: str, answer_head: AnswerHead
) -> None:
    """
    Use the learned pace of a service's targets once one of them states its work time.

    The figure itself isn't used: it changes many times a second, so it is out of date
    when the next request is placed, and what targets state may be wrong.
    """
    target = registry.targets.get(target_id)
    load = answer_head.load
    if target is None or load is None or answer_head.target_replaced:
        return
    if load.work_time_percent is not None and answer_head.signed:
        registry.paces.turn_on(target.entry.service)


def record_turn_away_limit(
    registry: TargetRegistry,
    target_id: str,
    answer_head: AnswerHead,
    sent_at: float,
    now: float,
) -> bool:
    """
    Record whether an answer states that its target is brittle.

    Returns whether that is news of its service. As with a limit, an answer that isn't
    signed or can't be read ends nothing.
    """
    target = registry.targets.get(target_id)
    limit = answer_head.turn_away_limit
    if target is None or answer_head.target_replaced:
        return False
    if limit is None and (
        not answer_head.signed or answer_head.turn_away_limit_unreadable
    ):
        return False
    own = target.availability.brittleness
    before = describe_limit(own.limit)
    if own.observe_answer(limit, sent_at, now):
        detail = f"{before} to {describe_limit(limit)}, by its own answer"
        registry.state_changes.append(StateChange("target-brittle", target_id, detail))
    if limit is None:
        return False
    return registry.brittle_services.observe(
        target.entry.service, target.region, limit, now
    )


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


def make_limit_statement(target: TargetState, now: float) -> LimitStatement:
    """Return what this host knows of a target's limit, for its peers."""
    limit = target.availability.rate_limit
    age_s = min(MAX_AGE_S, max(0.0, now - limit.observed_at))
    return LimitStatement(target.entry.id, target.entry.born_ms, limit.rate, age_s)


def find_instance(
    registry: TargetRegistry, name: str, born_ms: int
) -> TargetState | None:
    """Return a target, None if another instance of it is known; 0 is no known start."""
    target = registry.targets.get(name)
    if target is None:
        return None
    known_ms = target.entry.born_ms
    same = not (known_ms and born_ms) or known_ms == born_ms
    return target if same else None


def apply_limit_statement(
    registry: TargetRegistry, statement: LimitStatement, host: str, now: float
) -> bool:
    """
    Apply a peer's statement of a limit if it is newer than this host's observation.

    Returns whether it contradicts what this host itself knows to be newer.
    """
    target = find_instance(registry, statement.target, statement.born_ms)
    if target is None:
        return False
    limit = target.availability.rate_limit
    before = limit.rate
    if limit.apply_report(statement.rate, now - statement.age_s):
        detail = f"{describe_rate(before)} to {describe_rate(limit.rate)}, by {host}"
        registry.state_changes.append(
            StateChange("target-limit", statement.target, detail)
        )
    return limit.rate != statement.rate


def list_leaving(
    registry: TargetRegistry, service: str, region: str
) -> tuple[Instance, ...]:
    """Return the targets that announced in answers that they are draining."""
    targets = registry.list_region_targets(service, region)
    return tuple(t.entry.instance for t in targets if t.availability.leaving)


def apply_leaving(registry: TargetRegistry, instance: Instance) -> None:
    """Apply what a target announced in an answer that a peer has passed on."""
    target = find_instance(registry, instance.target, instance.born_ms)
    if target is not None and target.availability.apply_leaving():
        registry.state_changes.append(
            StateChange("target-leaving", instance.target, "by a peer's word")
        )


def count_limited(registry: TargetRegistry) -> int:
    """Return the number of targets that limit their request rate."""
    targets = registry.targets.values()
    return sum(target.availability.rate_limit.rate is not None for target in targets)


def count_brittle(registry: TargetRegistry) -> int:
    """Return the number of targets that state that they are brittle."""
    targets = registry.targets.values()
    return sum(target.availability.brittleness.limit is not None for target in targets)
