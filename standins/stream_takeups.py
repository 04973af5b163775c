"""
Callers that take up streams which have broken off, and what they got.

A caller goes on at any host with the last event that it has, and names the request
that brought the first one::

    takers = TakeUps(site, nodes, random.Random(1))
    await takers.follow_streams(per_second=20.0, seconds=6.0)
    takers.count_joined()
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from .rates import run_at_rate
from .site import HOST, Answer, Site, read_answer

if TYPE_CHECKING:
    import random

    from lycheepath.gateway.node import GatewayNode

PATH = "/books/stream"
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
# Time that a caller waits in all, and before it comes back after a broken stream.
DEADLINE_S = 6.0
PAUSE_S = 0.05
# Tries of a caller after its first one.
MAX_RETRIES = 6


@dataclass
class FollowedStream:
    """
    One stream over all tries of its caller.

    ``take_ups`` counts the tries that took it up, ``went_on`` those that brought at least
    one event, ``refused`` those that were answered 503 or 429.
    """

    name: str
    versions: list[str] = field(default_factory=list)
    last_event: int = 0
    first_request: str = ""
    begun: bool = False
    complete: bool = False
    take_ups: int = 0
    went_on: int = 0
    refused: int = 0
    out_of_order: bool = False

    @property
    def joined(self) -> bool:
        """Whether its events are from several versions."""
        return len(set(self.versions)) > 1


@dataclass
class TakeUps:
    """State: the streams that callers have followed. ``nodes`` may change meanwhile."""

    site: Site
    nodes: list[GatewayNode]
    random: random.Random
    streams: list[FollowedStream] = field(default_factory=list)

    async def follow_streams(self, per_second: float, seconds: float) -> None:
        """Start streams at a steady rate and follow each to its end."""
        await run_at_rate(per_second, seconds, self._follow)

    def count_joined(self) -> int:
        """Return the number of streams with events of several versions."""
        return sum(stream.joined for stream in self.streams)

    def find_share_begun(self) -> float:
        """Return the share of streams that began."""
        return sum(s.begun for s in self.streams) / len(self.streams)

    def find_share_gone_on(self) -> float:
        """Return the share of take-ups that brought an event."""
        take_ups = sum(stream.take_ups for stream in self.streams)
        return sum(stream.went_on for stream in self.streams) / max(1, take_ups)

    async def _follow(self, number: int) -> None:
        stream = FollowedStream(f"{number}-{trio.current_time():.4f}")
        self.streams.append(stream)
        deadline = trio.current_time() + DEADLINE_S
        tries = 0
        while tries <= MAX_RETRIES and trio.current_time() < deadline:
            # A host that isn't there gets no try.
            tries += await self._ask(stream, f"{stream.name}/{tries}", deadline)
            if stream.complete:
                return
            await trio.sleep(PAUSE_S)

    async def _ask(
        self, stream: FollowedStream, request_id: str, deadline: float
    ) -> bool:
        """Send one request; return whether a host took the connection."""
        left_s = deadline - trio.current_time()
        headers = {
            "request-id": request_id,
            "deadline-ms": str(int(left_s * 1000)),
            "model": "m",
            "token-usage": "100,20",
            "prompt-prefix": f"shared:50,own-{stream.name}:50",
            "content-length": "1",
        }
        takes_up = stream.last_event > 0
        if takes_up:
            headers["last-event-id"] = str(stream.last_event)
            headers["resumes"] = stream.first_request
        answer = Answer()
        connected = False
        with trio.move_on_after(left_s):
            connected = await self._exchange(headers, answer)
        stream.take_ups += connected and takes_up
        if answer.status in (429, 503):
            stream.refused += 1
        if answer.status != 200:
            return connected
        events = EVENT.findall(answer.body)
        for number, version in events:
            if int(number) != stream.last_event + 1:
                stream.out_of_order = True
            stream.last_event = int(number)
            stream.versions.append(version.decode())
        if events and not takes_up:
            stream.first_request = request_id
            stream.begun = True
        stream.went_on += takes_up and (bool(events) or answer.whole)
        stream.complete = answer.whole
        return True

    async def _exchange(self, headers: dict[str, str], answer: Answer) -> bool:
        address = self.random.choice(self.nodes).settings.callers
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([f"POST {PATH} HTTP/1.1", f"host: {HOST}", *lines, "", ""])
        try:
            stream = await trio.open_tcp_stream(address.ip, address.port)
        except OSError:
            return False
        async with stream:
            try:
                await stream.send_all(head.encode() + b"x")
                await read_answer(stream, answer)
            except trio.BrokenResourceError:
                return True
        return True
