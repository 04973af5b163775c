"""
Tells from log lines what became of a request, and why.

The lines are those of all hosts. A request that was passed to another region
has lines of two hosts under the same id::

    stories = group_lines(lines)
    cause = find_cause(stories.by_request["9c41"], stories)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    Line = Mapping[str, Any]

# Events that end a request at the host that decides over it.
ENDS = ("answered", "failure-passed-on", "refused", "broken-off", "left")
FAILED_ENDS = frozenset(ENDS) - {"answered"}
# What is logged before a request ends.
STEPS = ("placed", "send-failed", "relayed")
# Told by a host that left out lines, when it writes the next one.
OMITTED = "log-lines-omitted"
# Lines are counted by the second, and left out ones are told in the next.
GAP_S = 2.0


@dataclass(frozen=True, slots=True)
class Cause:
    """Why a request failed; ``found`` says whether the lines tell."""

    found: bool
    text: str


@dataclass(frozen=True, slots=True)
class Gap:
    """Lines about requests that a host left out, by kind, told at a time."""

    host: str
    at: float
    counts: Mapping[str, int]


@dataclass(slots=True)
class GroupedLines:
    """
    The lines of each request, and the starts and stops of each host.

    ``gaps`` are the times at which hosts left out lines about requests.
    """

    by_request: dict[str, list[Line]] = field(default_factory=dict)
    by_host: dict[str, list[Line]] = field(default_factory=dict)
    gaps: dict[str, list[Gap]] = field(default_factory=dict)
    beliefs: list[Line] = field(default_factory=list)


def group_lines(lines: Iterable[Line]) -> GroupedLines:
    """Sort log lines by request, in the order of their times."""
    stories = GroupedLines()
    for line in sorted(lines, key=lambda line: float(line.get("at", 0.0))):
        request = line.get("request")
        host = str(line.get("host", ""))
        if request:
            stories.by_request.setdefault(str(request), []).append(line)
        elif line.get("event") in ("start", "leaving", "stop"):
            stories.by_host.setdefault(host, []).append(line)
        elif line.get("event") == OMITTED:
            _note_gap(line, host, stories)
        else:
            stories.beliefs.append(line)
    return stories


def find_gaps(story: list[Line], stories: GroupedLines) -> list[Gap]:
    """Return the gaps in which lines of a request may have been left out."""
    begun = float(story[0].get("at", 0.0))
    hosts = {str(line.get("host", "")) for line in story}
    ended = any(line.get("event") in ENDS for line in story)
    until = float(story[-1].get("at", 0.0)) + GAP_S if ended else float("inf")
    return [
        gap
        for host in sorted(hosts)
        for gap in stories.gaps.get(host, [])
        if begun <= gap.at <= until
    ]


def _note_gap(line: Line, host: str, stories: GroupedLines) -> None:
    counts = line.get("counts")
    if not isinstance(counts, dict):
        return
    ours = {kind: n for kind, n in counts.items() if kind in (*ENDS, *STEPS)}
    if ours:
        gap = Gap(host, float(line.get("at", 0.0)), ours)
        stories.gaps.setdefault(host, []).append(gap)


def has_failed(story: list[Line]) -> bool:
    """Whether a request ended without an answer, or without an end at all."""
    events = {line.get("event") for line in story}
    if "answered" in events:
        return False
    return bool(events & FAILED_ENDS) or "placed" in events


def find_cause(story: list[Line], stories: GroupedLines) -> Cause:
    """Return why a request failed."""
    ends = [line for line in story if line.get("event") in FAILED_ENDS]
    if not ends:
        return _explain_missing_end(story, stories)
    failures = [line for line in story if line.get("event") == "send-failed"]
    first = ends[0]
    event = first["event"]
    if event == "refused":
        return _explain_refusal(first, failures)
    if event == "failure-passed-on":
        return _explain_failures(f"passed on status {first.get('status')}", failures)
    if event == "broken-off":
        return _explain_break(first, failures)
    return _explain_leaving(first, story)


def _explain_refusal(end: Line, failures: list[Line]) -> Cause:
    reason = str(end.get("reason") or "")
    status = end.get("status")
    if failures:
        return _explain_failures(f"refused with {status}", failures)
    return Cause(bool(reason), f"refused with {status}: {reason or 'no reason logged'}")


def _explain_failures(what: str, failures: list[Line]) -> Cause:
    if not failures:
        return Cause(False, f"{what}; no sending is logged")
    steps = [f"{line.get('target')}: {line.get('reason')}" for line in failures]
    return Cause(
        all(line.get("reason") for line in failures), f"{what}; " + "; ".join(steps)
    )


def _explain_break(end: Line, failures: list[Line]) -> Cause:
    if failures:
        return _explain_failures("broken off midway", failures)
    reason = end.get("reason")
    return Cause(bool(reason), f"broken off midway: {reason or 'no reason logged'}")


def _explain_leaving(end: Line, story: list[Line]) -> Cause:
    took = end.get("took_s")
    placed = [line for line in story if line.get("event") == "placed"]
    if end.get("first_s") is not None:
        gap = end.get("longest_gap_s")
        return Cause(
            True, f"the caller left after {took} s, midway (longest gap {gap} s)"
        )
    if not placed:
        return Cause(True, f"the caller left after {took} s, before it was sent")
    last = placed[-1]
    return Cause(
        True,
        f"the caller left after {took} s; {last.get('target')} had not begun to answer "
        f"(expected after {last.get('expected_s')} s)",
    )


def _explain_missing_end(story: list[Line], stories: GroupedLines) -> Cause:
    """Find out whether the host that had the request stopped."""
    placed = [line for line in story if line.get("event") == "placed"]
    if not placed:
        return Cause(False, "the request was never sent, and its end is not logged")
    last = placed[-1]
    host = str(last.get("host", ""))
    later = [
        line
        for line in stories.by_host.get(host, [])
        if float(line["at"]) > float(last["at"])
    ]
    if later and later[0].get("event") == "start":
        return Cause(True, f"{host} was killed while {last.get('target')} worked on it")
    if later:
        return Cause(True, f"{host} left before the answer had ended")
    gaps = [gap for gap in find_gaps(story, stories) if gap.host == host]
    if gaps:
        left_out = sum(sum(gap.counts.values()) for gap in gaps)
        return Cause(
            False,
            f"{host} logs nothing more of it, and left out {left_out} lines "
            f"about requests since",
        )
    return Cause(False, f"{host} logs nothing more of it, nor a stop")
