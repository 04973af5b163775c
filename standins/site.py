"""
Small stand-ins for the users' platform: its store, and targets of services.

They speak the published protocols over loopback, in the event loop of the test. A
target answers with its ``behaviour``, a function of the request and the stream::

    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        target = await site.add_target("books", answer_text(b"done"))
        node = await site.start_gateway("host-1")
        answer = await site.ask(node, b"GET", "/books/1")
"""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import h11
import orjson
import trio
import trio.testing

from lycheepath.adapters.events import EventLog
from lycheepath.gateway.node import GatewayNode
from lycheepath.gateway.process import start_tasks
from lycheepath.platform.settings import read_settings
from lycheepath.platform.targets import REPORT_PATH

from .requests import Seen as Seen, read_request as read_request
from .store import FakeStore

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Mapping

    from .host_processes import Host

HOST = "books.example"
REGIONS = {"east-a": "east", "west-a": "west", "south-a": "south"}
PORTS = {"front": 20_001, "ready": 20_002, "control": 20_003, "directory": 20_004}
POLL_S = 0.01
# The report of a target, which hosts ask for when they doubt their link to it.
REPORT = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}"
READY_WITHIN_S = 5.0


@dataclass
class Answer:
    """
    A caller's answer.

    ``whole`` is set if the answer is complete, ``kept`` if its connection stays
    open; ``end`` describes how an incomplete one ended.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    kept: bool = False
    end: str = ""


def write_chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def answer_bytes(*pieces: bytes, close: bool = False) -> Any:
    """Return a behaviour that sends raw pieces, then optionally closes."""

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        for piece in pieces:
            await stream.send_all(
                piece.replace(b"{id}", seen.headers["request-id"].encode())
            )
            await trio.sleep(0)
        if close:
            await stream.aclose()

    return behave


def answer_text(body: bytes, status: int = 200, *headers: str) -> Any:
    """Return a behaviour that answers with a signed body."""
    lines = [
        f"HTTP/1.1 {status} X",
        "Request-Id: {id}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    if status < 300:
        lines.append("Response-Signature: s.1")
    return answer_bytes(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


@dataclass
class FakeTarget:
    """
    A target; ``seen`` holds the requests that it received.

    ``awaken`` waits until the target sends anything.
    """

    id: str
    service: str
    zone: str
    address: str
    behaviour: Any
    seen: list[Seen] = field(default_factory=list)
    connections: int = 0
    open: int = 0
    awaken: Callable[[], Awaitable[object]] = trio.lowlevel.checkpoint

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        self.open += 1
        connection = h11.Connection(h11.SERVER)
        try:
            while (seen := await read_request(connection, stream)) is not None:
                if seen.target == REPORT_PATH and "request-id" not in seen.headers:
                    await self.awaken()
                    await stream.send_all(REPORT)
                else:
                    self.seen.append(seen)
                    await self.behaviour(seen, stream)
                connection = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self.open -= 1
            stream.socket.close()


class Site:
    """State: the store, the targets and the gateways of one test."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.store = FakeStore()
        self.targets: list[FakeTarget] = []
        self.version = 0
        self.bounds: dict[str, float] = {}
        # The teams of the next configuration, None if it doesn't know teams.
        self.tenants: list[dict[str, Any]] | None = None
        self.limits: dict[str, int] = {}
        self._hosts = 0
        self._running: dict[str, trio.CancelScope] = {}
        self._network = draw_network()

    @classmethod
    async def open(cls, nursery: trio.Nursery) -> Site:
        """Return a site whose store is listening."""
        site = cls(nursery)
        site.store.address = await site.listen(site.store.serve)
        return site

    async def add_target(
        self, service: str, behaviour: Any, zone: str = "east-a", **fields: Any
    ) -> FakeTarget:
        """Start a target and write its entry to the store."""
        target = FakeTarget(f"i-{len(self.targets)}", service, zone, "", behaviour)
        target.address = await self.listen(target.serve)
        self.targets.append(target)
        self.announce(target, **fields)
        return target

    def announce(self, target: FakeTarget, **fields: Any) -> None:
        """Write a target's entry to the store."""
        entry = make_entry(target.service, target.address, target.zone, **fields)
        self.store.put(f"servers/{target.id}", entry)

    def configure(
        self,
        *routes: dict[str, Any],
        connections: int = 100,
        service: Mapping[str, Any] | None = None,
        **limits: int,
    ) -> None:
        """
        Write a configuration with these routes under a new version.

        ``connections`` limits the connections to each target of a service; ``service``
        has more fields of each.
        """
        self.version += 3
        value = make_configuration(self.version, routes, connections, limits)
        for fields in value["services"]:
            fields |= service or {}
        if self.tenants is not None:
            value["tenants"] = self.tenants
        self.store.put("op/config", value)

    async def start_gateway(
        self, host: str, zone: str = "east-a", store: str = ""
    ) -> GatewayNode:
        """
        Start a gateway in the test's event loop; return it once it is ready.

        ``store`` overrides the address of the store.
        """
        self._hosts += 1
        ip = f"{self._network}.{self._hosts}"
        fields = make_settings(host, ip, zone, store or self.store.address)
        fields["seeds"] = [f"{self._network}.1:{PORTS['control']}"]
        fields["bounds"] = self.bounds
        fields["limits"] = self.limits
        settings = read_settings(orjson.dumps(fields))
        # Log lines of gateways in tests are discarded.
        devnull = os.open(os.devnull, os.O_WRONLY)
        node = GatewayNode(settings, events=EventLog(devnull))
        await self.nursery.start(self._run_gateway, node)
        with trio.fail_after(READY_WITHIN_S):
            while not node.ready:
                await trio.sleep(POLL_S)
        return node

    async def restart_gateway(self, node: GatewayNode) -> GatewayNode:
        """End a gateway at once and start it again; nothing that it knew is left."""
        self.stop_gateway(node)
        await trio.testing.wait_all_tasks_blocked(POLL_S)
        return await self.start_again(node)

    async def start_again(self, node: GatewayNode) -> GatewayNode:
        """Start a gateway that was stopped again."""
        devnull = os.open(os.devnull, os.O_WRONLY)
        started = GatewayNode(node.settings, events=EventLog(devnull))
        await self.nursery.start(self._run_gateway, started)
        with trio.fail_after(READY_WITHIN_S):
            while not started.ready:
                await trio.sleep(POLL_S)
        return started

    def stop_gateway(self, node: GatewayNode) -> None:
        """End a gateway at once, as SIGKILL does."""
        self._running.pop(node.settings.host).cancel()

    async def ask(
        self,
        node: Host,
        method: bytes,
        path: str,
        body: bytes = b"",
        request_id: str = "r1",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a caller's request on a new connection; return its answer."""
        address = node.settings.callers
        named = {"deadline-ms": "2000"} | (headers or {})
        request = write_request(method, path, body, request_id, named)
        async with await trio.open_tcp_stream(address.ip, address.port) as stream:
            return await send_request(stream, request)

    async def _run_gateway(
        self,
        node: GatewayNode,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._running[node.settings.host] = nursery.cancel_scope
            await start_tasks(node, nursery)
            task_status.started()

    async def listen(self, serve: Any) -> str:
        """Serve connections to a port on loopback; return its address."""
        ip, port = await listen(self.nursery, serve)
        return f"{ip}:{port}"


async def listen(nursery: trio.Nursery, serve: Any) -> tuple[str, int]:
    """Serve connections to a port on loopback; return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
    ip, port = listeners[0].socket.getsockname()
    return ip, port


def draw_network() -> str:
    """Draw a loopback address range, so that concurrent runs don't collide."""
    draw = random.SystemRandom()
    return f"127.{draw.randrange(1, 255)}.{draw.randrange(255)}"


def write_request(
    method: bytes, path: str, body: bytes, request_id: str, headers: dict[str, str]
) -> bytes:
    """Return a caller's request as sent; ``headers`` come after the usual ones."""
    named = {"host": HOST, "request-id": request_id} | headers
    if body:
        named["content-length"] = str(len(body))
    lines = [f"{name}: {value}" for name, value in named.items()]
    head = "\r\n".join([f"{method.decode()} {path} HTTP/1.1", *lines, "", ""])
    return head.encode() + body


async def send_request(stream: trio.SocketStream, request: bytes) -> Answer:
    """Send a request; return its answer, empty if the connection is reset before."""
    try:
        await stream.send_all(request)
    except trio.BrokenResourceError:
        return Answer(end="reset")
    return await read_answer(stream)


async def read_answer(
    stream: trio.abc.ReceiveStream, answer: Answer | None = None
) -> Answer:
    """
    Read one answer, complete or not.

    ``answer`` is filled in as data arrives, so that a caller whose wait is cancelled
    has the part received so far.
    """
    answer = answer or Answer()
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", HOST)]))
    connection.send(h11.EndOfMessage())
    while True:
        try:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(65_536)))
                continue
        except h11.RemoteProtocolError:
            answer.end = "broken off"
            return answer
        except trio.BrokenResourceError:
            answer.end = "reset"
            return answer
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        else:
            answer.whole = isinstance(event, h11.EndOfMessage)
            answer.kept = answer.whole and connection.their_state is h11.DONE
            answer.end = "" if answer.whole else "closed"
            return answer


