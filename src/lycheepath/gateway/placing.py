"""
Makes attempts to serve a request until one answers.

A request is placed again after an attempt that failed, and beside attempts that are
silent. The first attempt that has something for the caller goes on alone.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..core.placement.silence import SOUND_SILENCE_S, find_heard_s_ago
from ..core.reasons import Absent
from ..core.serving.attempts import AttemptResult, may_start_another
from .attempts import Attempt, AttemptRace, make_attempt
from .relay import has_other_host, send_to_region
from .sending import record_placed, send_to_target
from .team_fairness import record_place

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..core.placement.model import Placement
    from .attempts import SendOutcome
    from .exchange import Exchange, FailedAnswer
    from .node import GatewayNode

# Statuses from which callers conclude that the request has not run. A target that
# sends only such a status hasn't guaranteed this, so they are not forwarded.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Interval at which another place is looked for while all attempts are silent.
PLACE_AGAIN_S = 0.25
# Why no other attempt is made.
NO_ATTEMPT = "the route allows no other attempt"
NO_DELIVERY = "the caller may not read another answer in time either"
NO_RETRY = "the retry budget is used up"
# The reason of an attempt that was silent until another one answered.
REPLACED_REASON = "another attempt has answered"
# Largest number of parts of a prompt that are named in a log line.
MAX_LOGGED_PARTS = 8


async def answer_by_attempts(
    node: GatewayNode, exchange: Exchange
) -> Attempt | Absent | None:
    """
    Make attempts until one answers; return that one, or why no other can be made.

    None means that the route or the retry budget allows no other.
    """
    ending: Attempt | Absent | None = None
    fault: Exception | None = None
    async with trio.open_nursery() as nursery:
        race = AttemptRace(node, exchange, nursery, _send)
        try:
            ending = await _run_race(node, exchange, race)
        except Exception as error:
            # A nursery would raise it within a group.
            fault = error
        nursery.cancel_scope.cancel()
    if fault is not None:
        raise fault
    return ending


def find_failure(exchange: Exchange) -> FailedAnswer | None:
    """Return a target's failure that can be passed on, or None."""
    failure = exchange.failed_answer
    if failure is None or failure.status in NOT_RUN_STATUSES:
        return None
    return failure


async def _run_race(
    node: GatewayNode, exchange: Exchange, race: AttemptRace
) -> Attempt | Absent | None:
    while True:
        if race.needs_another:
            absent = None
            with race.interrupt_at_change():
                absent = await _start_another(node, exchange, race)
            if race.is_over or _has_better_end(exchange, race):
                return absent
        if not race.ended:
            await race.wait(PLACE_AGAIN_S if race.needs_another else math.inf)
        for attempt in race.take_ended():
            if attempt.error is not None:
                raise attempt.error
            if attempt.outcome.result is AttemptResult.ANSWERED:
                return attempt
            _log_send_failure(node, attempt)
            if not attempt.replaced:
                exchange.reason = attempt.outcome.reason
                _exclude(node, attempt)


def _has_better_end(exchange: Exchange, race: AttemptRace) -> bool:
    """
    Whether a target's failure is a better end than to wait for silent attempts.

    Sound targets aren't silent for longer than these have been.
    """
    if exchange.answer_begun or race.ended or not find_failure(exchange):
        return False
    return race.find_silent_s() > SOUND_SILENCE_S


async def _start_another(
    node: GatewayNode, exchange: Exchange, race: AttemptRace
) -> Absent | None:
    """
    Place a request beside the attempts that are silent; return why it can't be.

    Nothing is started if one of them goes on or ends meanwhile.
    """
    exchange.no_place = ""
    is_repeat = exchange.attempts.started > 0
    if is_repeat and not _may_repeat(node, exchange):
        return None
    for attempt in race.running:
        _exclude(node, attempt)
    await _wait_for_targets(node, exchange)
    await node.links.await_evidence(exchange.features)
    blocked = node.containment.find_refusal(exchange)
    if blocked is not None:
        if not race.running:
            exchange.reason = blocked.detail
        return blocked
    placed = await node.place(exchange, node.build_request_context(exchange))
    if isinstance(placed, Absent):
        exchange.no_place = placed.detail
        if race.running:
            return placed
        return node.permits.spread_returns(exchange.service, placed)
    if not race.needs_another:
        return None
    if is_repeat and not node.retries.take(
        exchange.service, node.count_hosts(), node.now()
    ):
        exchange.no_place = NO_RETRY
        return None
    record_place(node.fairness, exchange, node.now())
    _log_placed(node, exchange, placed)
    attempt = make_attempt(node, exchange, placed)
    if not placed.is_remote:
        record_placed(node, attempt)
    race.start(attempt)
    return None


