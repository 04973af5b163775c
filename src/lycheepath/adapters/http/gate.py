"""
What is decided from the headers alone, before a body is read.

The web framework reads bodies as they arrive. This ASGI layer stands before
it: a request without a valid key, one that is too large, one that must stay
in another region, and any request to a draining host is answered here, and
its body is never taken from the connection.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ...core.outcomes import Run
from .problems import Problem

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    Scope = dict[str, Any]
    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]
    AsgiApplication = Callable[[Scope, Receive, Send], Awaitable[None]]

LARGEST_BODY_BYTES = 2_000_000
LARGEST_HEADERS_BYTES = 12_000
OPEN_PATHS = frozenset({"/health", "/ready", "/metrics", "/openapi.json"})
CLIENT_KEY = "lycheepath.client"
FORWARD_KEY = "lycheepath.forward"
ARRIVED_KEY = "lycheepath.arrived"


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The method, path and headers of a request; header names in lower case."""

    method: str
    path: str
    headers: Mapping[str, str]

    def bearer(self) -> str:
        """Return the bearer credential, or an empty string."""
        scheme, _, credential = self.headers.get("authorization", "").partition(" ")
        return credential.strip() if scheme.lower() == "bearer" else ""


def build_gate(
    application: AsgiApplication,
    check: Callable[[RequestHead, Scope], Problem | None],
    count: Callable[[str], None],
) -> AsgiApplication:
    """
    Return an ASGI application that asks ``check`` before the inner one.

    ``check`` may add what it found to the scope, and ``count`` takes the
    reason of each refusal.
    """

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await application(scope, receive, send)
            return
        problem = _check_size(scope)
        if problem is None:
            problem = check(_read_head(scope), scope)
        if problem is None:
            await application(scope, receive, send)
            return
        count(problem.reason)
        await _send_problem(send, problem)

    return serve


def operator_allowed(head: RequestHead, key_sha256: str) -> bool:
    """Return whether the request carries the operators' key."""
    if not key_sha256:
        return False
    digest = hashlib.sha256(head.bearer().encode()).hexdigest()
    return hmac.compare_digest(digest, key_sha256)


def _read_head(scope: Scope) -> RequestHead:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    return RequestHead(scope["method"], scope["path"], headers)


def _check_size(scope: Scope) -> Problem | None:
    headers_bytes = sum(len(name) + len(value) for name, value in scope["headers"])
    if headers_bytes > LARGEST_HEADERS_BYTES:
        return Problem(
            431,
            "headers-too-large",
            Run.NOT_RUN,
            f"Keep the headers under {LARGEST_HEADERS_BYTES} bytes.",
        )
    for name, value in scope["headers"]:
        if name.lower() == b"content-length" and _too_long(value):
            return Problem(
                413,
                "body-too-large",
                Run.NOT_RUN,
                f"Keep the body under {LARGEST_BODY_BYTES} bytes.",
            )
    return None


def _too_long(content_length: bytes) -> bool:
    return not content_length.isdigit() or int(content_length) > LARGEST_BODY_BYTES


async def _send_problem(send: Send, problem: Problem) -> None:
    body = problem.body()
    headers = {
        **problem.headers(),
        "content-length": str(len(body)),
        "connection": "close",
    }
    await send(
        {
            "type": "http.response.start",
            "status": problem.status,
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
    )
    await send({"type": "http.response.body", "body": body, "more_body": False})
