from __future__ import annotations

import trio
import trio.testing

from lycheepath.adapters.http1.sockets import reset
from standins.site import listen, send_request, write_request


async def test_connection_that_is_reset_before_its_request_was_sent_has_no_answer() -> (
    None
):
    """A host that ends resets connections that it hasn't read; that fails no test."""

    async def serve(stream: trio.SocketStream) -> None:
        reset(stream)

    async with trio.open_nursery() as nursery:
        ip, port = await listen(nursery, serve)
        async with await trio.open_tcp_stream(ip, port) as stream:
            await trio.testing.wait_all_tasks_blocked(0.01)
            request = write_request(b"GET", "/books/1", b"", "r1", {})
            answer = await send_request(stream, request)
        nursery.cancel_scope.cancel()
    assert (answer.status, answer.whole, answer.end) == (0, False, "reset")
