"""
Stand-ins and processes for the cases of the review.

Gateways run as processes with the command of the deploy file. The store, the runners and the
callers live in the event loop of the script and speak what the users' pages say::

    case = Case(folder, seed=1)
    async with case.run(Layout(hosts=3, runners=2)) as site:
        await site.sleep_until(10.0)
        site.store.put("op/evacuate/kumasi-a", {})
"""

from __future__ import annotations

import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from collections import deque
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import h11
import trio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

ROOT = Path(__file__).resolve().parent.parent
ZONES = {"accra-a": "accra", "kumasi-a": "kumasi", "tamale-a": "tamale"}
CALLED_HOST = "ficu95.example"
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
# Requests a second that a cold runner tolerates.
COLD_PER_S = 3.5
COPY_INTERVAL_S = 0.1
POLL_S = 0.01
HEALTH_PATH = "/healthz"
# Ports of a gateway from the first one: 16 for its peers, then its listeners.
PORTS = 24
READY_S = 20.0
# The figures of DEPLOY.md.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_ms": 6000,
    "ack_timeout_ms": 8000,
    "catch_up_s": 4,
    "drain_ms": 4000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_deadline_ms": 4000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 10000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "cold_over": 1.5,
    "cold_slack": 3,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 800,
    "reuse_window_s": 9,
    "ttl_max_s": 5,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "places",
    "platform",
]


# All processes that were started, for the case that the script itself is told to end.
STARTED: list[subprocess.Popen[bytes]] = []


class NotRunError(Exception):
    """The case couldn't run; the text says why."""


@dataclass
class Answer:
    """What a caller got; ``whole`` says that the answer was complete."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


@dataclass
class Sent:
    """A request that a caller sent: when, to which gateway, and its path."""

    at: float
    gateway: str
    path: str


@dataclass
class Seen:
    """A request as a server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Record:
    """Writes what was sent, answered and run into a file, with seconds of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = trio.current_time()

    def now(self) -> float:
        """Return the seconds since the record was begun."""
        return trio.current_time() - self._started

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(
    connection: h11.Connection, stream: trio.SocketStream
) -> Seen | None:
    """Return the next request of a connection, or None at its end."""
    head: h11.Request | None = None
    body = b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return None
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {n.decode(): v.decode("latin-1") for n, v in head.headers}
            return Seen(head.method.decode(), head.target.decode(), headers, body)
        else:
            return None


async def read_answer(stream: trio.SocketStream, answer: Answer) -> Answer:
    """Read one answer into ``answer``, complete or not."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    while True:
        try:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65_536))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return answer
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.whole = True
            return answer
        elif not isinstance(event, h11.InformationalResponse):
            return answer


