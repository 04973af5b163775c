"""Limits on what a caller sends, and what is refused because of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import h11


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits on what a caller sends, in bytes and seconds."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


class BadRequestError(Exception):
    """
    The request is invalid or over a limit; ``status`` is the answer's status.

    ``headers`` are more headers of the answer.
    """

    def __init__(
        self, status: int, reason: str, headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers


def estimate_head_bytes(head: h11.Request) -> int:
    """Return the approximate size of a request's head as it was sent, in bytes."""
    line = len(head.method) + len(head.target) + len("  HTTP/1.1\r\n")
    return line + sum(len(name) + len(value) + 4 for name, value in head.headers) + 2
