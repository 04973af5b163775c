from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import trio

from standins.fleet import open_fleet

if TYPE_CHECKING:
    from pathlib import Path

BODY = b"{}"
STATUS = b"HTTP/1.1 404"
LAST_CHUNK = b"0\r\n\r\n"
ANSWER_LIMIT_S = 5.0


async def test_connection_answered_before_its_body_is_closed_or_reused(
    tmp_path: Path,
) -> None:
    async with open_fleet(tmp_path) as fleet, AsyncExitStack() as stack:
        await fleet.start_platform()
        await fleet.start_engine("runner-1", "accra-1")
        fleet.add_host("host-1", "accra-1")
        await fleet.publish_environment()
        host = await fleet.start_host("host-1")
        head = (
            f"POST /v1/nowhere HTTP/1.1\r\nHost: {host.address}\r\n"
            f"Authorization: Bearer {fleet.caller().key}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        ).encode()
        stream = await trio.open_tcp_stream("127.0.0.1", host.port)
        stack.push_async_callback(stream.aclose)

        await stream.send_all(head)
        with trio.fail_after(ANSWER_LIMIT_S):
            first = await receive_until(stream, LAST_CHUNK)
            assert first.startswith(STATUS)
            try:
                await stream.send_all(BODY + head + BODY)
                answer_or_end = await receive_until(stream, STATUS)
            except trio.BrokenResourceError:
                return
        assert answer_or_end == b"" or answer_or_end.startswith(STATUS)


async def receive_until(stream: trio.SocketStream, marker: bytes) -> bytes:
    received = b""
    while marker not in received:
        chunk = await stream.receive_some()
        if not chunk:
            break
        received += chunk
    return received