async def listen(
    nursery: trio.Nursery, serve: Callable[[trio.SocketStream], Awaitable[None]]
) -> str:
    """Serve connections to a free port on loopback; return its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(partial(trio.serve_listeners, serve, listeners))
    ip, port = listeners[0].socket.getsockname()[:2]
    return f"{ip}:{port}"


@contextmanager
def ignore_end() -> Iterator[None]:
    """Ignore that the other side has closed a connection."""
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError, OSError):
        yield


class Store:
    """
    The platform's store, with a history of 20 s.

    It can be away and come back from a copy: revisions go back and are given out again, a
    watch from one that it doesn't have gets 410, and ``Store-Era`` rises.
    """

    def __init__(self, record: Record) -> None:
        self.address = ""
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.era = 1
        self.away = False
        self._record = record
        self._oldest = 0
        self._history: list[tuple[float, dict[str, Any]]] = []
        self._copies: deque[tuple[float, int, dict[str, dict[str, Any]]]] = deque()
        self._open: set[trio.SocketStream] = set()

    def put(self, key: str, value: Any) -> bool:
        """Write an item; return whether the store has acknowledged it."""
        if self.away:
            return False
        known = self.items.get(key)
        if known is not None and _is_same(known, value):
            return True
        self.revision += 1
        self.items[key] = item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "create_rev": known["create_rev"] if known else self.revision,
            "lease": 0,
        }
        self._history.append((trio.current_time(), item))
        return True

    def remove(self, key: str) -> bool:
        """Remove an item; return whether the store has acknowledged it."""
        if self.away:
            return False
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self._history.append((trio.current_time(), event))
        return True

    async def run(self) -> None:
        """Make copies, and forget old history, until cancelled."""
        while True:
            now = trio.current_time()
            if not self.away:
                self._copies.append((now, self.revision, dict(self.items)))
            while self._copies[0][0] < now - HISTORY_S:
                self._copies.popleft()
            while self._history and self._history[0][0] < now - HISTORY_S:
                self._oldest = self._history.pop(0)[1]["revision"]
            await trio.sleep(COPY_INTERVAL_S)

    def leave(self) -> None:
        """Go away: connections end, and new ones are closed."""
        self.away = True
        for stream in self._open:
            stream.socket.close()
        self._record.write("store-away", revision=self.revision)

    def come_back(self, copy_age_s: float) -> None:
        """Come back from a copy that was made ``copy_age_s`` before it went away."""
        made_before = self._copies[-1][0] - copy_age_s
        lost_at = self.revision
        copy = next(c for c in reversed(self._copies) if c[0] <= made_before)
        self.revision, self.items = copy[1], dict(copy[2])
        self._copies.clear()
        self._copies.append((trio.current_time(), self.revision, dict(self.items)))
        self._history = [h for h in self._history if h[1]["revision"] <= self.revision]
        self.era += 1
        self.away = False
        self._record.write(
            "store-back", era=self.era, revision=self.revision, before=lost_at
        )

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        if self.away:
            stream.socket.close()
            return
        self._open.add(stream)
        try:
            with ignore_end():
                while seen := await read_message(h11.Connection(h11.SERVER), stream):
                    status, answer = await self._answer(seen.target)
                    if self.away:
                        return
                    body = json.dumps(answer).encode()
                    head = (
                        f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                        "Content-Type: application/json\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n"
                    )
                    await stream.send_all(head.encode() + body)
        finally:
            self._open.discard(stream)
            stream.socket.close()

    async def _answer(self, target: str) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path.endswith("kv-key"):
            item = self.items.get(fields["key"])
            return (200, item | {"as_of": self.revision}) if item else (404, {})
        if path.endswith("kv-range"):
            prefix, after = fields.get("prefix", ""), fields.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > len(items)
            return 200, {"items": items, "has_more": more, "as_of": self.revision}
        if not path.endswith("kv-watch"):
            return 404, {}
        after, prefix = int(fields["after"]), fields.get("prefix", "")
        era = self.era
        until = trio.current_time() + int(fields.get("wait_ms", "0")) / 1000.0
        while True:
            if not self._oldest <= after <= self.revision or era != self.era:
                return 410, {}
            events = [
                event
                for _, event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or trio.current_time() >= until or self.away:
                return 200, {"events": events, "as_of": self.revision}
            await trio.sleep(POLL_S)


def _is_same(item: dict[str, Any], value: Any) -> bool:
    """Whether a runner's entry differs in nothing but ``seq``: it doesn't change then."""
    if not item["key"].startswith("servers/"):
        return False
    before = json.loads(base64.b64decode(item["value"]))
    return bool(before | {"seq": 0} == value | {"seq": 0})


@dataclass
class Run:
    """A request at a runner: when it arrived, and when its run ended."""

    id: str
    runner: str
    service: str
    zone: str
    arrived_at: float
    fields: dict[str, str]
    ended_at: float | None = None
    end: str = ""


class Runner:
    """
    A sound runner: announces itself, and runs what it gets with ``work``.

    ``work`` answers the request; it may take as long as it likes. A run whose connection
    closes is dropped.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        service: str,
        zone: str,
        work: Callable[[Runner, Run, trio.SocketStream], Awaitable[None]],
        slots: int,
    ) -> None:
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.slots = slots
        self.address = ""
        self.running = 0
        self.entry_fields: dict[str, Any] = {}
        self.cold_until = 0.0
        self.announces = True
        self.listening = trio.CancelScope()
        self.open: set[trio.SocketStream] = set()
        self._sequence = 0
        self._born = random.SystemRandom().randrange(
            1_700_000_000_000, 1_790_000_000_000
        )

    @property
    def cold_left_ms(self) -> int:
        """How much longer it stays cold, in ms."""
        return max(0, int((self.cold_until - trio.current_time()) * 1000))

    def announce(self) -> bool:
        """Write the entry once; return whether the store has acknowledged it."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": self.cold_left_ms,
            "seq": self._sequence + 1,
            "born": self._born,
        } | self.entry_fields
        if not self.site.store.put(f"servers/{self.name}", entry):
            return False
        self._sequence += 1
        return True

    async def crash(self, down_s: float, cold_s: float = 0.0) -> None:
        """End at once; start again under the same id, cold, with nothing of before."""
        self.site.record.write("runner-crashed", name=self.name)
        self.announces = False
        self.listening.cancel()
        for stream in self.open:
            stream.socket.close()
        await trio.sleep(down_s)
        self._sequence = 0
        self._born += int(down_s * 1000)
        self.announces = True
        self.cold_until = trio.current_time() + cold_s
        await self.open_port()
        self.announce()
        self.site.record.write("runner-back", name=self.name)

    async def open_port(self) -> None:
        """Listen, at the address that it had if it had one."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        ip, port = listeners[0].socket.getsockname()[:2]
        self.address = f"{ip}:{port}"
        self.listening = trio.CancelScope()
        self.site.nursery.start_soon(self._listen, listeners)

    async def _listen(self, listeners: list[trio.SocketListener]) -> None:
        with self.listening:
            await trio.serve_listeners(
                self.serve, listeners, handler_nursery=self.site.nursery
            )
        for listener in listeners:
            listener.socket.close()

    async def keep_announcing(self) -> None:
        """Write the entry about every heartbeat, until cancelled."""
        while True:
            if self.announces:
                self.announce()
            await trio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.open.add(stream)
        try:
            with ignore_end():
                while seen := await read_message(h11.Connection(h11.SERVER), stream):
                    if not await self._serve_request(seen, stream):
                        break
        finally:
            self.open.discard(stream)
            stream.socket.close()

    async def _serve_request(self, seen: Seen, stream: trio.SocketStream) -> bool:
        """Serve one request; return whether its connection is kept."""
        if seen.target == "/lycheepath/report":
            report = {
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
                "waiting": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 400000,
                "handles": 0,
                "born": self._born,
            }
            await send_text(stream, 200, json.dumps(report).encode(), [])
            return True
        if seen.target == HEALTH_PATH:
            headers = [
                f"Instance-Id: {self.name}",
                f"Server-Load: {self.running},0,{self.slots}",
            ]
            if self.cold_left_ms:
                headers.append(f"Cold-Ms: {self.cold_left_ms}")
            await send_text(stream, 200, b"", headers)
            return True
        if "request-id" not in seen.headers:
            await send_text(stream, 400, b"", ["Not-Executed: 1"])
            return True
        expected = seen.headers.get("expect-instance", self.name)
        if expected != self.name:
            headers = [f"Instance-Id: {self.name}"]
            await send_text(stream, 421, b"", headers)
            return True
        record = self.site.record
        run = Run(
            seen.headers["request-id"],
            self.name,
            self.service,
            self.zone,
            record.now(),
            seen.headers,
        )
        self.site.runs.append(run)
        record.write(
            "run",
            id=run.id,
            runner=self.name,
            service=self.service,
            zone=self.zone,
            last_event=seen.headers.get("last-event-id", "-"),
        )
        self.running += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_watch_close, run, stream, nursery.cancel_scope)
                with ignore_end():
                    await self.work(self, run, stream)
                    run.end = run.end or "answered"
                nursery.cancel_scope.cancel()
        finally:
            self.running -= 1
            run.ended_at = record.now()
            run.end = run.end or "broken off"
            record.write("run-ended", id=run.id, runner=self.name, end=run.end)
        return run.end == "answered"


