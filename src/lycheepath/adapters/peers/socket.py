"""
Runs a membership over a UDP socket on trio.

The runner owns the socket, the clock and the tick timer. Actions other than
sending are passed to ``on_action``, in order and on the event loop, so it
must not block::

    async with trio.open_nursery() as nursery:
        runner = PeerRunner(membership, address, keys, on_action)
        await nursery.start(runner.run)
        runner.act(membership.set_value(value, trio.current_time()))
"""

from __future__ import annotations

import socket
from collections import Counter
from typing import TYPE_CHECKING

import trio

from ...core.membership.actions import SendMessage
from .authentication import AuthenticationError, sign, verify
from .codec import DecodeError, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...core.membership.actions import Action
    from ...core.membership.node import Membership
    from ...host.settings import PeerKey

TICK_S = 0.2
RECEIVE_BUFFER_BYTES = 2048
SOCKET_BUFFER_BYTES = 1 << 20


class PeerRunner:
    """
    Runs a membership: its socket and its periodic ticks.

    ``may_send`` and ``may_receive`` decide by address whether a datagram is
    sent or accepted; tests use them to simulate link failures.
    """

    def __init__(
        self,
        membership: Membership,
        address: str,
        keys: tuple[PeerKey, ...],
        on_action: Callable[[Action], None],
        may_send: Callable[[str], bool] = lambda address: True,
        may_receive: Callable[[str], bool] = lambda address: True,
    ) -> None:
        self._membership = membership
        self._address = address
        self._keys = keys
        self._on_action = on_action
        self._may_send = may_send
        self._may_receive = may_receive
        self._socket: socket.socket | None = None
        self.counters: Counter[str] = Counter()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and tick until cancelled."""
        host, port = split_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as plain_socket:
            plain_socket.setblocking(False)
            option = socket.SO_RCVBUF
            plain_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
            plain_socket.bind((host, port))
            self._socket = plain_socket
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tick)
                nursery.start_soon(self._receive, plain_socket)

    def act(self, actions: Iterable[Action]) -> None:
        """Execute actions that a method of the membership returned."""
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(action)
            else:
                self._on_action(action)

    def replace_keys(self, keys: tuple[PeerKey, ...]) -> None:
        """Replace the keys: the first of ``keys`` signs, all are accepted."""
        self._keys = keys

    async def _tick(self) -> None:
        while True:
            self.act(self._membership.tick(trio.current_time()))
            await trio.sleep(TICK_S)

    async def _receive(self, plain_socket: socket.socket) -> None:
        trio_socket = trio.socket.from_stdlib_socket(plain_socket)
        while True:
            try:
                datagram, source = await trio_socket.recvfrom(RECEIVE_BUFFER_BYTES)
            except OSError:
                self.counters["receive_errors"] += 1
                continue
            self._process_datagram(datagram, join_address(source[0], source[1]))

    def _process_datagram(self, datagram: bytes, source: str) -> None:
        self.counters["received_datagrams"] += 1
        self.counters["received_bytes"] += len(datagram)
        if not self._may_receive(source):
            return
        try:
            message = decode_message(verify(datagram, self._keys))
        except AuthenticationError as error:
            self.counters[f"dropped_unauthenticated_{error}"] += 1
            return
        except DecodeError:
            self.counters["dropped_undecodable"] += 1
            return
        self.act(self._membership.receive(message, source, trio.current_time()))

    def _send(self, action: SendMessage) -> None:
        if not self._may_send(action.address) or self._socket is None:
            return
        datagram = sign(encode_message(action.message), self._keys)
        self.counters["sent_datagrams"] += 1
        self.counters["sent_bytes"] += len(datagram)
        try:
            self._socket.sendto(datagram, split_address(action.address))
        except (OSError, ValueError, OverflowError):
            self.counters["send_errors"] += 1


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of ``IP:port``; raise ``ValueError`` if malformed."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


def join_address(ip: str, port: int) -> str:
    """Return ``IP:port``, with brackets around an IPv6 address."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
