"""
Client for model engines with an OpenAI-style HTTP interface.

An attempt is always streamed, even if the caller requests a complete answer,
so that it can be resumed after an engine crash. The stream is read in chunks
as they arrive: a chunk may contain several events.
"""

from __future__ import annotations

from contextlib import aclosing, asynccontextmanager
from typing import TYPE_CHECKING, Any

import httpx
import orjson
import trio

from ...ports.targets import EngineRequest, TargetFailureError
from ..transports import build_transport, reach_all

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from ..transports import MayReach

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 10.0
STREAM_END_TIMEOUT_S = 0.1
MAX_EVENT_BYTES = 1_000_000


class EngineClient:
    """Streams chat completions from engines and reads their load."""

    def __init__(self, may_reach: MayReach = reach_all) -> None:
        self._client = httpx.AsyncClient(
            timeout=httpx.Timeout(CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
            transport=build_transport(may_reach),
            trust_env=False,
        )

    @asynccontextmanager
    async def stream(
        self, address: str, request: EngineRequest
    ) -> AsyncIterator[AsyncIterator[list[bytes]]]:
        """
        Open a stream and yield an iterator over lists of event payloads.

        Raises ``TargetFailureError``. Leaving the context by an exception closes
        the connection, which cancels the work at the engine. Leaving it after
        the last token reads the stream to its end, so that the connection can
        be reused.
        """
        url = f"http://{address}/v1/chat/completions"
        content = orjson.dumps(_build_engine_body(request))
        headers = {
            "content-type": "application/json",
            "x-request-id": request.request_id,
        }
        try:
            async with self._client.stream(
                "POST", url, content=content, headers=headers
            ) as answer:
                if answer.status_code != 200:
                    raise TargetFailureError(
                        f"status {answer.status_code}",
                        sent=True,
                        status=answer.status_code,
                    )
                async with aclosing(_read_events(answer)) as events:
                    yield events
                    await _read_to_end(events)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise TargetFailureError(repr(error), sent=False) from error
        except httpx.HTTPError as error:
            timed_out = isinstance(error, httpx.TimeoutException)
            raise TargetFailureError(
                repr(error), sent=True, timed_out=timed_out
            ) from error

    async def read_load(self, address: str, timeout_s: float) -> dict[str, Any] | None:
        """Return the engine's load report, or None if none arrived in time."""
        try:
            answer = await self._client.get(
                f"http://{address}/v1/load", timeout=timeout_s
            )
            report = orjson.loads(answer.content)
        except (httpx.HTTPError, orjson.JSONDecodeError):
            return None
        return report if isinstance(report, dict) else None

    async def order(
        self, address: str, order: dict[str, Any], timeout_s: float
    ) -> int | None:
        """Send an order; return the status, or None if there was no answer."""
        try:
            answer = await self._client.post(
                f"http://{address}/v1/orders", json=order, timeout=timeout_s
            )
        except httpx.HTTPError:
            return None
        return answer.status_code

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def _build_engine_body(request: EngineRequest) -> dict[str, Any]:
    body = {**request.body, "stream": True, "priority": request.priority}
    if request.resume_tokens:
        body["resume"] = {
            "text": request.resume_text,
            "tokens": request.resume_tokens,
        }
    return body


async def _read_to_end(events: AsyncIterator[list[bytes]]) -> None:
    with trio.move_on_after(STREAM_END_TIMEOUT_S):
        async for _ in events:
            pass


async def _read_events(answer: httpx.Response) -> AsyncGenerator[list[bytes], None]:
    pending = b""
    async for chunk in answer.aiter_raw():
        pending += chunk
        if b"\n\n" not in pending:
            if len(pending) > MAX_EVENT_BYTES:
                raise TargetFailureError("an event exceeds its bound", sent=True)
            continue
        events = pending.split(b"\n\n")
        pending = events.pop()
        yield [event[6:] for event in events if event.startswith(b"data: ")]
