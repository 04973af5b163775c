"""
Counts of failed and late requests from log lines, by cause, route and time.

A request counts as late if its first event came after the latency objective of
its route, and as lost if it got no answer. Requests that reached no host leave
no log lines: ``region_outages`` holds the times in which no host of a region
ran::

    losses = sum_losses(group_lines(lines), window_s=2.0)
    losses.by_cause[Loss.REFUSED_LATE]
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from .causes import FAILED_END_EVENTS
from .team_refusals import (
    AT_LIMIT,
    LIMIT_UNKNOWN,
    NO_HOME,
    NO_TIME,
    OVER_SHARE,
    UNKNOWN_TEAM,
    VIEW_UNPROVEN,
    WRONG_KEY,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from .causes import GroupedLines

    Line = Mapping[str, Any]

# If the first event took longer than its estimate times this factor, the delay is
# attributed to the estimate.
UNDERESTIMATE_FACTOR = 1.5


class Loss(Enum):
    """Why a request failed or was late."""

    REFUSED_LATE = "refused as too late"
    NO_OPEN_TARGET = "no target was open"
    HOST_DRAINING = "its host was leaving"
    TARGETS_DOWN = "targets went down under it"
    TARGET_FAILED = "its target failed or broke off"
    NO_END_LOGGED = "no end logged: its host stopped, or left lines out"
    CALLER_DISCONNECTED = "its caller left"
    DEADLINE_PASSED = "its time was over"
    LATE_UNDERESTIMATED = "late, estimated too short"
    LATE_AFTER_RETRY = "late after another sending"
    LATE_AS_ESTIMATED = "late as estimated"
    WRONG_KEY = "its key was unknown, missing or malformed"
    VIEW_UNPROVEN = "its host's view of the configuration wasn't proven recent"
    UNKNOWN_TEAM = "a host that it was relayed to didn't know its team"
    NO_HOME = "its team and route had no home region in common"
    AT_LIMIT = "its team was at its limit"
    LIMIT_UNKNOWN = "the use of its team's limit wasn't known"
    OVER_SHARE = "its team was over its share of a service short of room"
    NO_TIME = "no target could end its answer in time"
    OTHER = "other"


# Prefixes of the reasons that hosts log for refusals.
REASON_PREFIXES = (
    ("first event expected", Loss.REFUSED_LATE),
    ("no target is", Loss.NO_OPEN_TARGET),
    ("the answer takes", Loss.HOST_DRAINING),
    ("another host can finish", Loss.HOST_DRAINING),
    ("this host ends", Loss.HOST_DRAINING),
    ("targets went down", Loss.TARGETS_DOWN),
    ("the time is over", Loss.DEADLINE_PASSED),
)
# Patterns of those that name a team, or are for its key.
REASON_PATTERNS = (
    (WRONG_KEY, Loss.WRONG_KEY),
    (VIEW_UNPROVEN, Loss.VIEW_UNPROVEN),
    (UNKNOWN_TEAM, Loss.UNKNOWN_TEAM),
    (NO_HOME, Loss.NO_HOME),
    (AT_LIMIT, Loss.AT_LIMIT),
    (LIMIT_UNKNOWN, Loss.LIMIT_UNKNOWN),
    (OVER_SHARE, Loss.OVER_SHARE),
    (NO_TIME, Loss.NO_TIME),
)


@dataclass(slots=True)
class Losses:
    """
    Counts of requests and losses.

    The keys of ``by_window`` and ``requests_by_window`` are the starts of the
    windows in seconds after the first request.
    """

    requests: int = 0
    within_objective: int = 0
    by_cause: Counter[Loss] = field(default_factory=Counter)
    by_route: Counter[tuple[str, Loss]] = field(default_factory=Counter)
    by_window: Counter[tuple[float, Loss]] = field(default_factory=Counter)
    requests_by_window: Counter[float] = field(default_factory=Counter)
    region_outages: list[tuple[str, float, float]] = field(default_factory=list)


def sum_losses(grouped: GroupedLines, window_s: float) -> Losses:
    """Count the losses in the log lines of all hosts."""
    losses = Losses()
    first_at = min(
        (_find_start_time(s) for s in grouped.by_request.values()), default=0.0
    )
    for lines in grouped.by_request.values():
        route = _find_route(lines)
        if not route:
            continue
        window = (_find_start_time(lines) - first_at) // window_s * window_s
        losses.requests += 1
        losses.requests_by_window[window] += 1
        loss = find_loss(lines)
        if loss is None:
            losses.within_objective += 1
            continue
        losses.by_cause[loss] += 1
        losses.by_route[route, loss] += 1
        losses.by_window[window, loss] += 1
    losses.region_outages = [
        (region, begin - first_at, end - first_at)
        for region, begin, end in _find_outages(grouped)
    ]
    return losses


def find_loss(lines: Sequence[Line]) -> Loss | None:
    """Return why a request failed or was late; None if it met its objective."""
    answers = [line for line in lines if line.get("event") == "answered"]
    if answers:
        return _classify_answer(answers[-1])
    ends = [line for line in lines if line.get("event") in FAILED_END_EVENTS]
    if not ends:
        return Loss.NO_END_LOGGED
    if any(line.get("event") == "send-failed" for line in lines):
        return Loss.TARGET_FAILED
    return _classify_end(ends[0])


def _classify_answer(answer: Line) -> Loss | None:
    aim_s = answer.get("aim_s")
    first_s = answer.get("first_s") or answer.get("took_s")
    if aim_s is None or first_s is None or first_s <= aim_s:
        return None
    if int(answer.get("sends") or 1) > 1:
        return Loss.LATE_AFTER_RETRY
    expected_s = float(answer.get("expected_s") or 0.0)
    return (
        Loss.LATE_UNDERESTIMATED
        if first_s > UNDERESTIMATE_FACTOR * expected_s
        else Loss.LATE_AS_ESTIMATED
    )


def _classify_end(end: Line) -> Loss:
    reason = str(end.get("reason") or "")
    if end.get("event") == "left":
        return Loss.CALLER_DISCONNECTED
    if end.get("event") == "failure-passed-on":
        return Loss.TARGET_FAILED
    for begin, loss in REASON_PREFIXES:
        if reason.startswith(begin):
            return loss
    found = (loss for pattern, loss in REASON_PATTERNS if pattern.fullmatch(reason))
    return next(found, Loss.OTHER)


def _find_outages(grouped: GroupedLines) -> Iterable[tuple[str, float, float]]:
    """
    Return the times at which no host of a region ran, according to their lines.

    A host that was killed logs no stop: it is considered stopped from its last
    line before a start.
    """
    seen_at = _collect_times(grouped)
    changes: dict[str, list[tuple[float, int]]] = {}
    hosts: Counter[str] = Counter()
    for host, lines in grouped.by_host.items():
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
        stopped, since = 0, 0.0
        for at, change in sorted(ends):
            if stopped == hosts[region]:
                yield region, since, at
            stopped += change
            since = at


def _collect_times(grouped: GroupedLines) -> dict[str, list[float]]:
    """Return the times of each host's lines, in order."""
    times: dict[str, list[float]] = {host: [] for host in grouped.by_host}
    groups = [
        *grouped.by_request.values(),
        *grouped.by_host.values(),
        grouped.other_lines,
    ]
    for lines in groups:
        for line in lines:
            host = str(line.get("host", ""))
            if host in times:
                times[host].append(float(line["at"]))
    for host_times in times.values():
        host_times.sort()
    return times


def _find_start_time(lines: list[Line]) -> float:
    first = lines[0]
    return float(first.get("at", 0.0)) - float(first.get("took_s") or 0.0)


def _find_route(lines: list[Line]) -> str:
    return next((str(line["route"]) for line in lines if line.get("route")), "")