async def _watch_close(
    run: Run, stream: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """End a run when its connection closes; a peek reads nothing."""
    while True:
        try:
            if stream.socket.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(stream.socket)
        except (trio.ClosedResourceError, ValueError, OSError):
            run.end = "crashed"
            scope.cancel()
            return
        with suppress(OSError):
            if await stream.socket.recv(1, socket.MSG_PEEK):
                await trio.sleep(POLL_S)
                continue
        run.end = "closed by the gateway"
        scope.cancel()
        return


async def send_text(
    stream: trio.SocketStream, status: int, body: bytes, headers: list[str]
) -> None:
    """Send a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)


async def answer_plain(runner: Runner, run: Run, stream: trio.SocketStream) -> None:
    """Answer after 20 ms, as a plain service does."""
    await trio.sleep(0.02)
    headers = [
        f"Request-Id: {run.id}",
        f"Response-Signature: {runner.name}.{run.id}",
        f"Server-Load: {runner.running},0,{runner.slots}",
    ]
    await send_text(stream, 200, b"done " + run.id.encode(), headers)


class Gateway:
    """A gateway process with its settings."""

    def __init__(self, site: Site, name: str, zone: str, ip: str) -> None:
        self.site = site
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        self._settings = site.folder / f"{name}.json"

    def address(self, part: str) -> tuple[str, int]:
        """Return the address of one of its listeners."""
        return self.ip, self.site.ports[part]

    def start(self) -> None:
        """Start the process with the ``run`` line of the deploy file."""
        site = self.site
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge", "control", "directory"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {part: f"{self.ip}:{port}" for part, port in site.ports.items()},
            "port_range": [site.first_port, site.first_port + 15],
            "seeds": [f"{ip}:{site.ports['control']}" for ip in site.seeds],
            "bootstrap": self._starts == 0,
            "loss_counts": False,
            "limits": {"memory_mb": 300, "max_fds": 4100, "cores": 1},
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 1},
            "bounds": BOUNDS,
            "platform": {
                "address": site.store.address,
                "form": "read",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self._starts += 1
        self._settings.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = kept | {
            "LYCHEEPATH_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with (site.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        STARTED.append(self.process)
        site.record.write("gateway-started", name=self.name, ip=self.ip)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.site.record.write("signal", name=self.name, number=int(number))

    def end(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until it says that it is ready; raises NotRunError."""
        with trio.move_on_after(READY_S):
            while self.process is not None and self.process.poll() is None:
                with suppress(OSError):
                    stream = await trio.open_tcp_stream(*self.address("ready"))
                    async with stream:
                        text = "GET /lycheepath/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                        await stream.send_all(text.encode())
                        if (await read_answer(stream, Answer())).status == 200:
                            return
                await trio.sleep(0.05)
        raise NotRunError(f"{self.name} isn't ready")


class Site:
    """State: the store, runners and gateways of one run, and what was seen."""

    def __init__(self, record: Record, folder: Path, nursery: trio.Nursery) -> None:
        self.record = record
        self.folder = folder
        self.nursery = nursery
        self.store = Store(record)
        self.runners: list[Runner] = []
        self.gateways: list[Gateway] = []
        self.runs: list[Run] = []
        self.sent: dict[str, Sent] = {}
        self.answers: dict[str, Answer] = {}
        draw = random.SystemRandom()
        self.network, self.first_port = draw_addresses(draw)
        parts = ("front", "ready", "control", "directory")
        self.ports = {part: self.first_port + 20 + n for n, part in enumerate(parts)}
        self.seeds: list[str] = []
        self._request_ids = iter(range(1, 1_000_000))
        self._prefix = f"{draw.getrandbits(32):08x}"

    def now(self) -> float:
        """Return the seconds of the record."""
        return self.record.now()

    def next_id(self) -> str:
        """Return a request id."""
        return f"{self._prefix}{next(self._request_ids):08x}"

    async def add_runner(
        self, service: str, zone: str, work: Any = answer_plain, slots: int = 6
    ) -> Runner:
        """Start a runner and announce it."""
        name = f"i-{random.SystemRandom().getrandbits(32):08x}"
        runner = Runner(self, name, service, zone, work, slots)
        await runner.open_port()
        self.runners.append(runner)
        self.record.write("runner", name=name, service=service, zone=zone)
        self.nursery.start_soon(runner.keep_announcing)
        return runner

    def configure(
        self, version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write the operator's configuration."""
        value = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
        }
        self.store.put("op/config", value)
        self.record.write(
            "configuration", version=version, revision=self.store.revision
        )

    async def start_gateways(self, per_zone: int) -> None:
        """Start gateways in all zones and wait until they are ready."""
        for index, zone in enumerate(ZONES):
            for number in range(per_zone):
                ip = f"{self.network}.{10 * (index + 1) + number}"
                name = f"edge-{zone}-{number + 1}"
                self.gateways.append(Gateway(self, name, zone, ip))
        self.seeds = [g.ip for g in self.gateways[::per_zone]]
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
        self.record.write("ready")

    async def ask(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 2500,
    ) -> Answer:
        """Send one request on a new connection; give up at its deadline."""
        request_id = self.next_id()
        fields = {
            "Host": CALLED_HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        } | (headers or {})
        if body:
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
        answer = self.answers[request_id] = Answer()
        self.sent[request_id] = Sent(self.now(), gateway.name, path)
        self.record.write("sent", id=request_id, to=gateway.name, path=path)
        with suppress(OSError), trio.move_on_after(deadline_ms / 1000.0):
            stream = await trio.open_tcp_stream(*gateway.address("front"))
            async with stream:
                with ignore_end():
                    text = "\r\n".join([*lines, "", ""]).encode()
                    await stream.send_all(text + body)
                    await read_answer(stream, answer)
        self.record.write(
            "answered",
            id=request_id,
            status=answer.status,
            whole=answer.whole,
            bytes=len(answer.body),
        )
        return answer

    async def keep_asking(
        self, gateway: Gateway, interval_s: float, *request: Any, **fields: Any
    ) -> None:
        """Send a request again and again, until cancelled."""
        while True:
            self.nursery.start_soon(partial(self.ask, gateway, *request, **fields))
            await trio.sleep(interval_s * random.uniform(0.8, 1.2))


def draw_addresses(draw: random.Random) -> tuple[str, int]:
    """Return a loopback network and the first of the ports that are free there."""
    while True:
        network = f"127.{draw.randrange(2, 250)}.{draw.randrange(250)}"
        first_port = draw.randrange(10_000, 30_000, 50)
        try:
            for port in range(first_port, first_port + PORTS):
                with socket.socket() as listener:
                    listener.bind((f"{network}.10", port))
        except OSError:
            continue
        return network, first_port


def end_all(number: int, frame: object) -> None:
    """End all processes and this one, which a signal has told to end."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
    os._exit(2)


def make_route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": CALLED_HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 1200,
        "target_latency_ms": 400,
        "priority": 2,
        "max_attempts": 2 if kind == "safe" else 1,
    } | fields


def make_service(
    name: str, connections: int, cold_s: float = 0.0, engine: bool = False
) -> dict[str, Any]:
    """Return a service as the operator writes it, with the site file's figures."""
    fields: dict[str, Any] = {
        "name": name,
        "health_path": HEALTH_PATH,
        "max_connections": connections,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": cold_s,
        "cold_per_s": COLD_PER_S if cold_s else 0.0,
    }
    if engine:
        fields["engine"] = {
            "slots": 128,
            "kv_cache_tokens": 472760,
            "kv_token_bytes": 18432,
            "link_mbps": 88000.0,
            "stride": 7,
            "models": [{"name": "m"}],
        }
    return fields


@asynccontextmanager
async def open_site(record: Record) -> AsyncIterator[Site]:
    """Open a site with a store; all gateways end with the block."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            site = Site(record, Path(folder), nursery)
            site.store.address = await listen(nursery, site.store.serve)
            nursery.start_soon(site.store.run)
            try:
                yield site
            finally:
                for gateway in site.gateways:
                    gateway.end()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for path in Path(folder).iterdir():
                        (Path(keep) / path.name).write_bytes(path.read_bytes())
                nursery.cancel_scope.cancel()


def main(play: Callable[[Site, bool], Awaitable[str]], folder: Path) -> None:
    """
    Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    ``play`` returns what broke the rule, or an empty text.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, end_all)

    async def run() -> str:
        record = Record(folder / "record.txt")
        try:
            with trio.fail_after(115.0):
                async with open_site(record) as site:
                    broken = await play(site, trouble)
            record.write("result", broken=broken or "nothing")
            return broken
        finally:
            record.close()

    try:
        broken = trio.run(run)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