def make_settings(host: str, ip: str, zone: str, store: str) -> dict[str, Any]:
    """Return the settings of a gateway as the platform writes them."""
    return {
        "node_name": host,
        "ip": ip,
        "zone": zone,
        "region": REGIONS[zone],
        "zones": REGIONS,
        "listen": {name: f"{ip}:{port}" for name, port in PORTS.items()},
        "port_range": [20_010, 20_020],
        "seeds": [],
        "limits": {"memory_mb": 300, "max_fds": 1024},
        "platform": {"address": store},
    }


def make_route(
    service: str, kind: str = "safe", prefix: str = "/books/", **fields: Any
) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": f"route-{prefix}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
    } | fields


def make_entry(service: str, address: str, zone: str, **fields: Any) -> dict[str, Any]:
    """Return a target's entry as it writes it to the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
    } | fields


def make_configuration(
    version: int,
    routes: Iterable[dict[str, Any]],
    connections: int,
    limits: dict[str, int],
) -> dict[str, Any]:
    """Return a configuration with ``connections`` for each target."""
    routes = list(routes)
    names = dict.fromkeys(name for route in routes for name in _list_services(route))
    services = [{"name": name, "max_connections": connections} for name in names]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def _list_services(route: dict[str, Any]) -> list[str]:
    split = route.get("traffic_split")
    return [part["service"] for part in split] if split else [route["service"]]
