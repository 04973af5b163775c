from __future__ import annotations

import pytest
import trio
import trio.testing

from lycheepath.adapters.http1.sockets import (
    abort,
    count_send_room,
    enlarge_send_buffer,
    receive,
    send,
)

LARGE = bytes(range(256)) * 40_000


async def open_pair() -> tuple[trio.SocketStream, trio.SocketStream]:
    left, right = trio.socket.socketpair()
    return trio.SocketStream(left), trio.SocketStream(right)


async def test_send_continues_as_the_reader_reads() -> None:
    left, right = await open_pair()
    parts = []

    async def take_all() -> None:
        while data := await receive(right, 4096):
            parts.append(data)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_all)
        await send(left, LARGE)
        await left.aclose()
    assert b"".join(parts) == LARGE


async def test_send_that_nobody_reads_can_be_cancelled() -> None:
    left, right = await open_pair()
    with trio.move_on_after(0.1) as scope:
        await send(left, LARGE)
    assert scope.cancelled_caught
    await right.aclose()


async def test_receive_waits_and_returns_nothing_at_the_end() -> None:
    left, right = await open_pair()
    with trio.move_on_after(0.05) as scope:
        await receive(right, 10)
    assert scope.cancelled_caught
    await send(left, b"abc")
    assert await receive(right, 2) == b"ab"
    assert await receive(right, 2) == b"c"
    await left.aclose()
    assert await receive(right, 2) == b""


async def test_broken_connection_raises_the_same_errors_as_trio() -> None:
    left, right = await open_pair()
    await right.aclose()
    with pytest.raises(trio.BrokenResourceError):
        await send(left, b"abc")
    await left.aclose()
    with pytest.raises(trio.ClosedResourceError):
        await receive(left, 10)


async def test_kernel_takes_what_there_is_room_for_and_delivers_it_after_the_close() -> (
    None
):
    listener, *_ = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with (
        listener,
        await trio.testing.open_stream_to_socket_listener(listener) as reader,
    ):
        writer = await listener.accept()
        enlarge_send_buffer(writer)
        size = count_send_room(writer)
        with trio.fail_after(1.0):
            await send(writer, b"x" * size)
        abort(writer)
        assert count_send_room(writer) == 0
        received = 0
        while data := await receive(reader, 65_536):
            received += len(data)
        assert received == size
