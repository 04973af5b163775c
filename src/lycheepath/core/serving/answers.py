"""What the head of a target's answer says."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Requests that run and wait at a target, and its places."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """
    The head of an answer.

    ``not_run`` is the target's word that it did not run the request,
    ``other_target`` that another one now stands at the address. ``idle_s``
    is how long it keeps an idle connection, ``closes`` that it closes this one.
    ``leaving`` says that the target takes no new requests for good, ``busy_s``
    that it wants none from this host for so long. ``unread`` names headers that
    can't be read and count for nothing.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    load: ReportedLoad | None
    idle_s: float | None
    closes_connection: bool
    headers: tuple[tuple[bytes, bytes], ...]
    target_replaced: bool = False
    draining: bool = False
    busy_s: float | None = None
    unreadable_headers: tuple[str, ...] = ()

    @property
    def succeeded(self) -> bool:
        """Whether the target answered with success."""
        return 200 <= self.status < 300
