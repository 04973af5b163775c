"""
Targets of a service that stream, end as processes do, and come back as new instances.

Each event names the software version of its target. A target cuts some streams midway,
if it is told to.

A target ends as soon as it begins to write an answer to a request with a part of
``fatal_parts`` in its prompt, except as the last part: all its connections close and
new ones are refused. Its entry lapses, and it is back under a new id a moment later::

    service = StreamService(site, "books", fatal_parts=frozenset({"bad"}))
    await service.add_target()
    load = await ask_for_streams(site, nodes, draw_parts, per_second=20.0, seconds=9.0)
    service.count_late_fatal(after_s=6.0)
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

import h11
import orjson
import trio

from .rates import run_at_rate
from .site import Answer, Seen, Site, make_entry, read_request

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .host_processes import Host

HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.1\r\n"
    "Content-Type: text/event-stream\r\n{framing}\r\n"
)
CHUNKED = "Transfer-Encoding: chunked\r\n"
# Path and tokens of the requests.
PATH = "/books/stream"
PART_TOKENS = 50


@dataclass(frozen=True)
class Arrival:
    """A request that reached a target, with its parts that others may share."""

    at: float
    target: str
    request_id: str
    parts: tuple[str, ...]


@dataclass
class StreamTarget:
    """
    A place where instances of the service run, one after the other.

    ``version`` is that of the instances that start from now on, ``started_version`` that
    of the one that runs. With ``keeps_id`` they all have the same id.
    """

    zone: str
    version: str = "v1"
    started_version: str = "v1"
    keeps_id: bool = False
    address: str = ""
    id: str = ""
    born_ms: int = 0
    removed: bool = False
    held: set[str] = field(default_factory=set)
    ending: trio.Event = field(default_factory=trio.Event)


@dataclass
class StreamService:
    """
    State: the targets of one service, what reached them, and when they ended.

    Each answer has ``events`` events, the first after ``prefill_s``, the others
    ``event_s`` apart. With ``framed`` false it has no framing and ends with its
    connection. A share of ``cut_share`` of them is cut midway. A target that ends has
    written ``events_before_end`` events of the answer under which it ends.
    """

    site: Site
    service: str
    fatal_parts: frozenset[str] = frozenset()
    events: int = 6
    event_s: float = 0.02
    prefill_s: float = 0.03
    framed: bool = True
    events_before_end: int = 0
    cut_share: float = 0.0
    random: random.Random = field(default_factory=lambda: random.Random(1))
    lapse_s: float = 0.6
    down_s: float = 0.4
    targets: list[StreamTarget] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    ended_at: list[float] = field(default_factory=list)
    lists_sent: int = 0
    _instances: int = 0

    async def add_target(
        self, zone: str = "east-a", version: str = "v1", keeps_id: bool = False
    ) -> StreamTarget:
        """Start a target, and keep it running until the test ends."""
        target = StreamTarget(zone, version, keeps_id=keeps_id)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        ip, port = listeners[0].socket.getsockname()
        target.address = f"{ip}:{port}"
        self.targets.append(target)
        self.site.nursery.start_soon(self._run, target, listeners)
        return target

    def count_late_fatal(self, after_s: float, ends: int = 5) -> int:
        """
        Return how many fatal requests came later than ``after_s`` after an end.

        The end that counts is the one with the number ``ends``.
        """
        if len(self.ended_at) < ends:
            return 0
        since = sorted(self.ended_at)[ends - 1] + after_s
        return sum(
            arrival.at > since and not self.fatal_parts.isdisjoint(arrival.parts)
            for arrival in self.arrivals
        )

    async def _run(
        self, target: StreamTarget, listeners: list[trio.SocketListener]
    ) -> None:
        port = listeners[0].socket.getsockname()[1]
        while not target.removed:
            self._instances += 1
            if not target.id or not target.keeps_id:
                target.id = f"{self.service}-{self._instances}"
            target.started_version = target.version
            target.held.clear()
            target.born_ms = self._instances
            target.ending = trio.Event()
            async with trio.open_nursery() as nursery:
                serve = partial(self._serve, target, target.id)
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                self._announce(target)
                await target.ending.wait()
                self.ended_at.append(trio.current_time())
                nursery.cancel_scope.cancel()
            await trio.sleep(self.lapse_s)
            self.site.store.remove(f"servers/{target.id}")
            await trio.sleep(self.down_s)
            if target.removed:
                return
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")

    async def remove_target(self, target: StreamTarget, drain_s: float) -> None:
        """Announce that a target leaves, and end it for good after a while."""
        self._announce(target, state="draining", seq=2)
        await trio.sleep(drain_s)
        target.removed = True
        target.ending.set()

    async def _send_json(self, stream: trio.SocketStream, value: Any) -> None:
        body = orjson.dumps(value)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode() + body)

    def _announce(self, target: StreamTarget, **more: Any) -> None:
        fields = {"slots": 64, "version": target.version, "born": target.born_ms}
        entry = make_entry(self.service, target.address, target.zone, **(fields | more))
        self.site.store.put(f"servers/{target.id}", entry)

    async def _serve(
        self, target: StreamTarget, instance: str, stream: trio.SocketStream
    ) -> None:
        try:
            while (
                seen := await read_request(h11.Connection(h11.SERVER), stream)
            ) is not None:
                if not await self._answer(target, instance, seen, stream):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            stream.socket.close()

    async def _answer(
        self,
        target: StreamTarget,
        instance: str,
        seen: Seen,
        stream: trio.SocketStream,
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        if seen.target.endswith("/kv-list"):
            self.lists_sent += 1
            held = [["", part, PART_TOKENS, "m"] for part in sorted(target.held)]
            await self._send_json(stream, {"epoch": 1, "next": 1, "held": held})
            return True
        if seen.target.endswith("/report"):
            await self._send_json(stream, {"born": target.born_ms, "stage": "both"})
            return True
        request_id = seen.headers["request-id"]
        if seen.headers.get("expect-instance", instance) != instance:
            refusal = f"HTTP/1.1 421 X\r\nRequest-Id: {request_id}\r\n"
            await stream.send_all(f"{refusal}Content-Length: 0\r\n\r\n".encode())
            return True
        parts = read_shared_parts(seen.headers.get("prompt-prefix", ""))
        target.held.update(list_parts(seen.headers.get("prompt-prefix", "")))
        at = trio.current_time()
        self.arrivals.append(Arrival(at, instance, request_id, parts))
        await trio.sleep(self.prefill_s)
        framing = CHUNKED if self.framed else ""
        head = HEAD.format(id=request_id, framing=framing).encode()
        await stream.send_all(head)
        fatal = not self.fatal_parts.isdisjoint(parts)
        first = int(seen.headers.get("last-event-id", "0")) + 1
        last = first - 1 + self.events_before_end if fatal else self.events
        cut = self.random.random() < self.cut_share
        cut_at = self.random.randint(first + 1, last) if cut and first < last else 0
        for number in range(first, last + 1):
            if number == cut_at:
                return False
            await self._send_event(stream, number, target.started_version)
            await trio.sleep(self.event_s)
        if fatal:
            target.ending.set()
            await trio.sleep_forever()
        if self.framed:
            await stream.send_all(b"0\r\n\r\n")
        return self.framed

    async def _send_event(
        self, stream: trio.SocketStream, number: int, version: str
    ) -> None:
        event = b"id: %d\ndata: %s\n\n" % (number, version.encode())
        if self.framed:
            event = b"%x\r\n%s\r\n" % (len(event), event)
        await stream.send_all(event)


@dataclass(frozen=True)
class StreamOutcome:
    """One request of a caller with its answer."""

    sent_at: float
    parts: tuple[str, ...]
    host: str
    answer: Answer

    @property
    def served(self) -> bool:
        """Whether the answer is a complete stream."""
        return self.answer.status == 200 and self.answer.whole


def read_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts but the last in a ``Prompt-Prefix`` header."""
    return list_parts(text)[:-1]


