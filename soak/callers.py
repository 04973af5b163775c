"""
Callers that send one request after another and record the outcomes.

They get the hosts from the directory, keep connections open until a host closes
them, and sometimes disconnect before their answer has arrived.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson
import trio

from standins.site import HOST, Answer, read_answer

from .answers import EVENT_END, RequestKind, Work, sign, write_path
from .fatal import SHARED_PART, SOUND_PARTS, write_prompt_headers

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

# Deadline in requests; several times the routes' latency objective of 0.4 s.
DEADLINE_S = 3.0
# Time after the deadline at which callers stop waiting for an answer.
ANSWER_GRACE_S = 2.0
# Time-outs for a connection and a directory's answer, those of the platform's
# callers.
CONNECT_TIMEOUT_S = 1.0
DIRECTORY_TIMEOUT_S = 1.0
# Longest pause between two requests of a caller; also the pause after no host
# accepted a connection.
MAX_PAUSE_S = 0.05
# Share of requests whose caller disconnects early, and the range of the time after
# which it does, in seconds.
DISCONNECT_SHARE = 0.05
DISCONNECT_AFTER_S = (0.01, 0.3)
# Tries of a caller to go on with one stream.
MAX_TAKE_UPS = 3
# A persistent connection is closed after this many requests.
MAX_REQUESTS_PER_CONNECTION = 20
# Range of the pauses of callers that keep their connections, as parts of the idle limit;
# clients reuse connections that have been idle for four fifths of it.
KEPT_IDLE_PARTS = (0.7, 0.8)
SIZES = {
    RequestKind.SAFE: (10, 900, 60_000),
    RequestKind.UNSAFE: (10, 900),
    RequestKind.STREAM: (3, 20),
    RequestKind.RESUMED: (3, 20),
}


@dataclass(slots=True)
class Outcome:
    """
    The outcome of one request.

    Times are of the machine's monotonic clock, in seconds. ``answer`` has the part
    received, with status 0 if there was none; ``end`` describes how the exchange
    ended without a complete answer. ``parts`` are the shared parts of its prompt. ``headers``
    are lines that it carries besides, ``key`` is the key among them and ``tokens`` the sum
    that it states, if any. ``refusable`` says that a sound host may refuse it at any time,
    for its key or the limit of its team.
    If it takes up a stream, it asks for events from ``first_event`` on, and ``resumes`` is
    the request that brought the first one. ``kept`` says that its connection had carried
    another before.
    """

    id: str
    work: Work
    host: str
    sent_at: float
    route: str = "v0"
    answer: Answer = field(default_factory=Answer)
    end: str = ""
    disconnected: bool = False
    ended_at: float = 0.0
    parts: tuple[str, ...] = ()
    first_event: int = 1
    resumes: str = ""
    kept: bool = False
    headers: tuple[str, ...] = ()
    key: str = ""
    tokens: int | None = None
    refusable: bool = False


@dataclass(frozen=True, slots=True)
class HostEndpoints:
    """The addresses of a host: its directory, and the proxy for callers."""

    host: str
    region: str
    zone: str
    directory: tuple[str, int]
    # The address that directories list, and that of the proxy in front of it.
    public_address: str
    proxy_address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """The addresses that a directory listed, for the check of stale entries."""

    at: float
    by: str
    addresses: tuple[str, ...]


@dataclass(slots=True)
class CallerLog:
    """State: the outcomes of all callers of a run."""

    outcomes: list[Outcome] = field(default_factory=list)
    directory_answers: list[DirectoryAnswer] = field(default_factory=list)
    sent: int = 0

    def next_id(self) -> str:
        """Return the id of a new request."""
        self.sent += 1
        return f"r{self.sent:06d}"


@dataclass(slots=True)
class Caller:
    """
    State of one caller: its random generator and persistent connection.

    With ``with_prompts``, its streams have prompts with shared parts. With ``takes_up``
    it goes on with resumable streams that have broken off. ``kinds`` are those of its
    requests, ``max_pause_s`` bounds the pause between two of them. With ``idle_s``, the
    idle limit of hosts, it keeps its connection until a host closes it, and every other
    pause on average is nearly as long as the limit allows. ``identify`` gives each request
    its key.
    """

    caller_log: CallerLog
    endpoints: Sequence[HostEndpoints]
    home: HostEndpoints
    random: random.Random
    with_prompts: bool = False
    takes_up: bool = False
    kinds: tuple[RequestKind, ...] = tuple(RequestKind)
    max_pause_s: float = MAX_PAUSE_S
    idle_s: float = 0.0
    identify: Callable[[Outcome], None] | None = None
    stream: trio.SocketStream | None = None
    connected: HostEndpoints | None = None
    requests_sent: int = 0

    async def run(self, is_active: Callable[[], bool]) -> None:
        """Send requests as long as ``is_active()`` holds."""
        while is_active():
            kind = self.random.choice(self.kinds)
            work = Work(kind, self.random.choice(SIZES[kind]))
            disconnect_after_s = None
            if self.random.random() < DISCONNECT_SHARE:
                disconnect_after_s = self.random.uniform(*DISCONNECT_AFTER_S)
            outcome = await self.ask(work, disconnect_after_s)
            if self.takes_up and work.kind is RequestKind.RESUMED:
                await self._take_up(outcome)
            await trio.sleep(self._draw_pause())
        self.close()

    def _draw_pause(self) -> float:
        if self.idle_s and self.random.random() < 0.5:
            return self.idle_s * self.random.uniform(*KEPT_IDLE_PARTS)
        return self.max_pause_s * self.random.random()

    async def _take_up(self, outcome: Outcome) -> None:
        """Go on with a stream that has broken off, at any host."""
        stream = outcome.id
        next_event = 1
        for _ in range(MAX_TAKE_UPS):
            if outcome.answer.whole or outcome.disconnected or not outcome.id:
                return
            next_event += outcome.answer.body.count(EVENT_END)
            if next_event == 1 or next_event > outcome.work.size:
                return
            self.close()
            outcome = await self.ask(outcome.work, None, (stream, next_event))

    async def ask(
        self,
        work: Work,
        disconnect_after_s: float | None = None,
        takes_up: tuple[str, int] = ("", 1),
    ) -> Outcome:
        """
        Send one request and record its outcome.

        ``takes_up`` is the request that began a stream, and the event to go on with.
        """
        if not await self._connect():
            return Outcome("", work, "", time.monotonic(), end="no host")
        assert self.stream is not None
        assert self.connected is not None
        request_id = self.caller_log.next_id()
        outcome = Outcome(request_id, work, self.connected.host, time.monotonic())
        outcome.resumes, outcome.first_event = takes_up
        outcome.kept = self.requests_sent > 0
        if self.with_prompts and work.kind.is_stream:
            outcome.parts = (SHARED_PART, self.random.choice(SOUND_PARTS))
        if self.identify is not None:
            self.identify(outcome)
        self.caller_log.outcomes.append(outcome)
        limit_s = (
            DEADLINE_S + ANSWER_GRACE_S
            if disconnect_after_s is None
            else disconnect_after_s
        )
        with trio.move_on_after(limit_s) as scope:
            await exchange(self.stream, outcome)
        if scope.cancelled_caught:
            outcome.disconnected = disconnect_after_s is not None
            outcome.end = "left" if outcome.disconnected else "no answer in time"
        outcome.ended_at = time.monotonic()
        self.requests_sent += 1
        worn = not self.idle_s and self.requests_sent >= MAX_REQUESTS_PER_CONNECTION
        if worn or not outcome.answer.kept:
            self.close()
        return outcome

    def close(self) -> None:
        """Close the persistent connection."""
        if self.stream is not None:
            self.stream.socket.close()
        self.stream, self.connected, self.requests_sent = None, None, 0

    async def _connect(self) -> bool:
        """Connect unless connected; return False if no host accepts."""
        if self.stream is not None:
            return True
        addresses = await self._resolve()
        self.random.shuffle(addresses)
        by_address = {
            endpoints.public_address: endpoints for endpoints in self.endpoints
        }
        for address in addresses[:3]:
            endpoints = by_address[address]
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                try:
                    self.stream = await trio.open_tcp_stream(*endpoints.proxy_address)
                except OSError:
                    continue
                self.connected = endpoints
                return True
        await trio.sleep(MAX_PAUSE_S)
        return False

    async def _resolve(self) -> list[str]:
        """Query up to three directories, those of the local region first."""
        local = [d for d in self.endpoints if d.region == self.home.region]
        remote = [d for d in self.endpoints if d.region != self.home.region]
        self.random.shuffle(local)
        self.random.shuffle(remote)
        for endpoints in (local + remote)[:3]:
            with trio.move_on_after(DIRECTORY_TIMEOUT_S):
                addresses = await query_directory(endpoints, self.home)
                if addresses:
                    now = time.monotonic()
                    self.caller_log.directory_answers.append(
                        DirectoryAnswer(now, endpoints.host, addresses)
                    )
                    return list(addresses)
        return []


async def query_directory(
    endpoints: HostEndpoints, home: HostEndpoints
) -> tuple[str, ...]:
    """Return the addresses that a host's directory lists; none if it fails."""
    path = f"/lycheepath/resolve?name={HOST}&region={home.region}&zone={home.zone}"
    try:
        stream = await trio.open_tcp_stream(*endpoints.directory)
        async with stream:
            await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = await read_answer(stream)
    except (OSError, trio.BrokenResourceError):
        return ()
    if not answer.whole or answer.status != 200:
        return ()
    return tuple(orjson.loads(answer.body)["addresses"])


