"""TCP connections with bounds on how long silence is taken for life."""

from __future__ import annotations

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