def list_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts in a ``Prompt-Prefix`` header."""
    return tuple(entry.split(":")[0] for entry in text.split(",") if entry)


async def ask_for_streams(
    site: Site,
    nodes: Sequence[Host],
    parts: Callable[[int], tuple[str, ...]],
    per_second: float,
    seconds: float,
) -> list[StreamOutcome]:
    """
    Send requests to hosts in turn at a steady rate; return the outcomes.

    ``parts`` returns the shared parts of a request by its number. ``nodes`` may change
    meanwhile. No two requests have the same body or the same last part.
    """
    outcomes: list[StreamOutcome] = []

    async def ask(number: int) -> None:
        node = nodes[number % len(nodes)]
        shared = parts(number)
        sent_at = trio.current_time()
        name = f"{number}-{sent_at:.4f}"
        entries = [f"{part}:{PART_TOKENS}" for part in (*shared, f"own-{name}")]
        headers = {
            "model": "m",
            "token-usage": f"{PART_TOKENS * len(entries)},20",
            "prompt-prefix": ",".join(entries),
        }
        try:
            answer = await site.ask(node, b"POST", PATH, name.encode(), name, headers)
        except OSError:
            answer = Answer(end="refused")
        host = node.settings.host
        outcomes.append(StreamOutcome(sent_at, shared, host, answer))

    await run_at_rate(per_second, seconds, ask)
    return outcomes
