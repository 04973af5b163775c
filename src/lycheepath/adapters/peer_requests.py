"""
Requests from one host to another over HTTP, signed with the shared keys.

Forwarded requests and the small questions between hosts go this way;
heartbeats and news go by datagram.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import orjson

from .http.gate import RequestHead
from .http.signatures import PASSED_HEADER, sign_request
from .transports import build_transport, reach_all

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..host.settings import PeerKey
    from .transports import MayReach

CONNECT_TIMEOUT_S = 0.5
ASK_TIMEOUT_S = 2.0
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """What a peer answered."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """
    A peer gave no answer.

    ``sent`` is False only when no byte of the request left for it.
    """

    sent: bool
    detail: str


class PeerRequests:
    """Sends signed requests to other hosts."""

    def __init__(
        self,
        host: str,
        keys: tuple[PeerKey, ...],
        may_reach: MayReach = reach_all,
    ) -> None:
        self._host = host
        self._keys = keys
        self._client = httpx.AsyncClient(
            transport=build_transport(may_reach),
            trust_env=False,
        )

    async def query(
        self, address: str, path: str, payload: Any = None
    ) -> dict[str, Any] | PeerUnreachable:
        """Ask a peer; a question makes it a POST. Only 200 counts as an answer."""
        method = "GET" if payload is None else "POST"
        body = b"" if payload is None else orjson.dumps(payload)
        answer = await self.send(address, method, path, {}, body, ASK_TIMEOUT_S)
        if isinstance(answer, PeerUnreachable):
            return answer
        if answer.status != 200:
            return PeerUnreachable(True, f"status {answer.status}")
        try:
            value = orjson.loads(answer.body)
        except orjson.JSONDecodeError as error:
            return PeerUnreachable(True, str(error))
        return value if isinstance(value, dict) else PeerUnreachable(True, "no object")

    async def forward(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> PeerAnswer | PeerUnreachable:
        """Forward a caller's request, marked with this host as passed."""
        kept = {
            name: value for name, value in headers.items() if name not in HOP_HEADERS
        }
        kept[PASSED_HEADER] = self._host
        return await self.send(address, method, target, kept, body, timeout_s)

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> PeerAnswer | PeerUnreachable:
        """Send one signed request and return the whole answer."""
        head = RequestHead(method, target.partition("?")[0], headers)
        signed = {
            **headers,
            **sign_request(head, self._host, self._keys, time.time()),
        }
        try:
            answer = await self._client.request(
                method,
                f"http://{address}{target}",
                content=body,
                headers=signed,
                timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return PeerUnreachable(False, repr(error))
        except httpx.HTTPError as error:
            return PeerUnreachable(True, repr(error))
        return PeerAnswer(answer.status_code, answer.headers, answer.content)
