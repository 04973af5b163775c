"""
One connection to a target, a peer or the store, for one request at a time.

``h11`` parses the answers. Answers are matched by request id; an answer to an earlier
request, which some targets send late, is read and discarded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from ...core.serving.answers import ends_with_connection
from .chunks import ChunkError, ChunkReader
from .sockets import (
    abort,
    count_undelivered_bytes,
    is_idle,
    receive,
    reset,
    send,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ...core.addresses import Address

    Headers = Sequence[tuple[bytes, bytes]]
    OnInterim = Callable[[Headers], None]

RECEIVE_BYTES = 65_536
# Larger requests are sent while the answer is read concurrently, since it may arrive
# early.
MAX_INLINE_SEND_BYTES = 32_768
# Largest number of interim (1xx) heads before the head of the answer.
MAX_INTERIM_HEADS = 16
# Largest number of answers to earlier requests that are skipped on one connection.
MAX_STALE_ANSWERS = 2
# Largest number of request ids that are kept for a connection; with more it isn't reused.
MAX_CARRIED_IDS = 128


class BrokenAnswerError(Exception):
    """
    A request was sent, completely or in part, and no complete answer was received.

    It is unknown whether the request ran. ``connection_ended`` says that the other side
    ended the connection, rather than sending something wrong or nothing at all.
    """

    def __init__(self, reason: str, connection_ended: bool = False) -> None:
        super().__init__(reason)
        self.connection_ended = connection_ended


class Upstream:
    """A connection and the state of its current exchange."""

    def __init__(self, stream: trio.SocketStream, address: Address) -> None:
        self.stream = stream
        self.address = address
        self.exchanges = 0
        self.idle_since = 0.0
        self.idle_s: float | None = None
        # Whether the instance of the target on this connection is known.
        self.instance_checked = False
        # Whether the current answer has no framing and ends with its connection.
        self.ends_with_connection = False
        self._h11 = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._body = b""
        self._carried_ids: set[bytes] = set()
        self._request_sent = False
        # Whether no exchange is in progress.
        self._complete = True
        self._at_eof = False
        # Whether sending the request showed that the connection was reset.
        self._was_reset = False
        self._on_interim: OnInterim | None = None
        self._chunks: ChunkReader | None = None
        # Bytes of a chunked body that were received with its head.
        self._pending = b""

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request_id: bytes | None = None,
        on_interim: OnInterim | None = None,
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        """
        Send a request; return the status and headers of its answer.

        ``request_id`` is the id that the answer has to repeat; None if the other side
        isn't known to repeat it. ``on_interim`` is called with the headers of each
        interim answer. Raises BrokenAnswerError.
        """
        self._on_interim = on_interim
        self.exchanges += 1
        if request_id is not None:
            self._carried_ids.add(request_id)
        self._request_sent = self._complete = False
        self._request = h11.Request(method=method, target=target, headers=list(headers))
        self._body = body
        data = self._write_request()
        if len(data) <= MAX_INLINE_SEND_BYTES:
            await self._send(data)
            return await self._read_matching_head(request_id)
        return await self._send_and_read(data, request_id)

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the answer's body, or None at its end."""
        if self._chunks is not None:
            data = await self._read_chunks(self._chunks)
            self._complete = data is None and self._request_sent
            return data
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._complete = self._request_sent
                return None
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("the answer ended early", True)

    async def read_all(self, max_bytes: int) -> bytes:
        """Return the rest of the body; raises BrokenAnswerError over ``max_bytes``."""
        parts: list[bytes] = []
        size = 0
        while (data := await self.read_body()) is not None:
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise BrokenAnswerError(f"the answer is over {max_bytes} bytes")
        return b"".join(parts)

    def prepare_next(self) -> bool:
        """Reset the state for the next request; return whether one is possible."""
        if not self._request_sent or len(self._carried_ids) >= MAX_CARRIED_IDS:
            return False
        if self._chunks is not None:
            if not self._chunks.ended or self._chunks.trailing_data:
                return False
            self._chunks = None
            self._h11 = h11.Connection(h11.CLIENT)
            return True
        if self._h11.trailing_data != (b"", False):
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def can_identify(self, request_id: bytes | None) -> bool:
        """
        Whether answers to a request differ from those to earlier ones by their id.

        An answer to a request with an empty id names none.
        """
        if request_id is None or self.exchanges == 0:
            return True
        return request_id != b"" and request_id not in self._carried_ids

    def is_usable(self, now: float, margin_s: float) -> bool:
        """Whether an idle connection is likely to take another request."""
        if self.idle_s is not None and now - self.idle_since > self.idle_s - margin_s:
            return False
        return is_idle(self.stream)

    def count_undelivered_bytes(self) -> int:
        """Return how many bytes of requests the other side hasn't acknowledged."""
        return count_undelivered_bytes(self.stream)

    def close(self) -> None:
        """
        Close immediately, so that the other side cancels its work.

        Within an exchange, what the other side hasn't received of the request is
        discarded: it must not arrive after the request was given up.
        """
        if self._complete:
            abort(self.stream)
        else:
            reset(self.stream)

    async def _send(self, data: bytes) -> None:
        try:
            await send(self.stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._was_reset = not _follows_close(error)
            raise BrokenAnswerError(
                f"sending failed: {error}", _shows_end(error)
            ) from error
        self._request_sent = True

    async def _send_and_read(
        self, data: bytes, request_id: bytes | None
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        """
        Send the request and read the answer concurrently, since it may come early.

        A failure to send is raised only if there is no answer.
        """
        failures: list[BrokenAnswerError] = []
        heads: list[tuple[int, list[tuple[bytes, bytes]]]] = []

        async def send() -> None:
            try:
                await self._send(data)
            except BrokenAnswerError as error:
                failures.append(error)

        async def read() -> None:
            try:
                heads.append(await self._read_matching_head(request_id))
            except BrokenAnswerError as error:
                failures.append(error)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await read()
            nursery.cancel_scope.cancel()
        if heads:
            return heads[0]
        raise failures[0]

    async def _read_matching_head(
        self, request_id: bytes | None
    ) -> tuple[int, list[tuple[bytes, bytes]]]:
        for _ in range(MAX_STALE_ANSWERS + 1):
            head = await self._read_head()
            status, headers = head
            answered = dict(headers).get(b"request-id")
            if request_id is None or answered == request_id:
                return status, headers
            if answered is None:
                # It may be a duplicate of an answer to an earlier request.
                if self.exchanges > 1:
                    raise BrokenAnswerError(
                        f"the answer {status} names no request, on a connection that"
                        f" has carried {self.exchanges - 1} before"
                    )
                return status, headers
            await self._skip_stale_answer()
        raise BrokenAnswerError("the answers belong to other requests")

    async def _read_head(self) -> tuple[int, list[tuple[bytes, bytes]]]:
        for _ in range(MAX_INTERIM_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                assert self._request is not None
                self.ends_with_connection = ends_with_connection(
                    self._request.method, event.status_code, dict(headers)
                )
                self._start_chunk_reader(headers)
                return event.status_code, headers
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenAnswerError("the connection ended without an answer", True)
            if self._on_interim is not None:
                self._on_interim(list(event.headers))
        raise BrokenAnswerError(f"over {MAX_INTERIM_HEADS} interim heads came")

    def _start_chunk_reader(self, headers: Headers) -> None:
        """Have a chunked body decoded by ChunkReader instead of h11."""
        rest, ended = self._h11.trailing_data
        chunked = dict(headers).get(b"transfer-encoding", b"").lower() == b"chunked"
        if chunked and not ended and self._h11.their_state is h11.SEND_BODY:
            self._chunks = ChunkReader()
            self._pending = rest

    async def _read_chunks(self, chunks: ChunkReader) -> bytes | None:
        while not chunks.ended:
            data, self._pending = self._pending, b""
            data = data or await self._receive()
            if not data:
                raise BrokenAnswerError("the connection ended within the answer", True)
            try:
                body = chunks.feed(data)
            except ChunkError as error:
                raise BrokenAnswerError(f"the answer is wrong: {error}") from error
            if body:
                return body
        return None

    async def _skip_stale_answer(self) -> None:
        """Discard an answer to an earlier request and continue after its end."""
        while await self.read_body() is not None:
            pass
        self._complete = False
        rest, ended = self._h11.trailing_data
        if self._chunks is not None:
            rest, ended = self._chunks.trailing_data, False
            self._chunks = None
        self._h11 = h11.Connection(h11.CLIENT)
        self._write_request()
        if rest:
            self._h11.receive_data(rest)
        if ended:
            self._h11.receive_data(b"")

    def _write_request(self) -> bytes:
        """Pass the request to h11 and return its bytes."""
        assert self._request is not None
        data = self._h11.send(self._request) or b""
        if self._body:
            data += self._h11.send(h11.Data(data=self._body)) or b""
        return data + (self._h11.send(h11.EndOfMessage()) or b"")

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                if self._at_eof:
                    reason = "the connection ended before the answer was whole"
                else:
                    reason = f"the answer is wrong: {error}"
                raise BrokenAnswerError(reason, self._at_eof) from error
            if event is h11.PAUSED:
                raise BrokenAnswerError("the connection changed its protocol")
            if event is not h11.NEED_DATA:
                return event
            data = await self._receive()
            self._at_eof = not data
            self._h11.receive_data(data)

    async def _receive(self) -> bytes:
        """
        Return the next bytes, or no bytes if the other side has closed the connection.

        Linux reports a reset once. If the sending of the request has got it, reading
        returns what came before, and then the same end as after a close.
        """
        try:
            data = await receive(self.stream, RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            if _follows_close(error):
                return b""
            raise BrokenAnswerError(
                f"the connection broke: {error}", _shows_end(error)
            ) from error
        if not data and self._was_reset:
            raise BrokenAnswerError("the connection was reset", True)
        return data


def _follows_close(error: Exception) -> bool:
    """
    Whether an error shows a reset after the other side had closed its sending side.

    All that it had sent has arrived then. Linux reports EPIPE, and ECONNRESET otherwise.
    """
    return isinstance(error.__cause__, BrokenPipeError)


def _shows_end(error: Exception) -> bool:
    """Whether an error of a connection shows that the other side has ended."""
    return not isinstance(error.__cause__, TimeoutError)
