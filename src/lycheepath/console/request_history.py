"""Prints the log lines of requests and the causes of their failures."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ..core.explaining.causes import find_cause, find_gaps, group_lines, has_failed
from ..core.explaining.late_answers import explain_late
from .documents import print_text
from .request_logs import LogError, read_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cleo.commands.command import Command

    from ..core.explaining.causes import GroupedLines

HIDDEN_FIELDS = frozenset({"at", "host", "event", "level", "request"})


def load_request_lines(command: Command, paths: Iterable[str]) -> GroupedLines | None:
    """Return the logs' lines by request; if unreadable, print why and return None."""
    try:
        return group_lines(read_log_lines(paths))
    except LogError as error:
        command.line_error(f"<error>{error}</error>")
        return None


def print_request_history(command: Command, request: str, grouped: GroupedLines) -> int:
    """
    Print a request's lines and why it failed or was late.

    Returns 1 if the request or the cause of its failure isn't found.
    """
    lines = grouped.by_request.get(request)
    if lines is None:
        command.line_error(f"<error>No line names the request {request}.</error>")
        return 1
    for line in lines:
        fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in HIDDEN_FIELDS)
        moment = f"{float(line.get('at', 0.0)):.3f} {line.get('host', '')}"
        print_text(command, f"{moment} {line['event']} {fields}")
    for gap in find_gaps(lines, grouped):
        counts = " ".join(f"{kind}={count}" for kind, count in gap.counts.items())
        print_text(command, f"{gap.at:.3f} {gap.host} gap: lines left out: {counts}")
    if not has_failed(lines):
        late = explain_late(lines, grouped)
        if late is not None:
            print_text(command, f"cause: {late.text}")
        return 0
    cause = find_cause(lines, grouped)
    print_text(command, f"cause: {cause.text}")
    return 0 if cause.found else 1


def print_sampled_causes(
    command: Command, count: int, seed: int, grouped: GroupedLines
) -> int:
    """Print the causes of a sample of failures; return 1 if any is not found."""
    failed = sorted(r for r, s in grouped.by_request.items() if has_failed(s))
    drawn = random.Random(seed).sample(failed, min(count, len(failed)))
    found = 0
    for request in drawn:
        cause = find_cause(grouped.by_request[request], grouped)
        found += cause.found
        print_text(command, f"{request} {cause.text}")
    share = f"{found} of {len(drawn)} causes found"
    print_text(command, f"{share}; {len(failed)} requests failed")
    return 0 if found == len(drawn) else 1
