"""
Sums up from log lines what callers lost, by cause, kind of request and time.

A request is lost in part if its first event came after its route's aim, and whole
if it got no answer. Its route tells its kind. Callers that no host heard of leave
no lines: ``hosts_away`` names the seconds in which none of a region ran::

    losses = sum_losses(group_lines(lines), window_s=2.0)
    losses.by_cause[Loss.REFUSED_LATE]
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from .causes import FAILED_ENDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from .causes import GroupedLines

    Line = Mapping[str, Any]

# An answer that took longer than its estimate by this factor was estimated wrongly.
WRONG_FACTOR = 1.5


class Loss(Enum):
    """Why a request was lost, or was late."""

    REFUSED_LATE = "refused as too late"
    CLOSED = "no target was open"
    HOST_LEAVING = "its host was leaving"
    BARRED = "targets went down under it"
    TARGET_FAILED = "its target failed or broke off"
    NO_END = "no end logged: its host stopped, or left lines out"
    CALLER_LEFT = "its caller left"
    TIME_OVER = "its time was over"
    LATE_WRONG = "late, estimated too short"
    LATE_RETRIED = "late after another sending"
    LATE_KNOWN = "late as estimated"
    OTHER = "other"


# How the reasons that hosts log for a refusal begin.
REASONS = (
    ("first event expected", Loss.REFUSED_LATE),
    ("no target is", Loss.CLOSED),
    ("the answer takes", Loss.HOST_LEAVING),
    ("targets went down", Loss.BARRED),
    ("the time is over", Loss.TIME_OVER),
)


@dataclass(slots=True)
class Losses:
    """What was counted; keys of ``by_window`` are the beginnings of windows."""

    requests: int = 0
    within_objective: int = 0
    by_cause: Counter[Loss] = field(default_factory=Counter)
    by_route: Counter[tuple[str, Loss]] = field(default_factory=Counter)
    by_window: Counter[tuple[float, Loss]] = field(default_factory=Counter)
    requests_by_window: Counter[float] = field(default_factory=Counter)
    region_outages: list[tuple[str, float, float]] = field(default_factory=list)


def sum_losses(stories: GroupedLines, window_s: float) -> Losses:
    """Return the losses that the lines of all hosts tell."""
    losses = Losses()
    first_at = min((_begun_at(s) for s in stories.by_request.values()), default=0.0)
    for story in stories.by_request.values():
        route = _find_route(story)
        if not route:
            continue
        window = (_begun_at(story) - first_at) // window_s * window_s
        losses.requests += 1
        losses.requests_by_window[window] += 1
        loss = find_loss(story)
        if loss is None:
            losses.within_objective += 1
            continue
        losses.by_cause[loss] += 1
        losses.by_route[route, loss] += 1
        losses.by_window[window, loss] += 1
    losses.region_outages = [
        (region, begin - first_at, end - first_at)
        for region, begin, end in _find_absences(stories)
    ]
    return losses


def find_loss(story: Sequence[Line]) -> Loss | None:
    """Return why a request was lost or late; None if it was in its aim."""
    answers = [line for line in story if line.get("event") == "answered"]
    if answers:
        return _judge_answer(answers[-1])
    ends = [line for line in story if line.get("event") in FAILED_ENDS]
    if not ends:
        return Loss.NO_END
    if any(line.get("event") == "send-failed" for line in story):
        return Loss.TARGET_FAILED
    return _judge_end(ends[0])


def _judge_answer(answer: Line) -> Loss | None:
    aim_s = answer.get("aim_s")
    first_s = answer.get("first_s") or answer.get("took_s")
    if aim_s is None or first_s is None or first_s <= aim_s:
        return None
    if int(answer.get("sends") or 1) > 1:
        return Loss.LATE_RETRIED
    expected_s = float(answer.get("expected_s") or 0.0)
    return Loss.LATE_WRONG if first_s > WRONG_FACTOR * expected_s else Loss.LATE_KNOWN


def _judge_end(end: Line) -> Loss:
    reason = str(end.get("reason") or "")
    if end.get("event") == "left":
        return Loss.CALLER_LEFT
    if end.get("event") == "failure-passed-on":
        return Loss.TARGET_FAILED
    found = (loss for begin, loss in REASONS if reason.startswith(begin))
    return next(found, Loss.OTHER)


def _find_absences(stories: GroupedLines) -> Iterable[tuple[str, float, float]]:
    """
    Return when no host of a region ran, as far as their lines tell.

    A host that was killed logs no end: it was away from its last line before a start.
    """
    seen_at = _gather_times(stories)
    changes: dict[str, list[tuple[float, int]]] = {}
    hosts: Counter[str] = Counter()
    for host, lines in stories.by_host.items():
        region = next((str(li["region"]) for li in lines if li.get("region")), "")
        hosts[region] += 1
        times = seen_at[host]
        for line in lines:
            started_at = float(line["at"])
            before = bisect_left(times, started_at) - 1
            if line["event"] == "start" and before >= 0:
                ends = [(times[before], 1), (started_at, -1)]
                changes.setdefault(region, []).extend(ends)
    for region, ends in changes.items():
        away, away_since = 0, 0.0
        for at, change in sorted(ends):
            if away == hosts[region]:
                yield region, away_since, at
            away += change
            away_since = at


def _gather_times(stories: GroupedLines) -> dict[str, list[float]]:
    """Return the times of each host's lines, in order."""
    times: dict[str, list[float]] = {host: [] for host in stories.by_host}
    groups = [*stories.by_request.values(), *stories.by_host.values(), stories.beliefs]
    for lines in groups:
        for line in lines:
            host = str(line.get("host", ""))
            if host in times:
                times[host].append(float(line["at"]))
    for held in times.values():
        held.sort()
    return times


def _begun_at(story: list[Line]) -> float:
    first = story[0]
    return float(first.get("at", 0.0)) - float(first.get("took_s") or 0.0)


def _find_route(story: list[Line]) -> str:
    return next((str(line["route"]) for line in story if line.get("route")), "")
