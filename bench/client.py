"""
A minimal HTTP client for measurements, with little overhead.

Connections are kept alive and reused, as the HTTP libraries of callers do::

    pool = Pool(address, key)
    async with pool.connect() as connection:
        sample = await connection.stream(build_body("hello", 16, stream=True))
"""

from __future__ import annotations

import json
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from standins.caller import MODEL, build_messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

RECEIVE_BYTES = 65_536
EVENT_PREFIX = b"data: "
CONTENT_KEY = b'"content":'
LAST_CHUNK = b"0\r\n\r\n"
DONE_MARK = b"[DONE]"


class UnexpectedAnswerError(Exception):
    """The answer is not a complete answer with status 200."""


@dataclass(frozen=True, slots=True)
class Sample:
    """The times, in seconds, and the number of events of one streamed answer."""

    first_token_s: float
    total_s: float
    events: int


@dataclass(slots=True)
class Connection:
    """A persistent connection to a host or an engine."""

    address: str
    key: str
    stream_socket: trio.SocketStream

    async def send(self, body: bytes) -> None:
        """Send one chat request."""
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\n"
            f"Host: {self.address}\r\nAuthorization: Bearer {self.key}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        await self.stream_socket.send_all(head.encode() + body)

    async def stream(
        self, body: bytes, on_events: Callable[[int], None] = lambda _: None
    ) -> Sample:
        """
        Send one request and read its stream to the end.

        ``on_events`` is called with the number of new events as they arrive.
        """
        started = time.perf_counter()
        await self.send(body)
        received = await self._receive_until(b"", CONTENT_KEY)
        first_token_s = time.perf_counter() - started
        events = received.count(EVENT_PREFIX)
        on_events(events)
        tail = received
        while not tail.endswith(LAST_CHUNK):
            chunk = await self._receive()
            new_events = _count_events(tail, chunk)
            events += new_events
            on_events(new_events)
            tail = (tail + chunk)[-len(LAST_CHUNK) - len(EVENT_PREFIX) :]
        return Sample(first_token_s, time.perf_counter() - started, events)

    async def complete(self, body: bytes) -> None:
        """Send one request and read the complete answer."""
        await self.send(body)
        received = await self._receive_until(b"", b"\r\n\r\n")
        head, _, rest = received.partition(b"\r\n\r\n")
        _require_ok(head)
        length = _read_length(head)
        while len(rest) < length:
            rest += await self._receive()

    async def _receive_until(self, received: bytes, mark: bytes) -> bytes:
        while mark not in received:
            received += await self._receive()
            _require_ok(received)
        return received

    async def _receive(self) -> bytes:
        chunk = bytes(await self.stream_socket.receive_some(RECEIVE_BYTES))
        if not chunk:
            raise UnexpectedAnswerError("the connection ended early")
        return chunk


@dataclass(slots=True)
class Pool:
    """A pool of persistent connections to one address."""

    address: str
    key: str = ""
    idle: list[Connection] = field(default_factory=list)

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[Connection]:
        """Provide a connection and return it to the pool unless the body raises."""
        connection = self.idle.pop() if self.idle else await self._open()
        try:
            yield connection
        except BaseException:
            await trio.aclose_forcefully(connection.stream_socket)
            raise
        self.idle.append(connection)

    async def _open(self) -> Connection:
        host, _, port = self.address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        return Connection(self.address, self.key, stream)


def build_body(text: str, max_tokens: int, *, stream: bool) -> bytes:
    """Return the body of a chat request."""
    return json.dumps(
        {
            "model": MODEL,
            "messages": build_messages(text),
            "max_tokens": max_tokens,
            "stream": stream,
        }
    ).encode()


def _count_events(tail: bytes, chunk: bytes) -> int:
    """Count the events that start in ``chunk`` or straddle its beginning."""
    boundary = tail[-len(EVENT_PREFIX) + 1 :] + chunk[: len(EVENT_PREFIX) - 1]
    return chunk.count(EVENT_PREFIX) + boundary.count(EVENT_PREFIX)


def _require_ok(received: bytes) -> None:
    if not received.startswith(b"HTTP/1.1 200"):
        raise UnexpectedAnswerError(received[:500].decode(errors="replace"))


def _read_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    raise UnexpectedAnswerError("an answer without a length")