async def exchange(stream: trio.SocketStream, outcome: Outcome) -> None:
    """Send a request and read its answer."""
    work = outcome.work
    body = b"x" * 40 if work.kind is RequestKind.UNSAFE else b""
    lines = [
        f"{'POST' if body else 'GET'} {write_path(work, outcome.route)} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {outcome.id}",
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    if outcome.resumes:
        lines.append(f"Last-Event-Id: {outcome.first_event - 1}")
        lines.append(f"Resumes: {outcome.resumes}")
    if outcome.parts:
        lines += write_prompt_headers(outcome.parts, outcome.id)
    lines += outcome.headers
    head = "\r\n".join([*lines, "", ""]).encode()
    try:
        await stream.send_all(head + body)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        outcome.end = "reset"
        return
    await read_answer(stream, outcome.answer)
    outcome.end = outcome.answer.end


def is_signed(outcome: Outcome) -> bool:
    """Whether an answer has the target's signature for the request."""
    signature = outcome.answer.headers.get("response-signature")
    return signature == sign(outcome.id)


def describe_outcome(outcome: Outcome) -> str:
    """Return a line on a request for violations; it shows no key."""
    work = outcome.work
    return (
        f"{outcome.id} ({work.kind.value} {work.size}) at {outcome.host},"
        f" sent {outcome.sent_at:.3f}, status {outcome.answer.status}, {outcome.end or 'ended'}"
    )


def summarise(outcomes: Sequence[Outcome]) -> dict[str, int]:
    """Count outcomes by their status, or by how they ended without one."""
    counts = Counter(str(each.answer.status or each.end) for each in outcomes)
    return dict(sorted(counts.items()))
