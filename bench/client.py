"""
A bare HTTP client for measurements: it adds little time of its own.

Connections are kept and used again, as callers' libraries do::

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
EVENT_MARK = b"data: "
TOKEN_MARK = b'"content":'
LAST_CHUNK = b"0\r\n\r\n"
DONE_MARK = b"[DONE]"


class UnexpectedAnswerError(Exception):
    """An answer other than a whole stream."""


@dataclass(frozen=True, slots=True)
class Sample:
    """One streamed answer; times in seconds."""

    first_token_s: float
    total_s: float
    events: int


@dataclass(slots=True)
class Connection:
    """One kept connection to a host or an engine."""

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

        ``on_events`` is told how many events have come, as they come.
        """
        started = time.perf_counter()
        await self.send(body)
        received = await self._receive_past(b"", TOKEN_MARK)
        first_token_s = time.perf_counter() - started
        events = received.count(EVENT_MARK)
        on_events(events)
        tail = received
        while not tail.endswith(LAST_CHUNK):
            piece = await self._receive()
            arrived = _count_events(tail, piece)
            events += arrived
            on_events(arrived)
            tail = (tail + piece)[-len(LAST_CHUNK) - len(EVENT_MARK) :]
        return Sample(first_token_s, time.perf_counter() - started, events)

    async def complete(self, body: bytes) -> None:
        """Send one request and read its whole answer."""
        await self.send(body)
        received = await self._receive_past(b"", b"\r\n\r\n")
        head, _, rest = received.partition(b"\r\n\r\n")
        _require_ok(head)
        length = _read_length(head)
        while len(rest) < length:
            rest += await self._receive()

    async def _receive_past(self, received: bytes, mark: bytes) -> bytes:
        while mark not in received:
            received += await self._receive()
            _require_ok(received)
        return received

    async def _receive(self) -> bytes:
        piece = bytes(await self.stream_socket.receive_some(RECEIVE_BYTES))
        if not piece:
            raise UnexpectedAnswerError("the connection ended early")
        return piece


@dataclass(slots=True)
class Pool:
    """Kept connections to one address."""

    address: str
    key: str = ""
    idle: list[Connection] = field(default_factory=list)

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[Connection]:
        """Provide a connection, kept for the next user unless it fails."""
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


def _count_events(tail: bytes, piece: bytes) -> int:
    """Count the events that begin in ``piece``, or at the seam before it."""
    seam = tail[-len(EVENT_MARK) + 1 :] + piece[: len(EVENT_MARK) - 1]
    return piece.count(EVENT_MARK) + seam.count(EVENT_MARK)


def _require_ok(received: bytes) -> None:
    if not received.startswith(b"HTTP/1.1 200"):
        raise UnexpectedAnswerError(received[:500].decode(errors="replace"))


def _read_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    raise UnexpectedAnswerError("an answer without a length")
