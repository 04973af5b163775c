"""
A TCP proxy on loopback that disturbs the connections through it.

A run starts and ends each disturbance::

    proxy = await open_proxy(nursery, upstream=("127.0.0.1", 8080))
    proxy.disturb(Disturbance.CUT_UP, 0.0)
    proxy.heal()

With ``find_owner``, it can also cut off the connections of one process::

    proxy.cut("east-a-1", CutKind.HANG)
    proxy.rejoin("east-a-1")
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from standins.site import listen

from .cuts import CutKind
from .plan import Disturbance

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536
# Interval at which a cut or silent link checks whether it is healed.
POLL_S = 0.02
# SO_LINGER on with a time-out of 0: closing the socket sends a reset.
RESET_LINGER = struct.pack("ii", 1, 0)


@dataclass(slots=True, eq=False)
class _Connection:
    """The sockets of one connection, who opened it, and whether it is held."""

    owner: str
    streams: list[trio.SocketStream] = field(default_factory=list)
    held: bool = False


class Proxy:
    """
    State: the listening and upstream addresses, the disturbance and the cuts.

    ``find_owner`` returns the name of the process that has a local port.
    """

    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self.address = ("", 0)
        self.disturbance: Disturbance | None = None
        self.delay_s = 0.0
        self.find_owner: Callable[[int], str] | None = None
        self._cuts: dict[str, CutKind] = {}
        self._open: set[_Connection] = set()

    def disturb(self, disturbance: Disturbance, delay_s: float) -> None:
        """Start a disturbance; a reset also resets all open connections."""
        self.disturbance, self.delay_s = disturbance, delay_s
        if disturbance is Disturbance.RESET:
            for connection in tuple(self._open):
                _reset_all(connection)

    def heal(self) -> None:
        """End the disturbance."""
        self.disturbance = None

    def cut(self, owner: str, kind: CutKind) -> None:
        """Cut off the connections of a process."""
        self._cuts[owner] = kind
        for connection in tuple(self._open):
            if connection.owner != owner:
                continue
            if kind is CutKind.RESET:
                _reset_all(connection)
            connection.held = kind in (CutKind.HANG, CutKind.HANG_OPEN)

    def rejoin(self, owner: str) -> None:
        """End the cut of a process; what was held goes on."""
        self._cuts.pop(owner, None)
        for connection in self._open:
            if connection.owner == owner:
                connection.held = False

    async def serve(self, client: trio.SocketStream) -> None:
        """Forward one connection in both directions until it ends."""
        connection = _Connection(self._find_owner(client), [client])
        kind = self._cuts.get(connection.owner)
        refused = kind in (CutKind.RESET, CutKind.REFUSE_NEW)
        if refused or self.disturbance is Disturbance.RESET:
            _reset(client)
            return
        connection.held = kind is CutKind.HANG
        self._open.add(connection)
        try:
            await self._wait_while(lambda: connection.held or self._is_silent())
            server = await trio.open_tcp_stream(*self.upstream)
            connection.streams.append(server)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward,
                    connection,
                    client,
                    server,
                    Disturbance.CUT_UP,
                    nursery,
                )
                nursery.start_soon(
                    self._forward,
                    connection,
                    server,
                    client,
                    Disturbance.CUT_DOWN,
                    nursery,
                )
        except OSError:
            _reset(client)
        finally:
            self._open.discard(connection)
            for stream in connection.streams:
                stream.socket.close()

    async def _forward(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        cut: Disturbance,
        nursery: trio.Nursery,
    ) -> None:
        """Forward one direction; the end of either direction ends both."""
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                await self._wait_while(
                    lambda: (
                        connection.held or self.disturbance is cut or self._is_silent()
                    )
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

    def _find_owner(self, client: trio.SocketStream) -> str:
        if self.find_owner is None:
            return ""
        try:
            port = client.socket.getpeername()[1]
        except OSError:
            return ""
        return self.find_owner(port)

    def _is_silent(self) -> bool:
        return self.disturbance is Disturbance.SILENCE


async def open_proxy(nursery: trio.Nursery, upstream: tuple[str, int]) -> Proxy:
    """Start a proxy that listens on loopback."""
    proxy = Proxy(upstream)
    proxy.address = await listen(nursery, proxy.serve)
    return proxy


def _reset_all(connection: _Connection) -> None:
    for stream in connection.streams:
        _reset(stream)


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() < 0:
        return
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    stream.socket.close()
