"""
The HTTP transport of all clients, with the addresses that it may reach.

A host that must not be reached looks like one behind a cut link: nothing is
sent, and the connection attempt ends after its timeout. Production reaches
every address; tests cut links between processes with it.
"""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

import httpx
import trio

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    MayReach = Callable[[str], bool]


CUT_CHECK_S = 0.02


def reach_all(address: str) -> bool:
    """Allow every address."""
    return True


def build_transport(
    may_reach: MayReach = reach_all, max_idle_connections: int = 64
) -> httpx.AsyncBaseTransport:
    """Return a transport without a bound on connections, keeping ``most_kept``."""
    limits = httpx.Limits(
        max_connections=None, max_keepalive_connections=max_idle_connections
    )
    transport = httpx.AsyncHTTPTransport(verify=_load_authorities(), limits=limits)
    if may_reach is reach_all:
        return transport
    return _CutTransport(transport, may_reach)


@cache
def _load_authorities() -> ssl.SSLContext:
    """Load the certificate authorities once for all clients of the process."""
    return httpx.create_ssl_context(trust_env=False)


class _CutTransport(httpx.AsyncBaseTransport):
    def __init__(
        self, transport: httpx.AsyncBaseTransport, may_reach: MayReach
    ) -> None:
        self._transport = transport
        self._may_reach = may_reach

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        address = f"{request.url.host}:{request.url.port}"
        if not self._may_reach(address):
            timeouts = request.extensions.get("timeout", {})
            await trio.sleep(timeouts.get("connect") or 1.0)
            raise httpx.ConnectTimeout(f"{address} is cut off", request=request)
        outcome: httpx.Response | httpx.HTTPError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_cut, address, nursery.cancel_scope)
            try:
                outcome = await self._transport.handle_async_request(request)
            except httpx.HTTPError as error:
                outcome = error
            nursery.cancel_scope.cancel()
        if outcome is None:
            raise httpx.ReadError(f"{address} was cut off", request=request)
        if isinstance(outcome, httpx.HTTPError):
            raise outcome
        return outcome

    async def aclose(self) -> None:
        await self._transport.aclose()

    async def _cancel_when_cut(self, address: str, scope: trio.CancelScope) -> None:
        while self._may_reach(address):
            await trio.sleep(CUT_CHECK_S)
        scope.cancel()