def _may_repeat(node: GatewayNode, exchange: Exchange) -> bool:
    """Whether the route and the retry budget allow another attempt."""
    if exchange.undeliverable:
        exchange.no_place = NO_DELIVERY
        return False
    if not may_start_another(exchange.route, exchange.attempts):
        exchange.no_place = NO_ATTEMPT
        return False
    if not node.retries.may_take(exchange.service, node.count_hosts(), node.now()):
        exchange.no_place = NO_RETRY
        return False
    return True


async def _wait_for_targets(node: GatewayNode, exchange: Exchange) -> None:
    """Hold a request after the start of this host until a target is known."""
    homes = exchange.route.home_regions
    if node.registry.has_targets(exchange.service, homes):
        return
    with trio.move_on_after(node.find_hold_s(exchange.deadline - node.now())):
        while not node.registry.has_targets(exchange.service, homes):
            await node.catalog_changed.wait()


def _exclude(node: GatewayNode, attempt: Attempt) -> None:
    """Exclude from a request's places what an attempt failed at, or is silent at."""
    exchange, outcome = attempt.exchange, attempt.outcome
    previous = exchange.previous_attempts
    if attempt.placed.is_remote:
        region = attempt.placed.target.region
        is_peer = region == node.settings.region
        if outcome.unreachable or (is_peer and not attempt.target):
            # Another host of that region may reach its targets.
            return
        # A host that sent the request to no target has found none in its region.
        found = is_peer or outcome.result is not AttemptResult.NOT_RUN
        if found and attempt.target:
            # The host that names the target can send the request to another one.
            exchange.tried_hosts.discard(attempt.host)
        if not (is_peer or (found and has_other_host(node, exchange, region))):
            exchange.previous_attempts = replace(
                previous, regions=previous.regions | {region}
            )
            return
        if not attempt.target:
            return
    if outcome.result is AttemptResult.FAILED:
        failed = previous.failed | {attempt.target}
        exchange.previous_attempts = replace(previous, failed=failed)
        return
    targets = previous.targets | {attempt.target}
    exchange.previous_attempts = replace(previous, targets=targets)


async def _send(
    node: GatewayNode, attempt: Attempt, on_silence: Callable[[], None]
) -> SendOutcome:
    target = attempt.placed.target
    if not attempt.placed.is_remote:
        return await send_to_target(node, attempt, on_silence)
    if target.region == node.settings.region:
        node.metrics.count("relays_to_peers_total")
    return await send_to_region(node, attempt, on_silence)


def _log_placed(node: GatewayNode, exchange: Exchange, placed: Placement) -> None:
    target = placed.target
    record_event(
        "placed",
        request=exchange.request_head.id,
        route=exchange.route.name,
        team=exchange.team_name,
        target=target.entry.id,
        away=target.region if target.region != node.settings.region else "",
        by_peer=placed.is_remote and target.region == node.settings.region,
        expected_s=round(placed.first_event_s, 4),
        cached_tokens=placed.cached_tokens,
        parts=exchange.shared_parts[:MAX_LOGGED_PARTS],
        target_version=target.entry.version,
        version_bound=exchange.version,
        last_event=exchange.cutter.last_id,
        in_flight=target.count_in_flight(node.now()),
        rate_limit=target.availability.rate_limit.rate,
        attempt=exchange.attempts.started + 1,
        left_s=round(exchange.deadline - node.now(), 3),
        version=node.catalog.version,
        revision=node.catalog.revision,
        catalog_age_s=round(node.store.catalog_status(node.now()).age_s, 3),
        **_describe_pace(placed),
    )


def _describe_pace(placed: Placement) -> dict[str, float]:
    """Return what is logged of a target's pace, nothing if it isn't used."""
    if placed.pace is None:
        return {}
    return {
        "event_interval_s": round(placed.event_interval_s, 4),
        "pause_s": round(placed.pace.pause_s, 4),
        "target_pace": round(placed.pace.factor, 3),
    }


def _log_send_failure(node: GatewayNode, attempt: Attempt) -> None:
    exchange, outcome = attempt.exchange, attempt.outcome
    node.metrics.count("sends_failed_total", result=outcome.result.value)
    record_event(
        "send-failed",
        request=exchange.request_head.id,
        target=attempt.placed.target.entry.id,
        result=outcome.result.value,
        reason=REPLACED_REASON if attempt.replaced else outcome.reason,
        events=attempt.cutter.event_count,
        target_heard_s_ago=find_heard_s_ago(attempt.placed.target, node.now()),
        revision=node.catalog.revision,
    )
