"""The command that tells the story of a request from the hosts' logs."""

from __future__ import annotations

import random
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...core.explaining.causes import (
    Stories,
    find_cause,
    gather_stories,
    has_failed,
)
from ..documents import print_text
from ..request_logs import LogError, read_log_lines

HIDDEN = frozenset({"at", "host", "event", "level", "request"})


class StoryCommand(Command):
    """Prints what became of a request, or of failed ones drawn at random."""

    name = "story"
    description = "Tells from hosts' logs what became of a request, and why."
    arguments: ClassVar = [
        argument(
            "request", "The request's id; without it, failed ones are drawn.", True
        ),
    ]
    options: ClassVar = [
        option(
            "log", "l", "A log file; standard input without any.", False, multiple=True
        ),
        option("draw", "d", "How many failed requests to draw.", False, default="30"),
        option("seed", None, "The seed of the draw.", False, default="1"),
    ]

    def handle(self) -> int:
        """Return 0 when a cause was found for all that was asked, else 1."""
        try:
            stories = gather_stories(read_log_lines(self.option("log")))
        except LogError as error:
            self.line_error(f"<error>{error}</error>")
            return 2
        request = self.argument("request")
        if request:
            return self._tell(str(request), stories)
        return self._draw(stories)

    def _tell(self, request: str, stories: Stories) -> int:
        story = stories.by_request.get(request)
        if story is None:
            self.line_error(f"<error>No line names the request {request}.</error>")
            return 1
        for line in story:
            fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in HIDDEN)
            print_text(
                self, f"{line['at']:.3f} {line['host']} {line['event']} {fields}"
            )
        if not has_failed(story):
            return 0
        cause = find_cause(story, stories)
        print_text(self, f"cause: {cause.text}")
        return 0 if cause.found else 1

    def _draw(self, stories: Stories) -> int:
        failed = sorted(r for r, s in stories.by_request.items() if has_failed(s))
        count = min(int(self.option("draw")), len(failed))
        drawn = random.Random(int(self.option("seed"))).sample(failed, count)
        found = 0
        for request in drawn:
            cause = find_cause(stories.by_request[request], stories)
            found += cause.found
            print_text(self, f"{request} {cause.text}")
        print_text(
            self, f"{found} of {count} causes found; {len(failed)} requests failed"
        )
        return 0 if found == count else 1
