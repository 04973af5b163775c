"""
Determination from log lines of the outcome of a request, and its cause.

The log lines of all hosts are needed. A request that was forwarded to another
region has lines of two hosts under the same id::

    grouped = group_lines(lines)
    cause = find_cause(grouped.by_request["9c41"], grouped)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .team_refusals import find_next_step

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    Line = Mapping[str, Any]

# Events that end a request at the host that handles it.
END_EVENTS = ("answered", "failure-passed-on", "refused", "broken-off", "left")
FAILED_END_EVENTS = frozenset(END_EVENTS) - {"answered"}
# Logged when a connection ends with a request on it that got no complete answer.
UNANSWERED_EVENT = "request-unanswered"
# Events that are logged before a request ends.
STEP_EVENTS = ("placed", "send-failed", "relayed")
SILENT_EVENT, RESUMED_EVENT = "attempt-silent", "attempt-resumed"
# Logged by a host that omitted lines, together with the next line that it writes.
OMITTED_EVENT = "log-lines-omitted"
# Log lines are limited per second, and the event that reports omitted ones is
# logged in the following second.
MAX_GAP_REPORT_DELAY_S = 2.0


@dataclass(frozen=True, slots=True)
class Cause:
    """Why a request failed; ``found`` is set if the lines contain the cause."""

    found: bool
    text: str


@dataclass(frozen=True, slots=True)
class Gap:
    """Numbers of lines about requests that a host omitted before ``at``, by event."""

    host: str
    at: float
    counts: Mapping[str, int]


@dataclass(slots=True)
class GroupedLines:
    """
    Log lines grouped by request, and the starts and stops of each host.

    ``gaps`` holds the omitted lines about requests of each host,
    ``other_lines`` the lines that belong to none of these groups.
    """

    by_request: dict[str, list[Line]] = field(default_factory=dict)
    by_host: dict[str, list[Line]] = field(default_factory=dict)
    gaps: dict[str, list[Gap]] = field(default_factory=dict)
    other_lines: list[Line] = field(default_factory=list)


def group_lines(lines: Iterable[Line]) -> GroupedLines:
    """Group log lines by request, ordered by time."""
    grouped = GroupedLines()
    for line in sorted(lines, key=lambda line: float(line.get("at", 0.0))):
        request = line.get("request")
        host = str(line.get("host", ""))
        if request:
            grouped.by_request.setdefault(str(request), []).append(line)
        elif line.get("event") in ("start", "leaving", "stop"):
            grouped.by_host.setdefault(host, []).append(line)
        elif line.get("event") == OMITTED_EVENT:
            _record_gap(line, host, grouped)
        else:
            grouped.other_lines.append(line)
    return grouped


def find_gaps(lines: list[Line], grouped: GroupedLines) -> list[Gap]:
    """Return the gaps in which lines of a request may have been omitted."""
    start = float(lines[0].get("at", 0.0))
    hosts = {str(line.get("host", "")) for line in lines}
    ended = any(line.get("event") in END_EVENTS for line in lines)
    until = (
        float(lines[-1].get("at", 0.0)) + MAX_GAP_REPORT_DELAY_S
        if ended
        else float("inf")
    )
    return [
        gap
        for host in sorted(hosts)
        for gap in grouped.gaps.get(host, [])
        if start <= gap.at <= until
    ]


def _record_gap(line: Line, host: str, grouped: GroupedLines) -> None:
    counts = line.get("counts")
    if not isinstance(counts, dict):
        return
    omitted = {
        kind: n for kind, n in counts.items() if kind in (*END_EVENTS, *STEP_EVENTS)
    }
    if omitted:
        gap = Gap(host, float(line.get("at", 0.0)), omitted)
        grouped.gaps.setdefault(host, []).append(gap)


def has_failed(lines: list[Line]) -> bool:
    """Return whether a request ended without an answer, or no end is logged."""
    events = {line.get("event") for line in lines}
    if "answered" in events:
        return False
    return bool(events & FAILED_END_EVENTS) or bool(
        events & {"placed", UNANSWERED_EVENT}
    )


def find_cause(lines: list[Line], grouped: GroupedLines) -> Cause:
    """Return why a request failed, and which of its attempts were silent then."""
    cause = _find_end_cause(lines, grouped)
    silent: dict[str, Line] = {}
    for line in lines:
        target = str(line.get("target") or "a host")
        if line.get("event") == SILENT_EVENT:
            silent[target] = line
        elif line.get("event") == RESUMED_EVENT:
            silent.pop(target, None)
    texts = [
        f"{target} was silent since {line.get('silent_s')} s before {line.get('at')}"
        for target, line in silent.items()
    ]
    return Cause(cause.found, "; ".join((cause.text, *texts)))


def _find_end_cause(lines: list[Line], grouped: GroupedLines) -> Cause:
    ends = [line for line in lines if line.get("event") in FAILED_END_EVENTS]
    if not ends:
        return _explain_missing_end(lines, grouped)
    failures = [line for line in lines if line.get("event") == "send-failed"]
    first = ends[0]
    event = first["event"]
    if event == "refused":
        return _add_no_place(_explain_refusal(first, failures), first)
    if event == "failure-passed-on":
        return _explain_failures(f"passed on status {first.get('status')}", failures)
    if event == "broken-off":
        return _add_no_place(_explain_break(first, failures), first)
    return _explain_disconnect(first, lines)


def _add_no_place(cause: Cause, end: Line) -> Cause:
    """Add why no other attempt was made."""
    if not end.get("no_place"):
        return cause
    return Cause(cause.found, f"{cause.text}; no other attempt: {end['no_place']}")


def _explain_refusal(end: Line, failures: list[Line]) -> Cause:
    reason = str(end.get("reason") or "")
    status = end.get("status")
    if failures:
        return _explain_failures(f"refused with {status}", failures)
    text = f"refused with {status}: {reason or 'no reason logged'}"
    next_step = find_next_step(reason)
    return Cause(bool(reason), f"{text}; {next_step}" if next_step else text)


def _explain_failures(what: str, failures: list[Line]) -> Cause:
    if not failures:
        return Cause(False, f"{what}; no failed attempt is logged")
    steps = [f"{line.get('target')}: {line.get('reason')}" for line in failures]
    return Cause(
        all(line.get("reason") for line in failures), f"{what}; " + "; ".join(steps)
    )


def _explain_break(end: Line, failures: list[Line]) -> Cause:
    if failures:
        return _explain_failures("broken off during the answer", failures)
    reason = end.get("reason")
    return Cause(
        bool(reason), f"broken off during the answer: {reason or 'no reason logged'}"
    )


def _explain_disconnect(end: Line, lines: list[Line]) -> Cause:
    took = end.get("took_s")
    placed = [line for line in lines if line.get("event") == "placed"]
    if end.get("first_s") is not None:
        gap = end.get("longest_gap_s")
        return Cause(
            True,
            f"the caller disconnected after {took} s, during the answer "
            f"(longest gap {gap} s)",
        )
    if not placed:
        return Cause(
            True, f"the caller disconnected after {took} s, before the request was sent"
        )
    last = placed[-1]
    return Cause(
        True,
        f"the caller disconnected after {took} s; "
        f"{last.get('target')} had not begun to answer "
        f"(expected after {last.get('expected_s')} s)",
    )


def _explain_unanswered(line: Line) -> Cause:
    began = "during" if line.get("answer_started") else "before"
    text = f"the connection ended {began} the answer: {line.get('reason')}"
    held_up_s = float(line.get("held_up_s") or 0.0)
    if held_up_s:
        text += f" (the event loop was late by {held_up_s} s)"
    return Cause(bool(line.get("reason")), text)


def _explain_missing_end(lines: list[Line], grouped: GroupedLines) -> Cause:
    """Return the cause if the connection or the host ended without an answer."""
    unanswered = [line for line in lines if line.get("event") == UNANSWERED_EVENT]
    if unanswered:
        return _explain_unanswered(unanswered[-1])
    placed = [line for line in lines if line.get("event") == "placed"]
    if not placed:
        return Cause(False, "the request was never sent, and its end is not logged")
    last = placed[-1]
    host = str(last.get("host", ""))
    later = [
        line
        for line in grouped.by_host.get(host, [])
        if float(line["at"]) > float(last["at"])
    ]
    if later and later[0].get("event") == "start":
        return Cause(
            True, f"{host} was killed while {last.get('target')} processed the request"
        )
    if later:
        return Cause(True, f"{host} shut down before the answer had ended")
    gaps = [gap for gap in find_gaps(lines, grouped) if gap.host == host]
    if gaps:
        omitted = sum(sum(gap.counts.values()) for gap in gaps)
        return Cause(
            False,
            f"{host} logged nothing more of the request, and omitted {omitted} lines "
            f"about requests since",
        )
    return Cause(False, f"{host} logged nothing more of the request, nor a stop")
