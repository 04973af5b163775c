"""
Client for plain services over HTTP.

Each call opens a new connection: if the target closed a reused one while the
call was being sent, it would be unknown whether the call was run.
``before_send`` is called after the connection is established and before the
first byte is sent, so that a process which was paused in between can still
refuse the call.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpx

from ...core.serving.answers import ends_with_connection, find_valid_status
from ...ports.targets import ServiceAnswer, ServiceRequest, TargetFailureError
from ..transports import build_transport, reach_all
from .engine import CONNECT_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..transports import MayReach

MAX_ANSWER_BYTES = 8_000_000
TRACE_EVENT_BEFORE_SEND = "http11.send_request_headers.started"
# The client reads an answer though sending the request has failed.
TRACE_EVENTS_SEND_FAILED = frozenset(
    {"http11.send_request_headers.failed", "http11.send_request_body.failed"}
)


class ServiceClient:
    """Calls plain services."""

    def __init__(self, may_reach: MayReach = reach_all) -> None:
        self._client = httpx.AsyncClient(
            transport=build_transport(may_reach, max_idle_connections=0),
            trust_env=False,
        )

    async def call(
        self,
        address: str,
        request: ServiceRequest,
        before_send: Callable[[], None] | None = None,
    ) -> ServiceAnswer:
        """
        Call the service and return its answer, whatever the status.

        Raises ``TargetFailureError`` if no complete answer arrives, and passes
        on ``SendRefusedError`` from ``before_send``.
        """

        send_failed = False

        async def trace(event: str, info: dict[str, Any]) -> None:
            nonlocal send_failed
            send_failed = send_failed or event in TRACE_EVENTS_SEND_FAILED
            if event == TRACE_EVENT_BEFORE_SEND and before_send is not None:
                before_send()

        timeout = httpx.Timeout(request.timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            async with self._client.stream(
                request.method,
                f"http://{address}{request.path}",
                content=request.body,
                headers=dict(request.headers),
                timeout=timeout,
                extensions={"trace": trace, "timeout": timeout.as_dict()},
            ) as answer:
                whole = await _read_answer(answer)
                names = (name.lower() for name, _ in answer.headers.raw)
                method = request.method.encode()
                if send_failed and ends_with_connection(
                    method, answer.status_code, names
                ):
                    raise TargetFailureError("the connection was reset", sent=True)
                return whole
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise TargetFailureError(repr(error), sent=False) from error
        except httpx.HTTPError as error:
            raise TargetFailureError(repr(error), sent=True) from error

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


async def _read_answer(answer: httpx.Response) -> ServiceAnswer:
    body = b""
    async for chunk in answer.aiter_raw():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise TargetFailureError("the answer exceeds its bound", sent=True)
    return ServiceAnswer(
        find_valid_status(answer.status_code),
        answer.headers.get("content-type", "application/octet-stream"),
        body,
    )
