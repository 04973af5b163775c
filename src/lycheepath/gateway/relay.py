"""
Relays requests to a target through another host of the target's region.

Targets accept connections only from hosts of their own region, and a host that is cut off
from the targets of its own region relays to a peer that reaches them. The first host stays
responsible for the request and its retries; the second one chooses a target of its
region, makes one attempt there, and reports the result. A relayed request is never
relayed again.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING
from urllib.parse import quote, unquote

from ..adapters.events import record_event
from ..adapters.http1.downstream import CallerGoneError
from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError
from ..core.addresses import Address
from ..core.catalog.model import Instance
from ..core.placement.outcomes import AttemptOutcome
from ..core.placement.statements import apply_leaving, list_leaving
from ..core.reasons import Absent, Reason
from ..core.serving.attempts import AttemptResult
from ..core.serving.events import EventOrderError
from ..platform.headers import find_request_id, read_answer, read_request
from .attempts import SendOutcome, make_attempt, watch_silence
from .exchange import Exchange
from .forwarding import WrongVersionError, find_head_timeout_s, forward_answer
from .sending import (
    abandon,
    log_target_changes,
    record_answer_head,
    send_to_target,
)
from .telemetry import (
    END_REASON,
    FAULT_REASON,
    TIMEOUT_REASON,
    record_request_fault,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..adapters.http1.upstream import Upstream
    from ..core.catalog.model import Route
    from ..core.fleet.view import HostRow
    from ..core.placement.model import PlacementContext
    from ..core.placement.registry import TargetState
    from .attempts import Attempt
    from .node import GatewayNode

SERVICE_HEADER = b"lycheepath-service"
LEFT_MS_HEADER = b"lycheepath-left-ms"
WAITED_MS_HEADER = b"lycheepath-waited-ms"
LAST_EVENT_HEADER = b"lycheepath-last-event"
COMMITTED_HEADER = b"lycheepath-committed"
TRIAL_HEADER = b"lycheepath-trial"
# In a request: the targets that told the first host that they are draining.
LEAVING_HEADER = b"lycheepath-leaving"
# In a request the version at which a stream has to go on, in an answer the target's.
VERSION_HEADER = b"lycheepath-version"
RESULT_HEADER = b"lycheepath-result"
REASON_HEADER = b"lycheepath-reason"
CLOSED_HEADER = b"lycheepath-closed"
TARGET_HEADER = b"lycheepath-target"
# In a result: the host can't reach the targets itself.
UNREACHABLE_HEADER = b"lycheepath-out-of-reach"
RELAY_HEADERS = frozenset(
    {
        SERVICE_HEADER,
        LEFT_MS_HEADER,
        WAITED_MS_HEADER,
        LAST_EVENT_HEADER,
        COMMITTED_HEADER,
        TRIAL_HEADER,
        LEAVING_HEADER,
        VERSION_HEADER,
        RESULT_HEADER,
        REASON_HEADER,
        CLOSED_HEADER,
        TARGET_HEADER,
        UNREACHABLE_HEADER,
    }
)

FAILED_RESULT = AttemptResult.FAILED.value.encode()
MAX_RESULT_BYTES = 4096
# Largest number of draining targets that are named with a request.
MAX_LEAVING = 32

# Time within which the result of a request whose time is over has to be sent.
RESULT_TIMEOUT_S = 1.0
# Timeout for connecting to a host of another region; six times the round-trip time.
CONNECT_TIMEOUT_S = 1.0
# Idle time of connections to other hosts; below the limit that those hosts set
# (``HOST_IDLE_TIMEOUT_S``).
IDLE_TIMEOUT_S = 10.0
# Time for which a host that could not be reached isn't chosen again.
AVOID_HOST_S = 2.0
# Weight of one measured connection in the mean round-trip time to a region.
RTT_STEP = 0.3


@dataclass(frozen=True, slots=True)
class RelayMetadata:
    """What the first host states about a request that it relays."""

    service: str
    left_s: float
    waited_s: float
    last_event_id: int | None
    committed: bool
    on_trial: bool
    version: str | None
    leaving: tuple[Instance, ...]


async def send_to_region(
    node: GatewayNode, attempt: Attempt, on_silence: Callable[[], None]
) -> SendOutcome:
    """
    Send a request to another host of the target's region; forward its answer.

    ``on_silence`` is called when the host is silent for too long, and when it goes on.
    """
    exchange, placed = attempt.exchange, attempt.placed
    connected = await _connect_host(node, exchange, placed.target.region)
    if isinstance(connected, str):
        return SendOutcome(AttemptResult.NOT_RUN, AttemptOutcome.NOT_RUN, connected)
    host, upstream = connected
    reusable = False
    prompt = exchange.request_head.prompt
    node.registry.record_relay(
        attempt.number,
        placed.target,
        placed.priority or 0,
        prompt.tokens - placed.cached_tokens if prompt else 0,
        node.now(),
        placed.expected,
    )
    sent_at = node.now()
    try:
        last_activity = partial(node.peers.view.last_heartbeat_at, host.id)
        watch = watch_silence(node, attempt, last_activity, on_silence)
        with watch(find_head_timeout_s(exchange)):
            status, headers = await upstream.request(
                exchange.request.method,
                exchange.request.target,
                _write_headers(node, attempt),
                exchange.request.body,
            )
        fields = dict(headers)
        if RESULT_HEADER in fields and fields[RESULT_HEADER] != FAILED_RESULT:
            outcome, reusable = await _read_result(upstream, fields), True
            if outcome.unreachable:
                _avoid_host(node, host, outcome.reason)
            elif outcome.closed:
                node.record_region_closed(exchange.service, placed.target.region)
        else:
            end_to_end = [h for h in headers if h[0] not in RELAY_HEADERS]
            answer_head = read_answer(status, end_to_end)
            target_id = fields.get(TARGET_HEADER, b"").decode("latin-1")
            record_answer_head(node, target_id, answer_head, sent_at)
            answering = node.registry.targets.get(target_id)
            if placed.target.region == node.settings.region:
                node.links.record_peer_answer(target_id)
            _record_version(attempt, target_id, answering, fields)
            if answering is not None and prompt and answer_head.succeeded:
                node.registry.record_prompt_parts(answering, prompt.parts)
            outcome, reusable = await forward_answer(
                node, attempt, upstream, answer_head, watch
            )
            if outcome.result is AttemptResult.ANSWERED:
                node.registry.record_relayed_answer(attempt.number, node.now())
        return outcome
    except (BrokenAnswerError, EventOrderError, WrongVersionError) as error:
        return SendOutcome(
            AttemptResult.LOST, AttemptOutcome.UNDETERMINED, f"{host.id}: {error}"
        )
    finally:
        node.registry.record_end(
            attempt.number, AttemptOutcome.UNDETERMINED, node.now()
        )
        log_target_changes(node)
        if reusable:
            node.pool.release(upstream, IDLE_TIMEOUT_S, node.now())
        else:
            abandon(node, exchange, upstream)


async def _connect_host(
    node: GatewayNode, exchange: Exchange, region: str
) -> tuple[HostRow, Upstream] | str:
    """Return a host of a region and a connection to it, or why there is none."""
    host = _pick_host(node, region, exchange.tried_hosts)
    if host is None:
        return "no host of the region is live"
    exchange.tried_hosts.add(host.id)
    address = Address(host.ip, node.settings.relay_port)
    started = node.now()
    try:
        upstream = await node.pool.acquire(address, CONNECT_TIMEOUT_S, started)
    except ConnectError as error:
        _avoid_host(node, host, str(error))
        return f"{host.id} not reached: {error}"
    if upstream.exchanges == 0:
        _record_rtt(node, region, node.now() - started)
    return host, upstream


def _record_version(
    attempt: Attempt,
    target_id: str,
    target: TargetState | None,
    fields: dict[bytes, bytes],
) -> None:
    """Record the version of the target that answers through the other host."""
    attempt.target = target_id
    attempt.version = fields.get(VERSION_HEADER, b"").decode("latin-1")
    if not attempt.version and target is not None:
        # Hosts of earlier versions name only the target.
        attempt.version = target.entry.version


def is_host_call(request: ReceivedRequest) -> bool:
    """Whether a request was made by the other host itself rather than relayed."""
    return SERVICE_HEADER not in dict(request.headers)


async def serve_relayed(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Serve a request that another host relays, with one attempt in this region."""
    caller.close_after_answer = caller.close_after_answer or node.shutting_down
    try:
        exchange = _open_relayed(node, caller, request)
    except Exception:
        record_request_fault(node, find_request_id(request.headers))
        exchange = FAULT_REASON
    if isinstance(exchange, str):
        await _answer_result(caller, AttemptResult.NOT_RUN, exchange)
        return
    with node.count_request():
        try:
            with node.limit_request(exchange.deadline) as scope:
                await _send_locally(node, exchange)
            if scope.cancelled_caught:
                reason = END_REASON if node.ending else TIMEOUT_REASON
                await _answer_lost(caller, reason)
        except CallerGoneError:
            raise
        except Exception:
            record_request_fault(node, find_request_id(request.headers))
            await _answer_lost(caller, FAULT_REASON)


