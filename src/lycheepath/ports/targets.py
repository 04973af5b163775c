"""Protocols for targets: streams from engines and calls of plain services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping
    from contextlib import AbstractAsyncContextManager


class TargetFailureError(Exception):
    """
    A target gave no valid answer.

    ``sent`` is False only if no byte of the request was sent to the target.
    ``status`` is the HTTP status of the answer, or 0 if there was none.
    ``timed_out`` is True if the connection stayed open but no data arrived in
    time.
    """

    def __init__(
        self, detail: str, *, sent: bool, status: int = 0, timed_out: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.status = status
        self.timed_out = timed_out


class SendRefusedError(Exception):
    """Raised by ``before_send`` to stop a call before its first byte."""


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """
    A chat completion for an engine; ``body`` is the caller's JSON object.

    ``resume_text`` holds the first ``resume_tokens`` tokens of the answer; the
    engine continues after them.
    """

    request_id: str
    body: dict[str, Any]
    priority: int
    resume_text: str = ""
    resume_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call of a plain service; ``path`` starts with a slash."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class Engines(Protocol):
    """Streams chat completions from engines, reads their load and sends orders."""

    def stream(
        self, address: str, request: EngineRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[list[bytes]]]:
        """
        Open a stream and yield an iterator over lists of event payloads.

        Raises ``TargetFailureError``. Leaving the context cancels the request
        at the engine.
        """

    async def read_load(self, address: str, timeout_s: float) -> dict[str, Any] | None:
        """Return a load report, or None if none arrived within ``timeout_s``."""

    async def order(
        self, address: str, order: dict[str, Any], timeout_s: float
    ) -> int | None:
        """Send an order; return the HTTP status, or None if there was no answer."""


class Services(Protocol):
    """Calls plain services."""

    async def call(
        self,
        address: str,
        request: ServiceRequest,
        before_send: Callable[[], None] | None = None,
    ) -> ServiceAnswer:
        """
        Call a service and return its answer, whatever the status.

        ``before_send`` is called right before the first byte is sent. Raises
        ``TargetFailureError`` if there is no complete answer, and passes on the
        ``SendRefusedError`` that ``before_send`` raises.
        """
