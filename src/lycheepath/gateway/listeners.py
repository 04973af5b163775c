"""The listeners of a gateway: callers, other hosts, readiness, directory, metrics."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio
from loguru import logger

from ..adapters.http1.downstream import CallerConnection
from ..adapters.http1.limits import ReadLimits
from ..adapters.http1.sockets import enlarge_send_buffer, is_idle
from ..core.catalog.model import CallerLimits
from ..core.explaining.placements import PlacementView
from ..platform.entry import READY_PATH, read_resolve, write_resolved
from .copying import COPY_PATH, answer_copy
from .explanations import answer_question, is_question
from .relayed import is_host_call, serve_relayed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..adapters.http1.downstream import ReceivedRequest
    from ..core.addresses import Address
    from .node import GatewayNode

    Serve = Callable[[CallerConnection, ReceivedRequest], Awaitable[None]]

TEXT_TYPE = (b"content-type", b"text/plain; charset=utf-8")
JSON_TYPE = (b"content-type", b"application/json")
BACKLOG = 1024
# Room for the headers that hosts add to the requests they relay to each other.
RELAY_HEAD_BYTES = 4096
# Smallest limits for the heads and bodies of what hosts relay.
MIN_HOST_HEAD_BYTES = 65_536
MIN_HOST_BODY_BYTES = 16 << 20
# Time within which answers to operators, the platform and other hosts have to be sent.
ANSWER_TIMEOUT_S = 10.0
# Other hosts close their idle connections well before this limit.
HOST_IDLE_TIMEOUT_S = 30.0


async def listen(
    node: GatewayNode,
    address: Address,
    serve: Serve,
    read_limits: Callable[[GatewayNode], ReadLimits],
    task_status: trio.TaskStatus[list[trio.SocketListener]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an address until cancelled."""
    listeners = await trio.open_tcp_listeners(
        address.port, host=address.ip, backlog=BACKLOG
    )
    node.listeners.extend(listeners)
    handler = partial(_handle, node, serve, read_limits)
    await trio.serve_listeners(handler, listeners, task_status=task_status)


async def serve_host(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Serve a call of another host: a relayed request or a catalog copy."""
    if request.target.startswith(COPY_PATH.encode()) and is_host_call(request):
        await answer_copy(node, caller, request)
        return
    await serve_relayed(node, caller, request)


async def answer_ready(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Answer a readiness probe: 200 if this host accepts callers, else 503."""
    if request.target != READY_PATH.encode():
        await caller.answer_within(
            ANSWER_TIMEOUT_S, 404, [TEXT_TYPE], b"no such page\n"
        )
        return
    status = 200 if node.ready else 503
    await caller.answer_within(ANSWER_TIMEOUT_S, status, [TEXT_TYPE], b"")


async def answer_directory(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Answer a directory query with the addresses to which a caller may connect."""
    resolved = read_resolve(request.target.decode("latin-1"))
    if resolved is None:
        await caller.answer_within(
            ANSWER_TIMEOUT_S, 404, [TEXT_TYPE], b"no such page\n"
        )
        return
    addresses = node.resolve_hosts(*resolved)
    body = write_resolved(addresses, node.directory_ttl_s())
    await caller.answer_within(ANSWER_TIMEOUT_S, 200, [JSON_TYPE], body)


async def answer_operators(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Answer an operator: where a request would go now, or else the metrics."""
    if not is_question(request.target):
        await answer_metrics(node, caller, request)
        return
    proofs = node.view_proofs
    view = PlacementView(
        node.catalog.routes,
        node.registry,
        node.build_context(),
        node.team_limits.find_level,
        node.containment.explain_block,
        proofs.find_age_s() if proofs.is_needed else None,
        proofs.is_proven(node.now()),
    )
    status, body = answer_question(request.method, request.target, view, node.now())
    await caller.answer_within(ANSWER_TIMEOUT_S, status, [JSON_TYPE], body)


async def answer_metrics(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Answer with the counters and histograms of this process."""
    body = node.metrics.render().encode()
    await caller.answer_within(ANSWER_TIMEOUT_S, 200, [TEXT_TYPE], body)


async def _handle(
    node: GatewayNode,
    serve: Serve,
    read_limits: Callable[[GatewayNode], ReadLimits],
    stream: trio.SocketStream,
) -> None:
    """Serve a connection; an unhandled exception ends it but not the process."""
    caller = CallerConnection(
        stream, partial(read_limits, node), partial(_find_delay_s, node), node.buffers
    )
    node.open_connections.add(caller)
    if node.shutting_down:
        enlarge_send_buffer(caller.stream)
    try:
        await caller.run(partial(serve, caller))
    except Exception:
        node.metrics.count("connection_faults_total")
        logger.exception("connection-fault")
    finally:
        node.open_connections.discard(caller)


def has_unread_requests(node: GatewayNode) -> bool:
    """Whether connections wait to be accepted, or have bytes that weren't read."""
    if any(connection.has_unread for connection in node.open_connections):
        return True
    return any(not is_idle(listener) for listener in node.listeners)


def _find_delay_s(node: GatewayNode) -> float:
    return node.loop_delay.find_s(node.now())


def read_caller_limits(node: GatewayNode) -> ReadLimits:
    """Return the limits that the operator's configuration sets for callers."""
    routes = node.catalog.routes
    limits = routes.configuration.limits if routes else CallerLimits()
    return ReadLimits(
        limits.head_bytes, limits.body_bytes, limits.head_s, limits.idle_s
    )


def read_host_limits(node: GatewayNode) -> ReadLimits:
    """
    Return the limits for other hosts.

    What they relay has been read by the limits of their configuration, which may be
    another one.
    """
    limits = read_caller_limits(node)
    return ReadLimits(
        max(limits.head_bytes, MIN_HOST_HEAD_BYTES) + RELAY_HEAD_BYTES,
        max(limits.body_bytes, MIN_HOST_BODY_BYTES),
        HOST_IDLE_TIMEOUT_S,
        HOST_IDLE_TIMEOUT_S,
    )
