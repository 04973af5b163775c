"""Prints the stories of requests that hosts' logs tell."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ..core.explaining.causes import find_cause, find_gaps, group_lines, has_failed
from .documents import print_text
from .request_logs import LogError, read_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cleo.commands.command import Command

    from ..core.explaining.causes import GroupedLines

HIDDEN = frozenset({"at", "host", "event", "level", "request"})


def load_stories(command: Command, paths: Iterable[str]) -> GroupedLines | None:
    """Return the stories that logs tell, or print why they can't be read."""
    try:
        return group_lines(read_log_lines(paths))
    except LogError as error:
        command.line_error(f"<error>{error}</error>")
        return None


def print_story(command: Command, request: str, stories: GroupedLines) -> int:
    """Print a request's lines and the cause of its failure; 1 if none is found."""
    story = stories.by_request.get(request)
    if story is None:
        command.line_error(f"<error>No line names the request {request}.</error>")
        return 1
    for line in story:
        fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in HIDDEN)
        moment = f"{float(line.get('at', 0.0)):.3f} {line.get('host', '')}"
        print_text(command, f"{moment} {line['event']} {fields}")
    for gap in find_gaps(story, stories):
        counts = " ".join(f"{kind}={count}" for kind, count in gap.counts.items())
        print_text(command, f"{gap.at:.3f} {gap.host} gap: lines left out: {counts}")
    if not has_failed(story):
        return 0
    cause = find_cause(story, stories)
    print_text(command, f"cause: {cause.text}")
    return 0 if cause.found else 1


def print_drawn_causes(
    command: Command, count: int, seed: int, stories: GroupedLines
) -> int:
    """Draw failed requests and print their causes; 1 if one isn't found."""
    failed = sorted(r for r, s in stories.by_request.items() if has_failed(s))
    drawn = random.Random(seed).sample(failed, min(count, len(failed)))
    found = 0
    for request in drawn:
        cause = find_cause(stories.by_request[request], stories)
        found += cause.found
        print_text(command, f"{request} {cause.text}")
    share = f"{found} of {len(drawn)} causes found"
    print_text(command, f"{share}; {len(failed)} requests failed")
    return 0 if found == len(drawn) else 1
