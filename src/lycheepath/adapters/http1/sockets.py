"""TCP connections: connecting, and single reads and writes with few system calls."""

from __future__ import annotations

import contextlib
import fcntl
import os
import select
import socket
import struct
import termios
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from ...core.addresses import Address


# Value of SO_LINGER: on, for 0 s.
DISCARD_AT_CLOSE = struct.pack("ii", 1, 0)
# Largest send buffer that Linux gives a connection by itself, in bytes.
LARGEST_SEND_BUFFER_BYTES = 4 << 20


class ConnectError(Exception):
    """
    The connection wasn't established, so no byte of a request was sent.

    ``refused`` says that nothing listens at the address.
    """

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


async def connect(address: Address, timeout_s: float) -> trio.SocketStream:
    """Return a connection; raises ConnectError after ``timeout_s`` at the latest."""
    tcp_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_s):
            await tcp_socket.connect(address)
    except trio.TooSlowError as error:
        tcp_socket.close()
        raise ConnectError(f"no connection within {timeout_s:.3f} s") from error
    except OSError as error:
        tcp_socket.close()
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectError(str(error.strerror or error), refused) from error
    except BaseException:
        tcp_socket.close()
        raise
    return trio.SocketStream(tcp_socket)


async def receive(stream: trio.SocketStream, max_bytes: int) -> bytes:
    """
    Return the next bytes of a connection, or no bytes at its end.

    This function waits before it reads, since usually nothing has arrived yet; trio
    itself tries to read, fails, waits and reads. Raises the same exceptions as trio.
    """
    while True:
        if stream.socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection was closed here")
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """
    Send bytes, with a single system call if the kernel accepts all of them.

    Raises the same exceptions as trio.
    """
    try:
        sent_bytes = os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        sent_bytes = 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
    if sent_bytes < len(data):
        await stream.send_all(memoryview(data)[sent_bytes:])


def is_idle(stream: trio.SocketStream | trio.SocketListener) -> bool:
    """
    Whether a connection has neither ended nor received bytes that weren't read.

    For a listener, whether no connection waits to be accepted. Reads nothing and
    doesn't wait.
    """
    return not _has_event(stream, select.POLLIN)


def has_ended(stream: trio.SocketStream) -> bool:
    """
    Whether the other side has closed a connection, or it has broken.

    Bytes that came before that may still be unread. Reads nothing and doesn't wait.
    """
    return _has_event(stream, select.POLLRDHUP)


def count_undelivered_bytes(stream: trio.SocketStream) -> int:
    """
    Return how many sent bytes the other side hasn't acknowledged.

    The kernel goes on sending them after a plain close. Returns 0 for a connection that
    is closed already.
    """
    return _read_count(stream, termios.TIOCOUTQ)


def count_unread_bytes(stream: trio.SocketStream) -> int:
    """
    Return how many bytes have arrived that weren't read.

    The end of the other side counts as none. Returns 0 for a connection that is closed
    already.
    """
    return _read_count(stream, termios.FIONREAD)


def enlarge_send_buffer(stream: trio.SocketStream) -> None:
    """
    Let the kernel take as much as it can of what the other side hasn't read yet.

    It takes no more than the machine's limit, ``net.core.wmem_max``. A buffer that the
    kernel has enlarged beyond that by itself is left as it is.
    """
    size = LARGEST_SEND_BUFFER_BYTES
    with contextlib.suppress(OSError):
        # trio has it hold a few unsent bytes only.
        stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)
        if _read_send_buffer(stream.socket) < _find_largest_send_buffer():
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)


def count_send_room(stream: trio.SocketStream) -> int:
    """
    Return how many bytes the kernel takes now though the other side reads none.

    Returns 0 for a connection that is closed already.
    """
    try:
        buffer_bytes = _read_send_buffer(stream.socket)
    except OSError:
        return 0
    return max(0, buffer_bytes - count_undelivered_bytes(stream))


def abort(stream: trio.SocketStream) -> None:
    """Close a connection immediately; the kernel still delivers what was sent."""
    stream.socket.close()


def reset(stream: trio.SocketStream) -> None:
    """Close a connection immediately and discard what isn't delivered yet."""
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_AT_CLOSE)
    stream.socket.close()


def _find_largest_send_buffer() -> int:
    """Return the size that a send buffer gets if the largest one is asked for."""
    with socket.socket() as probe:
        size = LARGEST_SEND_BUFFER_BYTES
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        return _read_send_buffer(probe)


def _read_send_buffer(tcp_socket: socket.socket | trio.socket.SocketType) -> int:
    """Return the bytes of data that a send buffer holds; raises OSError."""
    # Linux doubles the size for its own records.
    return tcp_socket.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) // 2


def _read_count(stream: trio.SocketStream, request: int) -> int:
    """Return a byte count that the kernel keeps of a connection, 0 once it is closed."""
    try:
        count = fcntl.ioctl(stream.socket.fileno(), request, bytes(4))
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", count)[0])


def _has_event(stream: trio.SocketStream | trio.SocketListener, event: int) -> bool:
    """Whether an event, the end or a fault of a socket waits; doesn't wait for it."""
    poll = select.poll()
    try:
        poll.register(stream.socket.fileno(), event)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True
