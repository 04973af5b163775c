"""Calls of this host's own, to the store and to other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError

if TYPE_CHECKING:
    from ..core.addresses import Address
    from .node import GatewayNode

MOST_BYTES = 32 << 20
CONNECT_S = 0.8
# For an answer of the store, which may wait for changes, and for everything.
ANSWER_S = 2.5


class CallFailedError(Exception):
    """A call to the store or to another host brought no usable answer."""


async def fetch(
    node: GatewayNode, address: Address, path: str, limit_s: float
) -> tuple[int, bytes]:
    """
    Return the status and the whole body of a GET within a time.

    Raises CallFailedError.
    """
    headers = [(b"host", str(address).encode())]
    try:
        with trio.fail_after(limit_s):
            upstream = await node.pool.take(address, CONNECT_S, node.now())
            try:
                status, _ = await upstream.request(b"GET", path.encode(), headers, b"")
                body = await upstream.read_whole(MOST_BYTES)
            except BaseException:
                upstream.close()
                raise
            node.pool.give_back(upstream, None, node.now())
    except trio.TooSlowError as error:
        raise CallFailedError("no answer in time") from error
    except (ConnectError, BrokenAnswerError) as error:
        raise CallFailedError(str(error)) from error
    return status, body
