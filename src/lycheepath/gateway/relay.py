"""
Requests that go to a target of another region through a host there.

Targets take connections only from hosts of their own region. The first host
keeps the request and decides over it; the second one picks a target of its
region, sends it there once, and says what became of it. A relayed request is
never relayed again.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError
from ..core.addresses import Address
from ..core.placement.registry import AttemptOutcome
from ..core.reasons import Absent, Reason
from ..core.serving.attempts import AttemptResult
from ..core.serving.events import EventOrderError
from ..platform.headers import read_answer, read_request
from .exchange import Exchange
from .sending import (
    Sent,
    bound_first_silence,
    log_beliefs,
    note_head,
    pass_on,
    send_to_target,
)
from .silence import SilentTargetError

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..adapters.http1.upstream import Upstream
    from ..core.catalog.model import Route
    from ..core.fleet.view import HostRow
    from ..core.placement.model import Placement
    from .node import GatewayNode

SERVICE = b"lycheepath-service"
LEFT_MS = b"lycheepath-left-ms"
WAITED_MS = b"lycheepath-waited-ms"
LAST_EVENT = b"lycheepath-last-event"
COMMITTED = b"lycheepath-committed"
RESULT = b"lycheepath-result"
REASON = b"lycheepath-reason"
CLOSED = b"lycheepath-closed"
TARGET = b"lycheepath-target"
OWN_HEADERS = frozenset(
    {
        SERVICE,
        LEFT_MS,
        WAITED_MS,
        LAST_EVENT,
        COMMITTED,
        RESULT,
        REASON,
        CLOSED,
        TARGET,
    }
)

FAILED = AttemptResult.FAILED.value.encode()
MOST_RESULT_BYTES = 4096

# To a host of another region; six times the way there and back.
CONNECT_S = 1.0
# Below the limit that relaying hosts set on idle connections.
IDLE_S = 10.0
# A host that could not be reached is left out for this long.
AVOID_S = 2.0
# What one measured connection adds to the estimate of the way.
AWAY_STEP = 0.3


@dataclass(frozen=True, slots=True)
class RelayedWork:
    """What the first host says of a request that it relays."""

    service: str
    left_s: float
    waited_s: float
    last_event_id: int | None
    committed: bool


async def send_to_region(
    node: GatewayNode, exchange: Exchange, placed: Placement
) -> Sent:
    """Send a request to a host of the target's region; pass its answer on."""
    host = _pick_host(node, placed.target.region)
    if host is None:
        return Sent(
            AttemptResult.NOT_RUN,
            AttemptOutcome.NOT_RUN,
            "no host of the region is live",
        )
    address = Address(host.ip, node.settings.relay_port)
    started = node.now()
    try:
        upstream = await node.pool.take(address, CONNECT_S, started)
    except ConnectError as error:
        node.avoided[host.id] = node.now() + AVOID_S
        record_event("host-avoided", subject=host.id, reason=str(error), for_s=AVOID_S)
        return Sent(
            AttemptResult.NOT_RUN,
            AttemptOutcome.NOT_RUN,
            f"{host.id} not reached: {error}",
        )
    if upstream.exchanges == 0:
        _note_away(node, placed.target.region, node.now() - started)
    kept = False
    prompt = exchange.facts.prompt
    node.book.record_relay(
        exchange.number,
        placed.target,
        placed.priority or 0,
        prompt.tokens - placed.cached_tokens if prompt else 0,
        node.now(),
        placed.expected,
    )
    try:
        limit_s = bound_first_silence(exchange)
        sign = partial(node.peers.view.last_heartbeat_at, host.id)
        with node.silence.guard(exchange.number, limit_s, sign):
            status, headers = await upstream.request(
                exchange.request.method,
                exchange.request.target,
                _write_headers(node, exchange),
                exchange.request.body,
            )
        fields = dict(headers)
        if RESULT in fields and fields[RESULT] != FAILED:
            sent, kept = await _read_result(upstream, fields), True
            if sent.closed:
                node.note_closed(exchange.service, placed.target.region)
        else:
            answered = [h for h in headers if h[0] not in OWN_HEADERS]
            facts = read_answer(status, answered)
            target_id = fields.get(TARGET, b"").decode("latin-1")
            note_head(node, target_id, facts)
            reader = node.book.targets.get(target_id)
            if reader is not None and prompt and facts.succeeded:
                node.book.record_prompt_parts(reader, prompt.parts)
            sent, kept = await pass_on(node, exchange, upstream, facts, sign)
        return sent
    except (BrokenAnswerError, EventOrderError, SilentTargetError) as error:
        return Sent(
            AttemptResult.LOST, AttemptOutcome.UNDETERMINED, f"{host.id}: {error}"
        )
    finally:
        node.book.record_end(exchange.number, AttemptOutcome.UNDETERMINED, node.now())
        log_beliefs(node)
        if kept:
            node.pool.give_back(upstream, IDLE_S, node.now())
        else:
            upstream.close()


def is_own_call(request: ReceivedRequest) -> bool:
    """Whether a request of another host is its own, not one that it relays."""
    return SERVICE not in dict(request.headers)


