"""
One connection from a caller, served one request at a time.

A task reads the connection while requests are served, so that a disconnect of the
caller is noticed at once. Pipelined requests are buffered up to a limit.
"""

from __future__ import annotations

import contextlib
import os
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11
import trio

from ...core.limits.buffers import BufferBudget, BufferShare
from ..events import record_event
from .limits import BadRequestError, ReadLimits, estimate_head_bytes
from .sockets import (
    abort,
    count_undelivered_bytes,
    count_unread_bytes,
    has_ended,
    is_idle,
    receive,
    reset,
    send,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Sequence

    Headers = Sequence[tuple[bytes, bytes]]

RECEIVE_BYTES = 65_536
# Largest number of bytes that are read from a caller before they are needed.
READ_AHEAD_BYTES = 65_536
# Timeout for sending the answer to a request that can't be parsed.
ERROR_ANSWER_TIMEOUT_S = 1.0
# Time after which a caller may come again whose body there was no room for.
NO_ROOM_RETRY_S = 1.0
# Status of an answer after a fault: the request may have run.
FAULT_STATUS = 502
# Time for which the rest of what a caller sends is discarded after the last answer: a
# connection that is closed with unread bytes is reset, and the answer may be lost.
LINGER_S = 1.0


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request as the caller sent it."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    received_at: float


class CallerGoneError(Exception):
    """The caller has disconnected and can't be answered."""


class CallerConnection:
    """
    A connection and the state of its current request.

    If ``close_after_answer`` is set, the connection ends after the current answer.
    ``read_limits`` returns the limits in force, which apply from the next request on.
    ``find_delay_s`` returns how long the event loop was held up lately, for the log.
    Requests whose bodies don't fit into the ``buffers`` of the process are refused.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        read_limits: Callable[[], ReadLimits],
        find_delay_s: Callable[[], float] = lambda: 0.0,
        buffers: BufferBudget | None = None,
    ) -> None:
        self.stream = stream
        self.limits = read_limits()
        self.close_after_answer = False
        self._refusing = False
        self.serve_scope: trio.CancelScope | None = None
        self.disconnected = False
        self.answer_started = False
        self._read_limits = read_limits
        self._find_delay_s = find_delay_s
        self._body_share = BufferShare(buffers or BufferBudget(sys.maxsize))
        self._request_id = b""
        # Whether answers to the current request have no body.
        self._is_head_request = False
        # Whether the body of the current answer has neither a length nor chunks.
        self._answer_ends_with_close = False
        self._end_reason = "the process ends"
        self._caller_ended = False
        self._unanswered_logged = False
        self._h11 = self._make_parser()
        self._inbox: list[bytes] = []
        self._inbox_bytes = 0
        self._data_arrived = trio.Event()
        self._data_consumed = trio.Event()

    async def run(self, serve: Callable[[ReceivedRequest], Awaitable[None]]) -> None:
        """Serve the connection's requests, one after the other, until it ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                while (request := await self._read_request()) is not None:
                    await self._serve(request, serve)
                    del request
                    self._body_share.release()
                    if self.disconnected:
                        break
                    if not self._start_next():
                        self._end_reason = "it was closed after an answer"
                        await self._linger()
                        break
                nursery.cancel_scope.cancel()
        except Exception:
            self._end_reason = "a fault in the gateway"
            raise
        finally:
            self._log_unanswered()
            self._body_share.release()
            self._close()

    async def _linger(self) -> None:
        """End a connection that was answered without a reset."""
        self._log_unanswered()
        with trio.move_on_after(LINGER_S):
            try:
                await self.stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            while not self.disconnected:
                self._inbox.clear()
                self._inbox_bytes = 0
                self._data_consumed.set()
                self._data_arrived = trio.Event()
                await self._data_arrived.wait()

    @property
    def has_left(self) -> bool:
        """Whether the caller has closed the connection, though that wasn't read yet."""
        return self.disconnected or has_ended(self.stream)

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that no request has taken yet."""
        if self.disconnected or self.stream.socket.fileno() < 0:
            return False
        return self._has_next or not is_idle(self.stream)

    async def start_answer(self, status: int, headers: Headers) -> bytes:
        """Start an answer; return its head, to be sent with the first data."""
        self.answer_started = True
        if self._has_next and not self._refusing:
            # Callers may have sent more requests before they are told of the end.
            self.close_after_answer = False
        answer_headers = list(headers)
        # Callers with HTTP/1.0 don't know chunks.
        is_old = (self._h11.their_http_version or b"1.1") < b"1.1"
        self._answer_ends_with_close = is_old and b"content-length" not in dict(headers)
        if self.close_after_answer:
            answer_headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=answer_headers)
        return self._h11.send(response) or b""

    async def send_interim(self, status: int, headers: Headers) -> None:
        """Send an interim answer before the answer starts."""
        interim = h11.InformationalResponse(status_code=status, headers=list(headers))
        await self._send(self._h11.send(interim) or b"")

    def offer_interim(self, status: int, headers: Headers) -> None:
        """Send an interim answer if that needs no waiting, and no answer has begun."""
        if self._h11.our_state is h11.SEND_RESPONSE and self._sends_at_once:
            interim = h11.InformationalResponse(
                status_code=status, headers=list(headers)
            )
            self._offer(self._h11.send(interim) or b"")

    def offer_data(self, data: bytes) -> None:
        """Send bytes of an answer's body if that needs no waiting."""
        if self._is_head_request:
            return
        if self._h11.our_state is h11.SEND_BODY and self._sends_at_once:
            self._offer(self._h11.send(h11.Data(data=data)) or b"")

    async def send_data(self, data: bytes, head: bytes = b"") -> None:
        """Send bytes of the answer's body."""
        await self._send(head + self._write_data(data))

    async def end_answer(self, head: bytes = b"", data: bytes = b"") -> None:
        """End the answer, after sending its last bytes."""
        tail = head + self._write_data(data)
        tail += self._h11.send(h11.EndOfMessage()) or b""
        if tail:
            await self._send(tail)

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        length = (b"content-length", str(len(body)).encode())
        answer_headers = [h for h in headers if h[0] not in (b"content-length",)]
        head = await self.start_answer(status, [*answer_headers, length])
        await self.end_answer(head, body)

    async def answer_within(
        self, timeout_s: float, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete answer; abort it if it isn't sent in time."""
        with self.abort_after(timeout_s):
            await self.answer(status, headers, body)

    @contextlib.contextmanager
    def abort_after(self, timeout_s: float) -> Iterator[None]:
        """Abort the answer that is sent in the block if that takes longer."""
        with trio.move_on_after(timeout_s) as scope:
            yield
        if scope.cancelled_caught:
            self.abort_answer()

    def abort_answer(self) -> None:
        """Close the connection so that the answer can't be taken for complete."""
        self._end_reason = "the answer was aborted"
        self.disconnected = True
        self._close()

    def _close(self) -> None:
        """Close the connection; reset it if a close would end an answer cleanly."""
        if self._h11.our_state is h11.SEND_BODY and self._answer_ends_with_close:
            reset(self.stream)
        else:
            abort(self.stream)

    async def _serve(
        self,
        request: ReceivedRequest,
        serve: Callable[[ReceivedRequest], Awaitable[None]],
    ) -> None:
        self._request_id = dict(request.headers).get(b"request-id", b"")
        with trio.CancelScope() as scope:
            self.serve_scope = scope
            self.answer_started = False
            if self.disconnected:
                scope.cancel()
            try:
                await serve(request)
            except CallerGoneError as error:
                self._end_reason = f"the caller is gone: {error}"
                self.disconnected = True
            except Exception:
                await self._answer_fault()
                raise
            finally:
                self.serve_scope = None

    async def _answer_fault(self) -> None:
        """Answer a request whose handler has failed, unless an answer has begun."""
        if self.disconnected or self._h11.our_state is not h11.SEND_RESPONSE:
            return
        self.close_after_answer = self._refusing = True
        with trio.move_on_after(ERROR_ANSWER_TIMEOUT_S):
            try:
                await self.answer(FAULT_STATUS, [], b"a fault in the gateway\n")
            except CallerGoneError:
                return
            await self._linger()

    @property
    def _has_next(self) -> bool:
        return bool(self._inbox or self._h11.trailing_data[0])

    def _start_next(self) -> bool:
        if self.close_after_answer:
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    async def _read_request(self) -> ReceivedRequest | None:
        """Return the next request, or None at the end of the connection."""
        try:
            return await self._read_next_request()
        except BadRequestError as error:
            self._body_share.release()
            self._end_reason = str(error)
            with trio.move_on_after(ERROR_ANSWER_TIMEOUT_S):
                await self._refuse(error)
            await self._linger()
            return None

    async def _read_next_request(self) -> ReceivedRequest | None:
        if not self._h11.trailing_data[0] and not await self._wait_while_idle():
            self._end_reason = "it was idle for too long"
            return None
        self._update_limits()
        limits = self.limits
        head = await self._next_event(trio.current_time() + limits.head_s)
        if head is h11.NEED_DATA:
            raise BadRequestError(408, "the head took too long")
        if not isinstance(head, h11.Request):
            return None
        received_at = trio.current_time()
        self._is_head_request = head.method == b"HEAD"
        if estimate_head_bytes(head) > limits.head_bytes:
            raise BadRequestError(431, f"the head is over {limits.head_bytes} bytes")
        body = await self._read_body(head)
        return ReceivedRequest(
            head.method, head.target, tuple(head.headers), body, received_at
        )

    async def _wait_while_idle(self) -> bool:
        """Wait for the next request; return False if the connection is idle for too long."""
        idle_since = trio.current_time()
        while True:
            until = idle_since + self.limits.idle_s + self.limits.head_s
            if await self._wait_for_bytes(until):
                return True
            limits = self._read_limits()
            if limits.idle_s + limits.head_s <= self.limits.idle_s + self.limits.head_s:
                return False
            self._update_limits()

    def _update_limits(self) -> None:
        """Apply the limits in force, between two requests."""
        before, self.limits = self.limits, self._read_limits()
        if self.limits.head_bytes != before.head_bytes:
            unread, _ = self._h11.trailing_data
            self._h11 = self._make_parser()
            if unread:
                self._h11.receive_data(unread)

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )

    async def _read_body(self, head: h11.Request) -> bytes:
        max_bytes = self.limits.body_bytes
        fields = dict(head.headers)
        length = int(fields.get(b"content-length", b"0"))
        if length > max_bytes:
            raise BadRequestError(413, f"the body is over {max_bytes} bytes")
        self._hold(length)
        if fields.get(b"expect", b"").lower() == b"100-continue":
            await self.send_interim(100, [])
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event(trio.current_time() + self.limits.idle_s)
            if event is h11.NEED_DATA:
                raise BadRequestError(408, "the body took too long")
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise BadRequestError(400, "the body ended early")
            parts.append(bytes(event.data))
            size += len(event.data)
            if size > max_bytes:
                raise BadRequestError(413, f"the body is over {max_bytes} bytes")
            self._hold(size)

    def _hold(self, size: int) -> None:
        """Take the memory for a body; raises BadRequestError if there is too little."""
        if not self._body_share.hold(size):
            raise BadRequestError(
                503,
                f"the bodies of other requests leave no room for one of {size} bytes",
                ((b"retry-after", b"%.2f" % NO_ROOM_RETRY_S),),
            )

    async def _next_event(self, until: float) -> object:
        """Return the next event, or NEED_DATA if its bytes haven't come in time."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise BadRequestError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if not await self._wait_for_bytes(until):
                return h11.NEED_DATA
            if not self._inbox:
                return h11.ConnectionClosed()
            data = self._inbox.pop(0)
            self._inbox_bytes -= len(data)
            self._data_consumed.set()
            self._h11.receive_data(data)

    async def _wait_for_bytes(self, until: float) -> bool:
        """
        Wait for bytes or the connection's end; return False if neither came in time.

        Bytes that the kernel has received in time count, though this process may have
        been held up until later.
        """
        while not (self._inbox or self.disconnected):
            self._data_arrived = trio.Event()
            with trio.move_on_at(until) as timer:
                await self._data_arrived.wait()
            if timer.cancelled_caught and not self._inbox and not self.disconnected:
                if is_idle(self.stream):
                    return False
                await self._data_arrived.wait()
        return True

    async def _receive(self) -> None:
        """Read the connection, up to ``READ_AHEAD_BYTES`` ahead, until it ends."""
        while True:
            try:
                data = await receive(self.stream, RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._caller_ended = not self.disconnected
                self.disconnected = True
                if self.serve_scope is not None:
                    self.serve_scope.cancel()
                self._data_arrived.set()
                return
            self._inbox.append(data)
            self._inbox_bytes += len(data)
            self._data_arrived.set()
            while self._inbox_bytes > READ_AHEAD_BYTES:
                self._data_consumed = trio.Event()
                await self._data_consumed.wait()

    async def _refuse(self, error: BadRequestError) -> None:
        record_event("unreadable-request", status=error.status, reason=str(error))
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.close_after_answer = self._refusing = True
        try:
            await self.answer(error.status, error.headers, f"{error}\n".encode())
        except (CallerGoneError, h11.LocalProtocolError):
            return

    @property
    def _sends_at_once(self) -> bool:
        """Whether a few bytes can be sent without waiting."""
        return not self.disconnected and not count_undelivered_bytes(self.stream)

    def _offer(self, data: bytes) -> None:
        # If the connection has just ended, its reader notices.
        with contextlib.suppress(OSError):
            os.write(self.stream.socket.fileno(), data)

    def _log_unanswered(self) -> None:
        """Log a whole or partly read request that the connection leaves unanswered."""
        theirs, ours = self._h11.their_state, self._h11.our_state
        serving = theirs is not h11.IDLE and ours in (h11.SEND_RESPONSE, h11.SEND_BODY)
        unread_bytes = len(self._h11.trailing_data[0]) + self._inbox_bytes
        in_kernel = count_unread_bytes(self.stream) > 0
        # The rest of a request that was refused is unread too.
        begun = serving or (
            theirs not in (h11.SEND_BODY, h11.ERROR) and bool(unread_bytes or in_kernel)
        )
        if self._caller_ended or self._unanswered_logged or not begun:
            return
        self._unanswered_logged = True
        record_event(
            "request-unanswered",
            request=self._request_id.decode("latin-1") if serving else "",
            reason=self._end_reason,
            answer_started=serving and self.answer_started,
            unread_bytes=unread_bytes,
            unread_in_kernel=in_kernel,
            held_up_s=round(self._find_delay_s(), 3),
        )

    def _write_data(self, data: bytes) -> bytes:
        """Return bytes of a body as they are sent; none to a HEAD request."""
        if not data or self._is_head_request:
            return b""
        return self._h11.send(h11.Data(data=data)) or b""

    async def _send(self, data: bytes) -> None:
        try:
            await send(self.stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError(str(error)) from error
