"""The head of a target's answer, and whether it may continue a stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Statuses that HTTP has (RFC 9110, section 15).
VALID_STATUSES = range(100, 600)
# The status that stands for one that HTTP doesn't have: Bad Gateway.
INVALID_STATUS_SUBSTITUTE = 502


def find_valid_status(stated: int) -> int:
    """
    Return the status of an answer as it is processed and passed on.

    A client is to process one that HTTP doesn't have like a failure of the server. Those
    below 100 don't come here: the parser rejects such a head, as it can't tell where the
    body ends::

        find_valid_status(404)    # 404
        find_valid_status(999)    # 502
    """
    return stated if stated in VALID_STATUSES else INVALID_STATUS_SUBSTITUTE


# Headers that show where a body ends, and statuses of answers without a body.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
EMPTY_BODY_STATUSES = frozenset({204, 304})


def ends_with_connection(method: bytes, status: int, names: Iterable[bytes]) -> bool:
    """
    Whether the body of an answer has neither a length nor chunks.

    It is whole only if the other side closes the connection. Linux reports a reset
    once: a reader has to take a reset that the sending of the request has met into
    account, since reading then meets the same end as after a close. ``names`` are
    those of the answer's headers, in lower case.
    """
    if method == b"HEAD" or status in EMPTY_BODY_STATUSES:
        return False
    return not FRAMING_HEADERS.intersection(names)


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """
    The running and waiting requests at a target, and its number of slots.

    ``work_time_percent`` is how long work takes on the target's machine at the moment,
    where 100 is as usual; None if the target doesn't report it.
    """

    running: int
    waiting: int
    slots: int
    work_time_percent: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """
    The head of an answer.

    ``not_run`` means that the target states that it did not run the request,
    ``target_replaced`` that another target now has the address. ``idle_s`` is how
    long the target keeps an idle connection; ``closes_connection`` means that it
    closes this one. ``draining`` means that the target accepts no new requests until
    it ends, ``busy_s`` is the time for which it refuses requests of this host.
    ``rate_limit`` is the number of requests per second that it accepts from all
    hosts together; ``rate_limit_unreadable`` means that it states one that can't be
    read. ``turn_away_limit`` is the number of requests that it can turn away in a second
    before it falls over, ``turn_away_limit_unreadable`` likewise.
    ``unreadable_headers`` names the headers that couldn't be parsed and are ignored.
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
    rate_limit: float | None = None
    rate_limit_unreadable: bool = False
    turn_away_limit: int | None = None
    turn_away_limit_unreadable: bool = False
    unreadable_headers: tuple[str, ...] = ()

    @property
    def turned_away(self) -> bool:
        """Whether the target had no room for the request, or no longer the time."""
        return self.not_run and self.status in (429, 503) and not self.draining

    @property
    def succeeded(self) -> bool:
        """Whether the answer has a status of success."""
        return 200 <= self.status < 300

    @property
    def media_type(self) -> bytes:
        """The media type of the body, without parameters; empty if none is stated."""
        content_type = dict(self.headers).get(b"content-type", b"")
        return content_type.partition(b";")[0].strip().lower()


def find_continuation_fault(started: AnswerHead, head: AnswerHead) -> str:
    """Return why ``head`` can't continue the answer ``started``, or an empty text."""
    if head.status != started.status:
        return f"expected status {started.status}, found {head.status}"
    if head.media_type != started.media_type:
        expected, found = started.media_type, head.media_type
        return f"expected content of type {expected!r}, found {found!r}"
    return ""