async def serve_relayed(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Serve a request that another host relays: send it once, here."""
    node.requests += 1
    caller.closing = caller.closing or node.leaving
    work = _read_work(request)
    facts = read_request(tuple(h for h in request.headers if h[0] not in OWN_HEADERS))
    table = node.catalog.routes
    route = table and table.match(facts.host, request.target.decode("latin-1"))
    if work is None or not route:
        await _answer_result(
            caller, AttemptResult.NOT_RUN, "this host has no such route"
        )
        return
    refusal = _check_home(node, route)
    if refusal:
        await _answer_result(caller, AttemptResult.NOT_RUN, refusal)
        return
    deadline = request.received_at + work.left_s
    exchange = Exchange(
        caller, request, facts, route, work.service, deadline, node.next_number()
    )
    exchange.waited_s = work.waited_s
    exchange.cutter.last_id = work.last_event_id
    exchange.committed = work.committed
    node.serving += 1
    try:
        with trio.CancelScope(deadline=deadline) as scope:
            await _send_here(node, exchange)
        if scope.cancelled_caught:
            caller.break_off()
    finally:
        node.serving -= 1


async def _send_here(node: GatewayNode, exchange: Exchange) -> None:
    around = replace(node.surroundings(), remote_rtt_s={})
    placed = await node.place(exchange, around)
    if isinstance(placed, Absent):
        closed = placed.reason is Reason.NO_TARGET
        await _answer_result(
            exchange.caller, AttemptResult.NOT_RUN, placed.detail, closed
        )
        return
    exchange.added = ((TARGET, placed.target.entry.id.encode()),)
    sent = await send_to_target(node, exchange, placed)
    record_event(
        "relayed",
        request=exchange.facts.id,
        target=placed.target.entry.id,
        result=sent.result.value,
        reason=sent.reason,
        expected_s=round(placed.first_event_s, 4),
    )
    if sent.result is AttemptResult.ANSWERED:
        return
    if exchange.begun:
        exchange.caller.break_off()
        return
    held = exchange.held
    if sent.result is AttemptResult.FAILED and held is not None:
        named = [*held.headers, (RESULT, sent.result.value.encode())]
        await exchange.caller.answer(held.status, named, held.body)
        return
    await _answer_result(exchange.caller, sent.result, sent.reason)


def _check_home(node: GatewayNode, route: Route) -> str:
    """Return why a request may not be served here, or nothing."""
    homes = route.home_regions
    if homes and node.settings.region not in homes:
        return f"{node.settings.region} is no home of the route"
    return ""


async def _answer_result(
    caller: CallerConnection, result: AttemptResult, reason: str, closed: bool = False
) -> None:
    headers = [
        (RESULT, result.value.encode()),
        (REASON, reason.encode("ascii", "replace")),
    ]
    if closed:
        headers.append((CLOSED, b"1"))
    await caller.answer(503, headers, b"")


def _write_headers(node: GatewayNode, exchange: Exchange) -> list[tuple[bytes, bytes]]:
    now = node.now()
    waited_s = now - exchange.received_at
    headers = [h for h in exchange.facts.headers if h[0] not in OWN_HEADERS]
    headers += [
        (SERVICE, exchange.service.encode()),
        (LEFT_MS, b"%d" % int((exchange.deadline - now) * 1000)),
        (WAITED_MS, b"%d" % int(waited_s * 1000)),
    ]
    if exchange.cutter.last_id is not None:
        headers.append((LAST_EVENT, b"%d" % exchange.cutter.last_id))
    if exchange.tries.sends:
        headers.append((COMMITTED, b"1"))
    if exchange.request.body:
        headers.append((b"content-length", b"%d" % len(exchange.request.body)))
    return headers


def _read_work(request: ReceivedRequest) -> RelayedWork | None:
    fields = dict(request.headers)
    try:
        last = fields.get(LAST_EVENT)
        return RelayedWork(
            fields[SERVICE].decode(),
            int(fields[LEFT_MS]) / 1000.0,
            int(fields[WAITED_MS]) / 1000.0,
            None if last is None else int(last),
            COMMITTED in fields,
        )
    except (KeyError, ValueError):
        return None


async def _read_result(upstream: Upstream, fields: dict[bytes, bytes]) -> Sent:
    """Return what the other host says of a request that got no answer there."""
    await upstream.read_whole(MOST_RESULT_BYTES)
    reason = fields.get(REASON, b"").decode("latin-1")
    result = AttemptResult(fields[RESULT].decode())
    return Sent(result, AttemptOutcome.UNDETERMINED, reason, CLOSED in fields)


def _pick_host(node: GatewayNode, region: str) -> HostRow | None:
    now = node.now()
    view = node.peers.view
    serving, leaving = (
        [row for row in rows if node.avoided.get(row.id, 0.0) <= now]
        for rows in (view.ready_hosts(now, region), view.draining_hosts(now, region))
    )
    if serving:
        return node.random.choice(serving)
    return leaving[0] if leaving else None


def _note_away(node: GatewayNode, region: str, took_s: float) -> None:
    held = node.away_s.get(region, took_s)
    node.away_s[region] = held + AWAY_STEP * (took_s - held)
