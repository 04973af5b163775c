"""The kernel's send buffers of connections on machines with a small limit."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import trio

from lycheepath.adapters.http1.sockets import enlarge_send_buffer

if TYPE_CHECKING:
    import pytest

# Default of net.core.wmem_max on most machines.
LIMIT_BYTES = 212_992


async def test_send_buffer_that_has_grown_beyond_the_limit_is_not_made_smaller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    set_option = socket.socket.setsockopt

    class LimitedSocket(socket.socket):
        def setsockopt(self, level: int, option: int, value: int) -> None:  # type: ignore[override]
            if (level, option) == (socket.SOL_SOCKET, socket.SO_SNDBUF):
                value = min(value, LIMIT_BYTES)
            set_option(self, level, option, value)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    limited = LimitedSocket(fileno=accepted.detach())
    limited.setblocking(False)
    monkeypatch.setattr(socket, "socket", LimitedSocket)
    with caller:
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(limited))
        before = stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        assert before > 2 * LIMIT_BYTES
        enlarge_send_buffer(stream)
        after = stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        stream.socket.close()
    assert after >= before
