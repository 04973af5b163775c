"""The listeners of a gateway: callers, readiness, directory, metrics."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio
from loguru import logger

from ..adapters.http1.downstream import CallerConnection, ReadLimits
from ..adapters.http1.sockets import bound_silence
from ..core.catalog.model import CallerLimits
from ..platform.entry import READY_PATH, read_resolve, write_resolved
from .copying import COPY_PATH, answer_copy
from .relay import is_own_call, serve_relayed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..adapters.http1.downstream import ReceivedRequest
    from ..core.addresses import Address
    from .node import GatewayNode

    Serve = Callable[[CallerConnection, ReceivedRequest], Awaitable[None]]

TEXT = (b"content-type", b"text/plain; charset=utf-8")
JSON = (b"content-type", b"application/json")
BACKLOG = 1024
# Headers that hosts add to the requests they pass to each other.
OWN_HEAD_BYTES = 4096
# Other hosts close their idle connections well before this.
HOST_IDLE_S = 30.0


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
    handler = partial(_handle, node, serve, read_limits)
    await trio.serve_listeners(handler, listeners, task_status=task_status)


async def serve_host(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Serve another host: a request that it relays, or its wish for a copy."""
    if request.target.startswith(COPY_PATH.encode()) and is_own_call(request):
        await answer_copy(node, caller, request)
        return
    await serve_relayed(node, caller, request)


async def answer_ready(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Tell whether callers may come."""
    if request.target != READY_PATH.encode():
        await caller.answer(404, [TEXT], b"no such page\n")
        return
    await caller.answer(200 if node.ready else 503, [TEXT], b"")


async def answer_directory(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Tell a caller where to connect."""
    asked = read_resolve(request.target.decode("latin-1"))
    if asked is None:
        await caller.answer(404, [TEXT], b"no such page\n")
        return
    addresses = node.hosts_for(*asked)
    body = write_resolved(addresses, node.directory_ttl_s())
    await caller.answer(200, [JSON], body)


async def answer_metrics(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Show the counters and histograms of this process."""
    await caller.answer(200, [TEXT], node.metrics.render().encode())


async def _handle(
    node: GatewayNode,
    serve: Serve,
    read_limits: Callable[[GatewayNode], ReadLimits],
    stream: trio.SocketStream,
) -> None:
    """Serve a connection; a fault of ours ends it, not the process."""
    bound_silence(stream)
    caller = CallerConnection(stream, read_limits(node))
    try:
        await caller.run(partial(serve, caller))
    except Exception:
        node.metrics.count("connection_faults_total")
        logger.exception("connection-fault")


def limit_callers(node: GatewayNode) -> ReadLimits:
    """Return the limits that the operator sets for callers."""
    routes = node.catalog.routes
    limits = routes.configuration.limits if routes else CallerLimits()
    return ReadLimits(
        limits.head_bytes, limits.body_bytes, limits.head_s, limits.idle_s
    )


def limit_hosts(node: GatewayNode) -> ReadLimits:
    """Return the limits for other hosts: room for headers of ours, and idle time."""
    limits = limit_callers(node)
    return ReadLimits(
        limits.head_bytes + OWN_HEAD_BYTES,
        limits.body_bytes,
        limits.head_s,
        HOST_IDLE_S,
    )
