"""
A TCP proxy on loopback that disturbs the connections through it.

A run starts and ends each disturbance::

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
# Interval at which a cut or silent link checks whether it is healed.
POLL_S = 0.02
# SO_LINGER on with a time-out of 0: closing the socket sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """State: the listening and upstream addresses, and the disturbance."""

    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self.address = ("", 0)
        self.disturbance: Disturbance | None = None
        self.delay_s = 0.0
        self._open: set[trio.SocketStream] = set()

    def disturb(self, disturbance: Disturbance, delay_s: float) -> None:
        """Start a disturbance; a reset also resets all open connections."""
        self.disturbance, self.delay_s = disturbance, delay_s
        if disturbance is Disturbance.RESET:
            for stream in tuple(self._open):
                _reset(stream)

    def heal(self) -> None:
        """End the disturbance."""
        self.disturbance = None

    async def serve(self, client: trio.SocketStream) -> None:
        """Forward one connection in both directions until it ends."""
        if self.disturbance is Disturbance.RESET:
            _reset(client)
            return
        self._open.add(client)
        server: trio.SocketStream | None = None
        try:
            await self._wait_while(self._is_silent)
            server = await trio.open_tcp_stream(*self.upstream)
            self._open.add(server)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward, client, server, Disturbance.CUT_UP, nursery
                )
                nursery.start_soon(
                    self._forward, server, client, Disturbance.CUT_DOWN, nursery
                )
        except OSError:
            _reset(client)
        finally:
            for stream in (client, server):
                if stream is not None:
                    self._open.discard(stream)
                    stream.socket.close()

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        cut: Disturbance,
        nursery: trio.Nursery,
    ) -> None:
        """Forward one direction; the end of either direction ends both."""
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

    async def _wait_while(self, condition: Callable[[], bool]) -> None:
        while condition():
            await trio.sleep(POLL_S)

    def _is_silent(self) -> bool:
        return self.disturbance is Disturbance.SILENCE


async def open_proxy(nursery: trio.Nursery, upstream: tuple[str, int]) -> Proxy:
    """Start a proxy that listens on loopback."""
    proxy = Proxy(upstream)
    proxy.address = await listen(nursery, proxy.serve)
    return proxy


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() < 0:
        return
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    stream.socket.close()
