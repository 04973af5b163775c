from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.adapters.http1.sockets import connect
from lycheepath.adapters.http1.upstream import BrokenAnswerError, Upstream
from lycheepath.core.addresses import Address

if TYPE_CHECKING:
    from collections.abc import Sequence

HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n"
MOST_BYTES = 1000


def answer_chunks(request_id: str, *pieces: str) -> bytes:
    body = "".join(f"{len(piece):x}\r\n{piece}\r\n" for piece in pieces)
    return (HEAD.format(request_id) + body + "0\r\n\r\n").encode()


async def open_upstream(
    nursery: trio.Nursery, answers: Sequence[bytes], cut: int = 0
) -> Upstream:
    """Connect to a server that gives one of the answers to each request."""

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
    return await upstream.read_whole(MOST_BYTES)


async def test_chunked_answers_follow_each_other(nursery: trio.Nursery) -> None:
    answers = [answer_chunks("a", "one", "two"), answer_chunks("b", "three")]
    upstream = await open_upstream(nursery, answers, cut=7)
    assert await ask(upstream, "a") == b"onetwo"
    assert upstream.finish()
    assert await ask(upstream, "b") == b"three"
    assert upstream.finish()


async def test_late_chunked_answer_to_another_request_is_skipped(
    nursery: trio.Nursery,
) -> None:
    both = answer_chunks("old", "stale") + answer_chunks("new", "fresh")
    upstream = await open_upstream(nursery, [both])
    assert await ask(upstream, "new") == b"fresh"
    assert upstream.finish()


async def test_connection_with_bytes_behind_a_chunked_answer_is_not_kept(
    nursery: trio.Nursery,
) -> None:
    upstream = await open_upstream(nursery, [answer_chunks("a", "one") + b"extra"])
    assert await ask(upstream, "a") == b"one"
    assert not upstream.finish()


@pytest.mark.parametrize("lost", [1, 5, 8, 12])
async def test_chunked_answer_that_breaks_off_is_told(
    nursery: trio.Nursery, lost: int
) -> None:
    upstream = await open_upstream(nursery, [answer_chunks("a", "one")[:-lost]])
    with pytest.raises(BrokenAnswerError):
        await ask(upstream, "a")


async def test_wrong_framing_is_told(nursery: trio.Nursery) -> None:
    wrong = answer_chunks("a", "one").replace(b"3\r\n", b"x\r\n")
    upstream = await open_upstream(nursery, [wrong])
    with pytest.raises(BrokenAnswerError):
        await ask(upstream, "a")
