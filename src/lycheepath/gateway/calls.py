"""HTTP calls that the gateway itself makes to the store and to other hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from ..adapters.http1.sockets import ConnectError
from ..adapters.http1.upstream import BrokenAnswerError

if TYPE_CHECKING:
    from ..adapters.http1.upstream import Headers
    from ..core.addresses import Address
    from .node import GatewayNode

MAX_ANSWER_BYTES = 32 << 20
CONNECT_TIMEOUT_S = 0.8
# The store may hold a watch call open until there are changes; the timeout covers
# this wait and the transfer of the whole answer.
ANSWER_TIMEOUT_S = 2.5


class CallFailedError(Exception):
    """A call to the store or to another host returned no usable answer."""


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A complete answer to a call of the gateway's own."""

    status: int
    headers: Headers
    body: bytes


async def fetch(
    node: GatewayNode,
    address: Address,
    path: str,
    timeout_s: float,
    max_bytes: int = MAX_ANSWER_BYTES,
) -> FetchedAnswer:
    """
    Send a GET and return the complete answer.

    Raises CallFailedError if there is no complete answer within ``timeout_s``, or if it
    is over ``max_bytes``.
    """
    headers = [(b"host", str(address).encode())]
    try:
        with trio.fail_after(timeout_s):
            upstream = await node.pool.acquire(address, CONNECT_TIMEOUT_S, node.now())
            try:
                status, answered = await upstream.request(
                    b"GET", path.encode(), headers, b""
                )
                body = await upstream.read_all(max_bytes)
            except BaseException:
                upstream.close()
                raise
            node.pool.release(upstream, None, node.now())
    except trio.TooSlowError as error:
        raise CallFailedError("no answer in time") from error
    except (ConnectError, BrokenAnswerError) as error:
        raise CallFailedError(str(error)) from error
    return FetchedAnswer(status, answered, body)
