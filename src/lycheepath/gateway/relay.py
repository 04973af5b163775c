"""
Relays requests to a target through another host of the target's region.

Targets accept connections only from hosts of their own region, and a host that is cut off
from the targets of its own region relays to a peer that reaches them. The first host stays
responsible for the request and its retries; the second one chooses a target of its
region, makes one attempt there, and reports the result (``relayed``). A relayed
request is never relayed again.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError
from ..core.addresses import Address
from ..core.placement.outcomes import AttemptOutcome
from ..core.serving.attempts import AttemptResult
from ..core.serving.events import EventOrderError
from ..platform.headers import read_answer
from .attempts import SendOutcome, watch_silence
from .forwarding import WrongVersionError, find_head_timeout_s, forward_answer
from .relay_headers import (
    CLOSED_HEADER,
    REASON_HEADER,
    RELAY_HEADERS,
    RESULT_HEADER,
    SILENCE_COMMENT,
    SILENCE_HEADER,
    TARGET_HEADER,
    UNREACHABLE_HEADER,
    VERSION_HEADER,
    write_relay_headers,
)
from .sending import (
    abandon,
    log_target_changes,
    record_answer_head,
)
from .withholding import UndeliverableError

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from ..adapters.http1.upstream import Upstream
    from ..core.fleet.view import HostRow
    from ..core.placement.registry import TargetState
    from .attempts import Attempt
    from .exchange import Exchange
    from .inactivity import InactivityTimer
    from .node import GatewayNode

FAILED_RESULT = AttemptResult.FAILED.value.encode()
MAX_RESULT_BYTES = 4096
# Statuses of a host's own refusals of what it hasn't read completely.
REFUSED_STATUSES = range(400, 500)
# Timeout for connecting to a host of another region; six times the round-trip time.
CONNECT_TIMEOUT_S = 1.0
# Idle time of connections to other hosts; below the limit that those hosts set
# (``HOST_IDLE_TIMEOUT_S``).
IDLE_TIMEOUT_S = 10.0
# Time for which a host that could not be reached isn't chosen again.
AVOID_HOST_S = 2.0
# Weight of one measured connection in the mean round-trip time to a region.
RTT_STEP = 0.3


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
    attempt.host = host.id
    attempt.cutter.notice = SILENCE_COMMENT
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
        with watch(find_head_timeout_s(exchange)) as timer:
            status, headers = await upstream.request(
                exchange.request.method,
                exchange.request.target,
                write_relay_headers(node, attempt),
                exchange.request.body,
                on_interim=partial(_read_interim, attempt, timer),
            )
        fields = dict(headers)
        attempt.target = fields.get(TARGET_HEADER, b"").decode("latin-1")
        result = fields.get(RESULT_HEADER, FAILED_RESULT)
        if result != FAILED_RESULT or TARGET_HEADER not in fields:
            outcome, reusable = await _read_result(upstream, status, fields), True
            if outcome.unreachable:
                _avoid_host(node, host, outcome.reason)
            elif outcome.closed:
                node.record_region_closed(exchange.service, placed.target.region)
        else:
            end_to_end = [h for h in headers if h[0] not in RELAY_HEADERS]
            answer_head = read_answer(status, end_to_end)
            record_answer_head(node, attempt.target, answer_head, sent_at)
            answering = node.registry.targets.get(attempt.target)
            if placed.target.region == node.settings.region:
                node.links.record_peer_answer(attempt.target)
            _record_version(attempt, answering, fields)
            if answering is not None and prompt and answer_head.succeeded:
                node.registry.record_prompt_parts(answering, prompt.parts)
            outcome, reusable = await forward_answer(
                node, attempt, upstream, answer_head, watch
            )
            if outcome.result is AttemptResult.ANSWERED:
                node.registry.record_relayed_answer(attempt.number, node.now())
        return outcome
    except (
        BrokenAnswerError,
        EventOrderError,
        WrongVersionError,
        UndeliverableError,
    ) as error:
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


def has_other_host(node: GatewayNode, exchange: Exchange, region: str) -> bool:
    """Whether a region has a host that a request hasn't been relayed to."""
    return _pick_host(node, region, exchange.tried_hosts) is not None


def _read_interim(
    attempt: Attempt, timer: InactivityTimer, headers: Sequence[tuple[bytes, bytes]]
) -> None:
    """Read that the target of another host is silent before its answer."""
    silent = dict(headers).get(SILENCE_HEADER)
    if silent is not None:
        attempt.target = silent.decode("latin-1")
        timer.report_silence()


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
    target: TargetState | None,
    fields: dict[bytes, bytes],
) -> None:
    """Record the version of the target that answers through the other host."""
    attempt.version = fields.get(VERSION_HEADER, b"").decode("latin-1")
    if not attempt.version and target is not None:
        # Hosts of earlier versions name only the target.
        attempt.version = target.entry.version


async def _read_result(
    upstream: Upstream, status: int, fields: dict[bytes, bytes]
) -> SendOutcome:
    """
    Return the result that the other host reports for an unanswered request.

    One that it couldn't read, or is over its limits, is refused without a result.
    """
    await upstream.read_all(MAX_RESULT_BYTES)
    if RESULT_HEADER not in fields:
        result = (
            AttemptResult.NOT_RUN if status in REFUSED_STATUSES else AttemptResult.LOST
        )
        reason = f"the host answered {status} itself"
        return SendOutcome(result, AttemptOutcome.UNDETERMINED, reason)
    reason = fields.get(REASON_HEADER, b"").decode("latin-1")
    result = AttemptResult(fields[RESULT_HEADER].decode())
    return SendOutcome(
        result,
        AttemptOutcome.UNDETERMINED,
        reason,
        CLOSED_HEADER in fields,
        UNREACHABLE_HEADER in fields,
    )


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
