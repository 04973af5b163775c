"""
The answers of a target, of which a caller can predict every byte.

The body of an answer is derived from the request's id and the size in its path,
each event of a stream from the id and the event's number.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum

from .versions import remove_versions

EVENT_END = b"\n\n"


class RequestKind(Enum):
    """The kinds of request; each is a route's prefix below ``/v0/``."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMED = "resumed"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMED)

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RequestKind.SAFE, RequestKind.RESUMED)


@dataclass(frozen=True, slots=True)
class Work:
    """The work in a path: bytes of a body, or events of a stream."""

    kind: RequestKind
    size: int


def read_path(path: str) -> Work | None:
    """Return the work in ``/ROUTE/KIND/SIZE``; None if the path is malformed."""
    parts = path.strip("/").split("/")
    if len(parts) != 3 or not parts[2].isdigit():
        return None
    try:
        return Work(RequestKind(parts[1]), int(parts[2]))
    except ValueError:
        return None


def write_path(work: Work, route: str = "v0") -> str:
    """Return the path that requests some work."""
    return f"/{route}/{work.kind.value}/{work.size}"


def make_body(request_id: str, size: int) -> bytes:
    """Return a body of ``size`` bytes that is unique to the request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def make_event(request_id: str, number: int, version: str = "") -> bytes:
    """Return one event of a request's stream, with the version that wrote it."""
    text = hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()[:24]
    if version:
        text += f" {version}"
    return b"id: %d\ndata: %s" % (number, text.encode()) + EVENT_END


def sign(request_id: str) -> str:
    """Return the signature on a target's answer to a request."""
    return "s." + hashlib.sha256(f"signed {request_id}".encode()).hexdigest()[:16]


def is_valid_body(work: Work, request_id: str, body: bytes, first: int = 1) -> bool:
    """
    Whether the body of a complete answer is the target's.

    ``first`` is the number of the first event that a stream has to bring.
    """
    if not work.kind.is_stream:
        return body == make_body(request_id, work.size)
    return remove_versions(body) == _make_stream(work, request_id, first)


def is_valid_prefix(work: Work, request_id: str, body: bytes, first: int = 1) -> bool:
    """Whether the body of a truncated answer is a prefix of the target's."""
    if not work.kind.is_stream:
        return make_body(request_id, work.size).startswith(body)
    return _make_stream(work, request_id, first).startswith(remove_versions(body))


def _make_stream(work: Work, request_id: str, first: int) -> bytes:
    numbers = range(first, work.size + 1)
    return b"".join(make_event(request_id, number) for number in numbers)
