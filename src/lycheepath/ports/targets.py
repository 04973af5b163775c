"""
What a host needs of targets: streams from engines and calls of services.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping
    from contextlib import AbstractAsyncContextManager


class TargetFailureError(Exception):
    """
    A target did not answer as it should.

    ``sent`` is False only when no byte of the request left for the target.
    ``status`` is the HTTP status that it answered with, or 0. ``timed_out``
    says that it kept the connection but was silent for too long.
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

    ``resume_text`` holds the first ``resume_tokens`` tokens of the answer,
    which the engine continues.
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
    """What a service answered."""

    status: int
    content_type: str
    body: bytes


class Engines(Protocol):
    """Streams chat completions from engines and reads their load."""

    def stream(
        self, address: str, request: EngineRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[list[bytes]]]:
        """
        Open a stream and yield an iterator over lists of event payloads.

        Raises ``TargetFailureError``. Leaving the context cancels the work at
        the engine.
        """

    async def read_load(self, address: str, timeout_s: float) -> dict[str, Any] | None:
        """Return a load report, or None where there was none in time."""

    async def order(
        self, address: str, order: dict[str, Any], timeout_s: float
    ) -> int | None:
        """Send an order; return the status, or None if there was no answer."""


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

        Raises ``TargetFailureError`` where there is no whole answer, and
        ``SendRefusedError`` as ``before_send`` raised it.
        """
