"""
Checks what callers got around planned stops, by the rules on draining.

Within a SIGTERM of the host that took a request, until 1 s after the grace, a request
that a target got must be answered completely. Excused is what the target broke off, what
reached its deadline, and what was sent no later than 3 s after SIGTERM if its target
still worked on it in the last sixth of the grace::

    list(find_violations(stops, requests, runs))
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

GRACE_S = 8.0
# Time after the grace until which a stop is planned work.
AFTER_GRACE_S = 1.0
# Time after SIGTERM until which a request isn't late.
EARLY_S = 3.0
# Time after SIGTERM from which on a host may cut off what isn't late.
FINAL_S = GRACE_S * 5 / 6
# Statuses that say that a request hasn't run.
REFUSALS = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Stop:
    """A host that was told to end; ``killed`` if it still ran after the grace."""

    host: str
    told_at: float
    ended_at: float
    killed: bool = False
    code: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """
    What a caller sent, and what it got.

    ``events`` is the number of events of a stream, 0 for a text, and ``event_bytes`` the
    size of what they carry; ``whole`` says that the answer is complete, of whatever status.
    """

    id: str
    host: str
    sent_at: float
    ended_at: float
    deadline_s: float
    events: int
    status: int
    whole: bool
    body: bytes
    event_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """The time in which a target worked on a request."""

    request_id: str
    since: float
    until: float
    broke_off: bool = False


def write_body(request_id: str, events: int, event_bytes: int = 0) -> bytes:
    """Return the body of a whole answer to a request."""
    if not events:
        return request_id.encode()
    return b"".join(
        write_event(request_id, number, event_bytes) for number in range(events)
    )


def write_event(request_id: str, number: int, event_bytes: int = 0) -> bytes:
    """Return an event of the answer to a request; the first has the number 0."""
    data = f"{request_id}/{number}".ljust(event_bytes, ".")
    return f"id: {number + 1}\ndata: {data}\n\n".encode()


def find_violations(
    stops: Sequence[Stop], requests: Sequence[Request], runs: Sequence[Run]
) -> Iterator[str]:
    """Yield a description of each stop and each request that broke a rule."""
    for stop in stops:
        if stop.killed or stop.code:
            how = "was killed" if stop.killed else f"ended with {stop.code}"
            after_s = stop.ended_at - stop.told_at
            yield f"{stop.host}: {how} {after_s:.2f} s after SIGTERM at {stop.told_at:.3f}"
    runs_of = group_runs(runs)
    for request in requests:
        ran = runs_of.get(request.id, [])
        fault = _find_fault(request, ran, stops)
        if fault:
            yield f"{fault}: {_describe(request, ran, stops)}"


def count_outcomes(
    requests: Sequence[Request], runs_of: Mapping[str, Sequence[Run]]
) -> Counter[str]:
    """Return the number of requests by outcome."""
    return Counter(_find_outcome(each, bool(runs_of.get(each.id))) for each in requests)


def group_runs(runs: Sequence[Run]) -> dict[str, list[Run]]:
    """Return the runs of each request by its id."""
    grouped: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        grouped[run.request_id].append(run)
    return grouped


def find_stop(request: Request, stops: Sequence[Stop]) -> Stop | None:
    """Return the stop of its host within which a request ended, if there is one."""
    for stop in stops:
        until = stop.told_at + GRACE_S + AFTER_GRACE_S
        if stop.host == request.host and stop.told_at <= request.ended_at <= until:
            return stop
    return None


def is_late(request: Request, stops: Sequence[Stop]) -> bool:
    """Whether a request was sent to a host that had been told to end over 3 s before."""
    return any(
        stop.host == request.host
        and stop.told_at + EARLY_S < request.sent_at < stop.ended_at
        for stop in stops
    )


def _find_fault(
    request: Request, ran: Sequence[Run], stops: Sequence[Stop]
) -> str | None:
    body = write_body(request.id, request.events, request.event_bytes)
    if request.status == 200:
        if request.whole and request.body != body:
            return "wrong answer"
        if not body.startswith(request.body):
            return "joined answer"
    if ran and request.status in REFUSALS:
        return f"{request.status} though a target got it"
    if not ran or request.whole:
        return None
    stop = find_stop(request, stops)
    if stop is None or _is_excused(request, ran, stop):
        return None
    return "cut off"


def _is_excused(request: Request, ran: Sequence[Run], stop: Stop) -> bool:
    if request.ended_at - request.sent_at >= request.deadline_s:
        return True
    if any(run.broke_off for run in ran):
        return True
    # What a target does after its answer was cut off is no work on the request.
    worked_until = min(max(run.until for run in ran), request.ended_at)
    early = request.sent_at <= stop.told_at + EARLY_S
    return early and worked_until >= stop.told_at + FINAL_S


def _find_outcome(request: Request, ran: bool) -> str:
    if request.whole:
        if request.status == 200:
            return "whole"
        return "refused" if request.status in REFUSALS else "failed"
    if request.ended_at - request.sent_at >= request.deadline_s:
        return "timed out"
    return "cut" if ran else "not taken"


def _describe(request: Request, ran: Sequence[Run], stops: Sequence[Stop]) -> str:
    stop = find_stop(request, stops)
    told_at = stop.told_at if stop else 0.0
    zero = "after SIGTERM" if stop else "no SIGTERM"
    worked = ", ".join(
        f"{run.since - told_at:.3f} to {run.until - told_at:.3f}" for run in ran
    )
    got = request.body.count(b"\n\n")
    return (
        f"{request.id} at {request.host}, sent {request.sent_at - told_at:.3f} s,"
        f" ended {request.ended_at - told_at:.3f} s {zero}"
        f" ({told_at:.3f}), status {request.status}, {got} of {request.events} events,"
        f" target worked {worked or 'never'}"
    )
