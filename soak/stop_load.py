"""
Targets that fall silent for a moment, and callers that stay at a host until it is gone.

Both record what they do for the checks (``soak/stop_checks.py``)::

    records = Records()
    await add_targets(site, records, seed=7)
    await call(records, hosts, 0, random.Random(7))
"""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from standins.pausing_target import STREAM_HEAD
from standins.site import (
    Answer,
    Seen,
    Site,
    answer_text,
    make_route,
    read_answer,
    write_chunk,
    write_request,
)

from .stop_checks import Request, Run, Stop, write_body, write_event
from .stop_plan import ZONES

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from standins.host_processes import HostProcess

TARGETS_PER_ZONE = 2
SLOTS = 64
# Time for each event, chance that it is late, and by how much.
EVENT_S = 0.06
LATE_SHARE = 0.08
LATE_S = (0.6, 1.4)
QUICK_S = 0.02
# Time that a caller waits longer than its deadline, and its pauses.
PATIENCE_S = 1.0
PAUSE_S = (0.01, 0.15)
# Every so many callers one reads slowly: so much at a time, with a pause after it.
SLOW_CALLERS = 3
SLOW_READ_BYTES = 16_384
SLOW_READ_PAUSE_S = 0.06


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: its route, the events of its answer, and its deadline."""

    prefix: str
    kind: str
    events: int
    deadline_s: float
    resumable: bool = False
    max_attempts: int = 1
    event_bytes: int = 0


SHORT = Kind("/short/", "streaming", 9, 5.0)
LONG = Kind("/long/", "streaming", 49, 12.0, resumable=True, max_attempts=2)
LARGE = Kind("/large/", "streaming", 20, 8.0, event_bytes=60_000)
QUICK = Kind("/quick/", "unsafe", 0, 5.0)
KINDS = (SHORT, SHORT, SHORT, LONG, LARGE, QUICK)


@dataclass
class Records:
    """State: what was sent, worked on and stopped."""

    requests: list[Request] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)


class SlowReader(trio.abc.ReceiveStream):
    """A connection that is read slowly; its kernel holds little of what has come."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return some bytes, a moment later."""
        data = await self._stream.receive_some(SLOW_READ_BYTES)
        await trio.sleep(SLOW_READ_PAUSE_S)
        return bytes(data)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


def make_behaviour(records: Records, draw: random.Random) -> Callable[..., object]:
    """Return the behaviour of targets that are sound, and silent now and then."""

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        since = trio.current_time()
        request_id = seen.headers["request-id"]
        try:
            kind = next(each for each in KINDS if seen.target.startswith(each.prefix))
            if kind.events:
                first = int(seen.headers.get("last-event-id", "0"))
                await send_events(stream, request_id, first, kind)
            else:
                await trio.sleep(QUICK_S)
                await answer_text(write_body(request_id, 0))(seen, stream)
        finally:
            records.runs.append(Run(request_id, since, trio.current_time()))

    async def send_events(
        stream: trio.SocketStream, request_id: str, first: int, kind: Kind
    ) -> None:
        await stream.send_all(STREAM_HEAD.format(request_id).encode())
        for number in range(first, kind.events):
            late_s = draw.uniform(*LATE_S) if draw.random() < LATE_SHARE else 0.0
            await trio.sleep(EVENT_S + late_s)
            event = write_event(request_id, number, kind.event_bytes)
            await stream.send_all(write_chunk(event))
        await stream.send_all(b"0\r\n\r\n")

    return behave


async def call(
    records: Records, hosts: Sequence[HostProcess], number: int, draw: random.Random
) -> None:
    """Send requests to one host; to another only while that accepts no connection."""
    home = hosts[number % len(hosts)].settings
    keeps = number // len(hosts) % 2 == 0
    is_slow = number % SLOW_CALLERS == 0
    settings, sent = home, 0
    while True:
        try:
            stream = await trio.open_tcp_stream(
                settings.callers.ip, settings.callers.port
            )
        except OSError:
            settings = draw.choice(hosts).settings
            await trio.sleep(draw.uniform(*PAUSE_S))
            continue
        async with stream:
            kept = True
            while kept:
                request_id = f"r{number}-{sent}"
                sent += 1
                kind = draw.choice(KINDS)
                reader = SlowReader(stream) if is_slow else stream
                answer = await ask(
                    records, settings.host, stream, reader, request_id, kind
                )
                kept = keeps and answer.kept and settings is home
                await trio.sleep(draw.uniform(*PAUSE_S))
        settings = home


async def ask(
    records: Records,
    host: str,
    stream: trio.SocketStream,
    reader: trio.abc.ReceiveStream,
    request_id: str,
    kind: Kind,
) -> Answer:
    """Send a request on a connection, and record it with its answer."""
    answer = Answer()
    headers = {"deadline-ms": f"{kind.deadline_s * 1000.0:.0f}"}
    request = write_request(b"POST", f"{kind.prefix}1", b"x", request_id, headers)
    sent_at = trio.current_time()
    with trio.move_on_after(kind.deadline_s + PATIENCE_S):
        try:
            await stream.send_all(request)
            await read_answer(reader, answer)
        except trio.BrokenResourceError:
            answer.end = "reset"
    records.requests.append(
        Request(
            request_id,
            host,
            sent_at,
            trio.current_time(),
            kind.deadline_s,
            kind.events,
            answer.status,
            answer.whole,
            answer.body,
            kind.event_bytes,
        )
    )
    return answer


async def add_targets(site: Site, records: Records, seed: int) -> None:
    """Start sound targets in all zones, and configure a route for each kind."""
    for number in range(TARGETS_PER_ZONE * len(ZONES)):
        draw = random.Random(f"stops/{seed}/target/{number}")
        behave = make_behaviour(records, draw)
        zone = ZONES[number % len(ZONES)]
        await site.add_target("books", behave, zone=zone, slots=SLOTS)
    site.configure(
        *(
            make_route(
                "books",
                each.kind,
                each.prefix,
                timeout_ms=int(each.deadline_s * 1000),
                gap_aim_ms=400,
                resumable=each.resumable,
                max_attempts=each.max_attempts,
            )
            for each in dict.fromkeys(KINDS)
        )
    )
