"""TCP connections with bounds on how long silence is taken for life."""

from __future__ import annotations

import os
import select
import socket
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ...core.addresses import Address

# Time that sent bytes may stay unacknowledged; several retransmissions on
# paths of 80 ms each way.
UNACKNOWLEDGED_MS = 3000


class ConnectError(Exception):
    """No connection came about, so no byte of a request was sent."""


async def connect(address: Address, timeout_s: float) -> trio.SocketStream:
    """Return a connection, or raise ConnectError within ``timeout_s``."""
    plain = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_s):
            await plain.connect(address)
    except trio.TooSlowError as error:
        plain.close()
        raise ConnectError(f"no connection within {timeout_s:.3f} s") from error
    except OSError as error:
        plain.close()
        raise ConnectError(str(error.strerror or error)) from error
    except BaseException:
        plain.close()
        raise
    stream = trio.SocketStream(plain)
    bound_silence(stream)
    return stream


def bound_silence(stream: trio.SocketStream) -> None:
    """Have the system end a connection whose peer acknowledges nothing."""
    try:
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
    except OSError:
        return


async def receive(stream: trio.SocketStream, most_bytes: int) -> bytes:
    """
    Return the next bytes of a connection, nothing at its end.

    It waits first and reads then, since there is mostly nothing yet; trio
    itself tries to read, fails, waits and reads. Raises the same as trio.
    """
    while True:
        if stream.socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection was closed here")
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), most_bytes)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """
    Send bytes at once if the system takes them all, else as it takes them.

    Raises the same as trio.
    """
    try:
        taken = os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        taken = 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
    if taken < len(data):
        await stream.send_all(memoryview(data)[taken:])


def is_quiet(stream: trio.SocketStream) -> bool:
    """
    Whether an idle connection has neither ended nor sent bytes unasked.

    Reads nothing and doesn't wait.
    """
    poll = select.poll()
    try:
        poll.register(stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)
    except (OSError, ValueError):
        return False


def abort(stream: trio.SocketStream) -> None:
    """Close a connection at once; the other side gets no more of it."""
    stream.socket.close()
