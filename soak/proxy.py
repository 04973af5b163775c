"""
A proxy on loopback that disturbs the connections through it.

Nothing is decided here: a run sets ``disturbance`` and takes it back::

    proxy = await open_proxy(nursery, upstream=("127.0.0.1", 8080))
    proxy.disturb(Disturbance.CUT_UP, 0.0)
    proxy.heal()
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

import trio

from standins.site import listen

from .plan import Disturbance

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536
# Until a cut or silent link is looked at again.
POLL_S = 0.02
# Closes a socket with a reset: linger on, for no time.
RESET_LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """State: where it listens and leads to, and what it does now."""

    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self.address = ("", 0)
        self.disturbance: Disturbance | None = None
        self.delay_s = 0.0
        self._open: set[trio.SocketStream] = set()

    def disturb(self, disturbance: Disturbance, delay_s: float) -> None:
        """Begin a disturbance; a reset breaks off all open connections."""
        self.disturbance, self.delay_s = disturbance, delay_s
        if disturbance is Disturbance.RESET:
            for stream in tuple(self._open):
                _reset(stream)

    def heal(self) -> None:
        """End the disturbance."""
        self.disturbance = None

    async def serve(self, near: trio.SocketStream) -> None:
        """Pass the bytes of one connection on, both ways, until it ends."""
        if self.disturbance is Disturbance.RESET:
            _reset(near)
            return
        self._open.add(near)
        far: trio.SocketStream | None = None
        try:
            await self._wait_while(self._is_silent)
            far = await trio.open_tcp_stream(*self.upstream)
            self._open.add(far)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, near, far, Disturbance.CUT_UP, nursery)
                nursery.start_soon(self._pass, far, near, Disturbance.CUT_DOWN, nursery)
        except OSError:
            _reset(near)
        finally:
            for stream in (near, far):
                if stream is not None:
                    self._open.discard(stream)
                    stream.socket.close()

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        cut: Disturbance,
        nursery: trio.Nursery,
    ) -> None:
        """Pass on what comes one way; the end of either way ends both."""
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await self._wait_while(
                    lambda: self.disturbance is cut or self._is_silent()
                )
                if self.disturbance is Disturbance.DELAY:
                    await trio.sleep(self.delay_s)
                await sink.send_all(data)
        except trio.BrokenResourceError:
            _reset(sink)
        except trio.ClosedResourceError:
            pass
        nursery.cancel_scope.cancel()

    async def _wait_while(self, holds: Callable[[], bool]) -> None:
        while holds():
            await trio.sleep(POLL_S)

    def _is_silent(self) -> bool:
        return self.disturbance is Disturbance.SILENCE


async def open_proxy(nursery: trio.Nursery, upstream: tuple[str, int]) -> Proxy:
    """Start a proxy, which listens on loopback."""
    proxy = Proxy(upstream)
    proxy.address = await listen(nursery, proxy.serve)
    return proxy


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() < 0:
        return
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    stream.socket.close()
