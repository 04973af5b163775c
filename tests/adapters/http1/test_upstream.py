from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.adapters.http1 import upstream as upstream_module
from lycheepath.adapters.http1.sockets import connect
from lycheepath.adapters.http1.upstream import BrokenAnswerError, Upstream
from lycheepath.core.addresses import Address

if TYPE_CHECKING:
    from collections.abc import Sequence

HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_BYTES = 1000


def answer_chunks(request_id: str, *pieces: str) -> bytes:
    body = "".join(f"{len(piece):x}\r\n{piece}\r\n" for piece in pieces)
    return (HEAD.format(request_id) + body + "0\r\n\r\n").encode()


async def open_upstream(
    nursery: trio.Nursery, answers: Sequence[bytes], cut: int = 0
) -> Upstream:
    """Connect to a server that sends the answers, one for each request."""

    async def serve(stream: trio.SocketStream) -> None:
        for answer in answers:
            if not await stream.receive_some(4096):
                return
            for at in range(0, len(answer), cut or len(answer)):
                await stream.send_all(answer[at : at + (cut or len(answer))])
                await trio.sleep(0.001)
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    ip, port = listeners[0].socket.getsockname()
    address = Address(ip, port)
    return Upstream(await connect(address, 1.0), address)


async def ask(upstream: Upstream, request_id: str) -> bytes:
    headers = [(b"host", b"x")]
    await upstream.request(b"GET", b"/", headers, b"", request_id.encode())
    return await upstream.read_all(MAX_BYTES)


async def test_chunked_answers_are_read_one_after_the_other(
    nursery: trio.Nursery,
) -> None:
    answers = [answer_chunks("a", "one", "two"), answer_chunks("b", "three")]
    upstream = await open_upstream(nursery, answers, cut=7)
    assert await ask(upstream, "a") == b"onetwo"
    assert upstream.prepare_next()
    assert await ask(upstream, "b") == b"three"
    assert upstream.prepare_next()


async def test_late_chunked_answer_to_another_request_is_skipped(
    nursery: trio.Nursery,
) -> None:
    both = answer_chunks("old", "stale") + answer_chunks("new", "fresh")
    upstream = await open_upstream(nursery, [both])
    assert await ask(upstream, "new") == b"fresh"
    assert upstream.prepare_next()


async def test_connection_with_bytes_after_a_chunked_answer_is_not_kept(
    nursery: trio.Nursery,
) -> None:
    upstream = await open_upstream(nursery, [answer_chunks("a", "one") + b"extra"])
    assert await ask(upstream, "a") == b"one"
    assert not upstream.prepare_next()


@pytest.mark.parametrize("lost", [1, 5, 8, 12])
async def test_chunked_answer_that_breaks_off_is_rejected(
    nursery: trio.Nursery, lost: int
) -> None:
    upstream = await open_upstream(nursery, [answer_chunks("a", "one")[:-lost]])
    with pytest.raises(BrokenAnswerError):
        await ask(upstream, "a")


async def test_invalid_framing_is_rejected(nursery: trio.Nursery) -> None:
    wrong = answer_chunks("a", "one").replace(b"3\r\n", b"x\r\n")
    upstream = await open_upstream(nursery, [wrong])
    with pytest.raises(BrokenAnswerError):
        await ask(upstream, "a")


def answer_plain(request_id: str, body: str) -> bytes:
    named = f"Request-Id: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 200 OK\r\n{named}Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )


async def test_late_duplicate_without_request_id_is_not_taken_as_the_next_answer(
    nursery: trio.Nursery,
) -> None:
    answers = [answer_plain("a", "one"), answer_plain("", "one")]
    upstream = await open_upstream(nursery, answers)
    assert await ask(upstream, "a") == b"one"
    assert upstream.prepare_next()
    with pytest.raises(BrokenAnswerError):
        await ask(upstream, "b")


async def test_first_answer_of_a_connection_needs_no_request_id(
    nursery: trio.Nursery,
) -> None:
    upstream = await open_upstream(nursery, [answer_plain("", "one")])
    assert await ask(upstream, "a") == b"one"


