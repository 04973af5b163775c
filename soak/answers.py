"""
What a target answers, so that callers can tell each byte of it.

The body of an answer is made from the request's id and the size that its path
asks for, and each event of a stream from the id and the event's number.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum

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
        """Whether it may run more than once."""
        return self in (RequestKind.SAFE, RequestKind.RESUMED)


@dataclass(frozen=True, slots=True)
class Work:
    """What a path asks for: bytes of a body, or events of a stream."""

    kind: RequestKind
    size: int


def read_path(path: str) -> Work | None:
    """Return the work that ``/ROUTE/KIND/SIZE`` asks for."""
    parts = path.strip("/").split("/")
    if len(parts) != 3 or not parts[2].isdigit():
        return None
    try:
        return Work(RequestKind(parts[1]), int(parts[2]))
    except ValueError:
        return None


def write_path(work: Work, route: str = "v0") -> str:
    """Return the path that asks for some work."""
    return f"/{route}/{work.kind.value}/{work.size}"


def make_body(request_id: str, size: int) -> bytes:
    """Return a body of ``size`` bytes that is this request's alone."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of this request's stream."""
    text = hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()[:24]
    return b"id: %d\ndata: %s" % (number, text.encode()) + EVENT_END


def sign(request_id: str) -> str:
    """Return the signature that a target puts on its answers."""
    return "s." + hashlib.sha256(f"signed {request_id}".encode()).hexdigest()[:16]


def is_right(work: Work, request_id: str, body: bytes) -> bool:
    """Whether the body of a whole answer is what the target makes."""
    if not work.kind.is_stream:
        return body == make_body(request_id, work.size)
    return body == _make_stream(work, request_id)


def begins_right(work: Work, request_id: str, body: bytes) -> bool:
    """Whether the body of an answer that broke off is the beginning of one."""
    if not work.kind.is_stream:
        return make_body(request_id, work.size).startswith(body)
    return _make_stream(work, request_id).startswith(body)


def _make_stream(work: Work, request_id: str) -> bytes:
    numbers = range(1, work.size + 1)
    return b"".join(make_event(request_id, number) for number in numbers)
