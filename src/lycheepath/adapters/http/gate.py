"""
Refuses requests by their headers alone, before the body is read.

The web framework reads bodies as they arrive. This ASGI middleware runs
before it and refuses requests that have no valid key, are too large or must
stay in another region, and all requests to a draining host. The body of a
refused request is never read from the connection.
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

MAX_BODY_BYTES = 2_000_000
MAX_HEADERS_BYTES = 12_000
UNAUTHENTICATED_PATHS = frozenset({"/health", "/ready", "/metrics", "/openapi.json"})
CLIENT_KEY = "lycheepath.client"
FORWARD_KEY = "lycheepath.forward"
ARRIVED_AT_KEY = "lycheepath.arrived"


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
    Return an ASGI application that calls ``check`` before the inner one.

    ``check`` may add entries to the scope; ``count`` is called with the
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


def has_operator_key(head: RequestHead, key_sha256: str) -> bool:
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
    if headers_bytes > MAX_HEADERS_BYTES:
        return Problem(
            431,
            "headers-too-large",
            Run.NOT_RUN,
            f"Keep the headers under {MAX_HEADERS_BYTES} bytes.",
        )
    for name, value in scope["headers"]:
        if name.lower() == b"content-length" and _exceeds_body_limit(value):
            return Problem(
                413,
                "body-too-large",
                Run.NOT_RUN,
                f"Keep the body under {MAX_BODY_BYTES} bytes.",
            )
    return None


def _exceeds_body_limit(content_length: bytes) -> bool:
    return not content_length.isdigit() or int(content_length) > MAX_BODY_BYTES


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
