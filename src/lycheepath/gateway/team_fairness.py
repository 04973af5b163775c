"""
Holds requests back for fairness between teams, and records what became of the others.

Only the host that received a request from its caller does so. Nothing is done for
requests that belong to no team.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.reasons import Absent
from ..core.teams.fairness import TeamRequest

if TYPE_CHECKING:
    from ..core.teams.fairness import TeamFairness
    from .attempts import Attempt
    from .exchange import Exchange


def hold_back(fairness: TeamFairness, exchange: Exchange, now: float) -> Absent | None:
    """
    Hold a request back if its team has had its share; return why it must be refused.

    Where requests wait at targets, it is left the room that others don't need instead.
    The rest of a stream whose beginning the fleet knows isn't held back: the work for
    its first part would be lost.
    """
    request = _describe(exchange)
    if request is None:
        return None
    exchange.held_back = fairness.admit(request, now)
    return None if fairness.has_spare_room(request.service, now) else exchange.held_back


def record_place(fairness: TeamFairness, exchange: Exchange, now: float) -> None:
    """Record that a request was placed; only its first place counts."""
    request = _describe(exchange)
    if request is not None and exchange.placed_at is None:
        exchange.placed_at = now
        fairness.record_placed(request, now)


def record_ending(
    fairness: TeamFairness,
    exchange: Exchange,
    ending: Attempt | Absent | None,
    now: float,
) -> Attempt | Absent | None:
    """
    Record a request that has not run, if that was for want of room.

    Returns how the request ended; why it was held back if it found no spare room.
    """
    if not isinstance(ending, Absent) or exchange.attempts.may_have_run:
        return ending
    if exchange.held_back is not None and exchange.placed_at is None:
        return exchange.held_back
    request = _describe(exchange)
    if request is None:
        return ending
    if exchange.held_back is not None and exchange.placed_at is not None:
        fairness.record_spare_place_lost(request, now, exchange.placed_at)
        return ending
    fairness.record_refused(request, ending.reason, now, exchange.placed_at)
    return ending


def _describe(exchange: Exchange) -> TeamRequest | None:
    team = exchange.team
    if team is None or exchange.relayed:
        return None
    tokens = exchange.tokens
    return TeamRequest(
        _name_pool(exchange),
        team,
        None if tokens is None else float(tokens),
        exchange.route.urgency,
        continues=bool(exchange.version),
    )


def _name_pool(exchange: Exchange) -> str:
    """
    Return a name for what a request competes for: a service's room within an aim.

    A full region must not hold back teams that others serve, and requests whose aim only
    idle targets meet must not hold back those that can wait: their losses would
    end only when the targets are idle.
    """
    route = exchange.route
    return " ".join((exchange.service, f"{route.aim_s:g}", *sorted(route.home_regions)))