@pytest.mark.parametrize(
    ("first_bytes", "repeated_bytes"),
    [
        (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1000),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 100),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 10),
        (HEAD.format("a").encode() + b"3", b";x=1" * 200),
        (HEAD.format("a").encode(), b"ffffffff\r\n" + b"x" * 1000),
        (HEAD.format("a").encode() + b"0\r\n", b"X-A: b\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n", b"x" * 1000),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000),
    ],
    ids=[
        "long line",
        "many lines",
        "interim heads",
        "chunk extension",
        "chunk size",
        "trailers",
        "long body",
        "body without a length",
    ],
)
async def test_endless_answer_is_abandoned_at_a_limit(
    nursery: trio.Nursery, first_bytes: bytes, repeated_bytes: bytes
) -> None:
    sent = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal sent
        await stream.receive_some(4096)
        try:
            await stream.send_all(first_bytes)
            while True:
                await stream.send_all(repeated_bytes)
                sent += len(repeated_bytes)
        except trio.BrokenResourceError:
            pass

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    ip, port = listeners[0].socket.getsockname()
    upstream = Upstream(await connect(Address(ip, port), 1.0), Address(ip, port))
    with trio.fail_after(2.0), pytest.raises(BrokenAnswerError):
        await ask(upstream, "a")
    assert not upstream.prepare_next()
    upstream.close()


async def test_early_end_of_a_connection_is_named_in_the_error(
    nursery: trio.Nursery,
) -> None:
    upstream = await open_upstream(nursery, [b""])
    with pytest.raises(BrokenAnswerError, match="the connection ended before"):
        await ask(upstream, "a")


@pytest.mark.parametrize(
    "answer",
    [answer_chunks("a", "one", "two"), answer_plain("a", "one")],
    ids=["chunks", "length"],
)
async def test_answer_truncated_at_any_byte_is_never_complete(
    nursery: trio.Nursery, answer: bytes
) -> None:
    cuts = iter(range(1, len(answer)))

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(4096)
        await stream.send_all(answer[: next(cuts)])
        await stream.aclose()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    ip, port = listeners[0].socket.getsockname()
    for _ in range(1, len(answer)):
        upstream = Upstream(await connect(Address(ip, port), 1.0), Address(ip, port))
        with pytest.raises(BrokenAnswerError):
            await ask(upstream, "a")
        assert not upstream.prepare_next()
        upstream.close()


async def test_idle_connection_that_receives_a_duplicate_is_not_reused(
    nursery: trio.Nursery,
) -> None:
    copied = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(4096)
        await stream.send_all(answer_plain("a", "one"))
        await trio.sleep(0.02)
        await stream.send_all(answer_plain("a", "one"))
        copied.set()
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    ip, port = listeners[0].socket.getsockname()
    upstream = Upstream(await connect(Address(ip, port), 1.0), Address(ip, port))
    assert await ask(upstream, "a") == b"one"
    assert upstream.prepare_next()
    assert upstream.is_usable(trio.current_time(), 0.0)
    await copied.wait()
    await trio.sleep(0.02)
    assert not upstream.is_usable(trio.current_time(), 0.0)


async def test_connection_keeps_a_bounded_number_of_request_ids(
    nursery: trio.Nursery, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_module, "MAX_CARRIED_IDS", 2)
    upstream = await open_upstream(nursery, [answer_plain(n, "one") for n in "ab"])
    await ask(upstream, "a")
    assert upstream.prepare_next()
    assert upstream.can_identify(b"b")
    assert not upstream.can_identify(b"a")
    await ask(upstream, "b")
    assert not upstream.prepare_next()


@pytest.mark.parametrize(
    ("error", "ended"),
    [
        (ConnectionResetError(104, "reset"), True),
        (TimeoutError(110, "timed out"), False),
    ],
    ids=["reset", "timed out"],
)
async def test_connection_that_times_out_while_sending_has_not_ended(
    nursery: trio.Nursery,
    monkeypatch: pytest.MonkeyPatch,
    error: OSError,
    ended: bool,
) -> None:
    async def fail(stream: trio.SocketStream, data: bytes) -> None:
        raise trio.BrokenResourceError(str(error)) from error

    monkeypatch.setattr(upstream_module, "send", fail)
    upstream = await open_upstream(nursery, [])
    with pytest.raises(BrokenAnswerError) as raised:
        await ask(upstream, "a")
    assert raised.value.connection_ended == ended


async def test_headers_of_interim_answers_are_reported(nursery: trio.Nursery) -> None:
    interim = b"HTTP/1.1 102 Processing\r\nx-silent: i-1\r\n\r\n"
    answers = [2 * interim + answer_chunks("a", "one")] * 2
    upstream = await open_upstream(nursery, answers, cut=5)
    seen: list[tuple[bytes, bytes]] = []
    await upstream.request(
        b"GET", b"/", [(b"host", b"x")], b"", b"a", on_interim=seen.extend
    )
    assert await upstream.read_all(MAX_BYTES) == b"one"
    assert seen == [(b"x-silent", b"i-1")] * 2
