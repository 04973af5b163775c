from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest
import trio

from soak.cuts import CutKind
from soak.owners import find_owner
from soak.plan import Disturbance
from soak.proxy import Proxy, open_proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SHORT_S = 0.15


async def echo(stream: trio.SocketStream) -> None:
    try:
        while data := await stream.receive_some(100):
            await stream.send_all(data)
    except trio.BrokenResourceError:
        return


@pytest.fixture
async def proxy() -> AsyncIterator[Proxy]:
    """A proxy in front of an echo server."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        upstream = listeners[0].socket.getsockname()[:2]
        yield await open_proxy(nursery, upstream)
        nursery.cancel_scope.cancel()


async def receive(stream: trio.SocketStream) -> bytes | None:
    """Return the data that arrives within ``SHORT_S``, or None."""
    with trio.move_on_after(SHORT_S):
        return bytes(await stream.receive_some(100))
    return None


async def test_proxy_passes_bytes_both_ways(proxy: Proxy) -> None:
    async with await trio.open_tcp_stream(*proxy.address) as stream:
        await stream.send_all(b"ask")
        assert await receive(stream) == b"ask"


@pytest.mark.parametrize(
    "disturbance", [Disturbance.CUT_UP, Disturbance.CUT_DOWN, Disturbance.SILENCE]
)
async def test_proxy_holds_bytes_until_it_is_healed(
    proxy: Proxy, disturbance: Disturbance
) -> None:
    async with await trio.open_tcp_stream(*proxy.address) as stream:
        proxy.disturb(disturbance, 0.0)
        await stream.send_all(b"ask")
        assert await receive(stream) is None
        proxy.heal()
        assert await receive(stream) == b"ask"


async def test_proxy_delays_each_way(proxy: Proxy) -> None:
    proxy.disturb(Disturbance.DELAY, 0.05)
    async with await trio.open_tcp_stream(*proxy.address) as stream:
        started = trio.current_time()
        await stream.send_all(b"ask")
        assert await receive(stream) == b"ask"
        assert trio.current_time() - started >= 0.1


async def test_proxy_resets_open_and_new_connections(proxy: Proxy) -> None:
    stream = await trio.open_tcp_stream(*proxy.address)
    await stream.send_all(b"ask")
    assert await receive(stream) == b"ask"
    proxy.disturb(Disturbance.RESET, 0.0)
    with pytest.raises(trio.BrokenResourceError):
        await receive(stream)
    await stream.aclose()
    async with await trio.open_tcp_stream(*proxy.address) as later:
        with pytest.raises(trio.BrokenResourceError):
            await receive(later)


async def ask(stream: trio.SocketStream) -> bytes | None:
    """Return the answer within ``SHORT_S``, empty if the connection was reset."""
    try:
        await stream.send_all(b"ask")
        return await receive(stream)
    except trio.BrokenResourceError:
        return b""


@pytest.mark.parametrize(
    ("kind", "by_open", "by_new"),
    [
        (CutKind.HANG, None, None),
        (CutKind.RESET, b"", b""),
        (CutKind.REFUSE_NEW, b"ask", b""),
        (CutKind.HANG_OPEN, None, b"ask"),
    ],
)
async def test_proxy_cuts_off_one_process(
    proxy: Proxy, kind: CutKind, by_open: bytes | None, by_new: bytes | None
) -> None:
    owners = iter(["h1", "h2", "h1", "h2", "h1"])
    proxy.find_owner = lambda _: next(owners)
    async with (
        await trio.open_tcp_stream(*proxy.address) as cut_off,
        await trio.open_tcp_stream(*proxy.address) as other,
    ):
        assert [await ask(cut_off), await ask(other)] == [b"ask", b"ask"]
        proxy.cut("h1", kind)
        async with (
            await trio.open_tcp_stream(*proxy.address) as new,
            await trio.open_tcp_stream(*proxy.address) as new_other,
        ):
            assert [await ask(cut_off), await ask(new)] == [by_open, by_new]
            assert [await ask(other), await ask(new_other)] == [b"ask", b"ask"]
        proxy.rejoin("h1")
        if by_open is None:
            assert await receive(cut_off) == b"ask"
        async with await trio.open_tcp_stream(*proxy.address) as later:
            assert await ask(later) == b"ask"


async def test_owner_of_a_connection_is_found(proxy: Proxy) -> None:
    async with await trio.open_tcp_stream(*proxy.address) as stream:
        port = stream.socket.getsockname()[1]
        assert find_owner(port, {"other": 1, "own": os.getpid()}) == "own"
        assert not find_owner(port, {"other": os.getppid()})