def _open_relayed(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> Exchange | str:
    """Return the exchange of a relayed request, or why it isn't served."""
    metadata = _read_metadata(request)
    request_head = read_request(
        tuple(h for h in request.headers if h[0] not in RELAY_HEADERS)
    )
    table = node.catalog.routes
    route = table and table.match(request_head.host, request.target.decode("latin-1"))
    if metadata is None or not route:
        return "this host has no such route"
    for instance in metadata.leaving:
        apply_leaving(node.registry, instance)
    log_target_changes(node)
    refusal = _check_home(node, route)
    if refusal:
        return refusal
    exchange = Exchange(
        caller,
        request,
        request_head,
        route,
        metadata.service,
        request.received_at + metadata.left_s,
        node.next_number(),
    )
    exchange.waited_s = metadata.waited_s
    exchange.cutter.last_id = metadata.last_event_id
    exchange.committed = metadata.committed
    exchange.on_trial = metadata.on_trial
    exchange.version = metadata.version
    exchange.relayed = True
    return exchange


async def _answer_lost(caller: CallerConnection, reason: str) -> None:
    """Tell the other host that a request may have run, unless an answer has begun."""
    if caller.answer_started:
        caller.abort_answer()
        return
    with caller.abort_after(RESULT_TIMEOUT_S):
        await _answer_result(caller, AttemptResult.LOST, reason)


async def _send_locally(node: GatewayNode, exchange: Exchange) -> None:
    await node.links.await_evidence(exchange.features)
    blocked = node.containment.find_refusal(exchange)
    if blocked is not None:
        await _answer_result(exchange.caller, AttemptResult.NOT_RUN, blocked.detail)
        return
    context = replace(node.build_context(), remote_rtt_s={}, peer_rtt_s=None)
    placed = await node.place(exchange, context)
    if isinstance(placed, Absent):
        # Without a target of one version, others may still be open.
        closed = exchange.version is None and placed.reason in (
            Reason.NO_TARGET,
            Reason.RATE_LIMITED,
        )
        unreachable = closed and _lacks_links(node, exchange, context)
        await _answer_result(
            exchange.caller, AttemptResult.NOT_RUN, placed.detail, closed, unreachable
        )
        return
    entry = placed.target.entry
    attempt = make_attempt(node, exchange, placed)
    attempt.extra_headers = (
        (TARGET_HEADER, entry.id.encode()),
        (VERSION_HEADER, entry.version.encode("latin-1", "replace")),
    )
    exchange.attempts.start()
    # The first host decides what is done about a silent target.
    outcome = await send_to_target(node, attempt, lambda: None)
    record_event(
        "relayed",
        request=exchange.request_head.id,
        target=placed.target.entry.id,
        result=outcome.result.value,
        reason=outcome.reason,
        expected_s=round(placed.first_event_s, 4),
    )
    if outcome.result is AttemptResult.ANSWERED:
        return
    if exchange.answer_started:
        exchange.caller.abort_answer()
        return
    failure = exchange.failed_answer
    if outcome.result is AttemptResult.FAILED and failure is not None:
        answer_headers = [
            *failure.headers,
            (RESULT_HEADER, outcome.result.value.encode()),
        ]
        await exchange.caller.answer(failure.status, answer_headers, failure.body)
        return
    await _answer_result(exchange.caller, outcome.result, outcome.reason)


def _check_home(node: GatewayNode, route: Route) -> str:
    """Return why a request may not be served in this region, or an empty text."""
    homes = route.home_regions
    if homes and node.settings.region not in homes:
        return f"{node.settings.region} is no home of the route"
    return ""


async def _answer_result(
    caller: CallerConnection,
    result: AttemptResult,
    reason: str,
    closed: bool = False,
    unreachable: bool = False,
) -> None:
    headers = [
        (RESULT_HEADER, result.value.encode()),
        (REASON_HEADER, reason.encode("ascii", "replace")),
    ]
    if unreachable:
        headers.append((UNREACHABLE_HEADER, b"1"))
    elif closed:
        headers.append((CLOSED_HEADER, b"1"))
    await caller.answer(503, headers, b"")


def _write_headers(node: GatewayNode, attempt: Attempt) -> list[tuple[bytes, bytes]]:
    exchange, region = attempt.exchange, attempt.placed.target.region
    now = node.now()
    waited_s = now - exchange.received_at
    headers = [h for h in exchange.request_head.headers if h[0] not in RELAY_HEADERS]
    headers += [
        (SERVICE_HEADER, exchange.service.encode()),
        (LEFT_MS_HEADER, b"%d" % int((exchange.deadline - now) * 1000)),
        (WAITED_MS_HEADER, b"%d" % int(waited_s * 1000)),
    ]
    if attempt.cutter.last_id is not None:
        headers.append((LAST_EVENT_HEADER, b"%d" % attempt.cutter.last_id))
    if exchange.attempts.started > 1:
        headers.append((COMMITTED_HEADER, b"1"))
    if exchange.on_trial:
        headers.append((TRIAL_HEADER, b"1"))
    leaving = list_leaving(node.registry, exchange.service, region)
    if leaving:
        headers.append((LEAVING_HEADER, _write_instances(leaving[:MAX_LEAVING])))
    version = node.versions.find_bound_version(exchange)
    if version is not None:
        headers.append((VERSION_HEADER, version.encode("latin-1")))
    if exchange.request.body:
        headers.append((b"content-length", b"%d" % len(exchange.request.body)))
    return headers


def _read_metadata(request: ReceivedRequest) -> RelayMetadata | None:
    fields = dict(request.headers)
    try:
        last = fields.get(LAST_EVENT_HEADER)
        version = fields.get(VERSION_HEADER)
        return RelayMetadata(
            fields[SERVICE_HEADER].decode(),
            int(fields[LEFT_MS_HEADER]) / 1000.0,
            int(fields[WAITED_MS_HEADER]) / 1000.0,
            None if last is None else int(last),
            COMMITTED_HEADER in fields,
            TRIAL_HEADER in fields,
            None if version is None else version.decode("latin-1"),
            _read_instances(fields.get(LEAVING_HEADER, b"")),
        )
    except (KeyError, ValueError):
        return None


def _write_instances(instances: tuple[Instance, ...]) -> bytes:
    """Return a list like ``i-7f:1790000000000,i-2b:0``, whose ids are quoted."""
    parts = (
        f"{quote(each.target, '', errors='replace')}:{each.born_ms}"
        for each in instances
    )
    return ",".join(parts).encode()


def _read_instances(text: bytes) -> tuple[Instance, ...]:
    """Decode a list of instances; raises ValueError."""
    parts = [part.rpartition(":") for part in text.decode("ascii").split(",") if part]
    return tuple(Instance(unquote(name), int(born_ms)) for name, _, born_ms in parts)


async def _read_result(upstream: Upstream, fields: dict[bytes, bytes]) -> SendOutcome:
    """Return the result that the other host reports for an unanswered request."""
    await upstream.read_all(MAX_RESULT_BYTES)
    reason = fields.get(REASON_HEADER, b"").decode("latin-1")
    result = AttemptResult(fields[RESULT_HEADER].decode())
    return SendOutcome(
        result,
        AttemptOutcome.UNDETERMINED,
        reason,
        CLOSED_HEADER in fields,
        UNREACHABLE_HEADER in fields,
    )


def _lacks_links(
    node: GatewayNode, exchange: Exchange, context: PlacementContext
) -> bool:
    """Whether this host can't reach any target of the region that serves a request."""
    targets = node.registry.list_region_targets(exchange.service, context.region)
    return bool(targets) and all(t.entry.id in context.unreachable for t in targets)


def _avoid_host(node: GatewayNode, host: HostRow, reason: str) -> None:
    node.avoided_until[host.id] = node.now() + AVOID_HOST_S
    record_event("host-avoided", subject=host.id, reason=reason, for_s=AVOID_HOST_S)
    node.invalidate_context()


def _pick_host(
    node: GatewayNode, region: str, tried: Collection[str]
) -> HostRow | None:
    """Return a host of a region that this request hasn't been relayed to, or None."""
    now = node.now()
    view = node.peers.view
    serving, draining = (
        [
            row
            for row in rows
            if row.id not in tried and node.avoided_until.get(row.id, 0.0) <= now
        ]
        for rows in (view.ready_hosts(now, region), view.draining_hosts(now, region))
    )
    if serving:
        return node.random.choice(serving)
    return draining[0] if draining else None


def _record_rtt(node: GatewayNode, region: str, measured_s: float) -> None:
    previous_s = node.region_rtt_s.get(region, measured_s)
    node.region_rtt_s[region] = previous_s + RTT_STEP * (measured_s - previous_s)
