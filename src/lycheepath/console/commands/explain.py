"""The command that explains the outcome of a request."""

from __future__ import annotations

import json
from typing import ClassVar
from urllib.parse import quote

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..documents import print_text
from ..operator_pages import PageProblem, fetch_page
from ..placement_questions import WOULD_OPTIONS, print_placement
from ..request_history import (
    load_request_lines,
    print_request_history,
    print_sampled_causes,
)
from ..request_logs import LOG_OPTION


class ExplainCommand(Command):
    """
    Prints the decisions about one request.

    They are read from a host's operators' page, or from the logs of any hosts::

        lycheepath explain 10.0.0.1:8000 REQUEST
        lycheepath explain REQUEST --log east.log --log west.log
        lycheepath explain --draw 30 --log - < all.log

    A gateway also says where a request would go now; nothing is sent to a target::

        lycheepath explain 10.0.0.1:9464 --would books.example/drafts/ --team search \\
            --prompt 900 --answer 200 --part system:500
    """

    name = "explain"
    description = "Says what became of a request, or would become of one, and why."
    arguments: ClassVar = [
        argument("host", "The host as IP:port; with --log the request's id.", True),
        argument("request", "The request's id, from X-Request-Id.", True),
    ]
    options: ClassVar = [
        LOG_OPTION,
        option("draw", "d", "Failed requests to draw from the logs.", flag=False),
        option("seed", None, "The seed of the draw.", flag=False, default="1"),
        *WOULD_OPTIONS,
    ]

    def handle(self) -> int:
        """Return 0 if the request and its cause are found, 1 if not, 2 for bad usage."""
        if self.option("log"):
            return self._read_logs(list(self.option("log")))
        if self.option("would") and self.argument("host"):
            return print_placement(self, self.argument("host"))
        if not self.argument("host") or not self.argument("request"):
            self.line_error(
                "<error>Name a host and a request, a host and --would HOST/PATH, or a"
                " request and --log FILE.</error>"
            )
            return 2
        request = quote(self.argument("request"), safe="")
        page = fetch_page(self.argument("host"), f"/operator/explain/{request}")
        if isinstance(page, PageProblem):
            self.line_error(page.message)
            return 1
        print_text(self, json.dumps(page, indent=2))
        return 0

    def _read_logs(self, paths: list[str]) -> int:
        request = self.argument("request") or self.argument("host")
        draw = self.option("draw") or ""
        if not request and not draw.isdigit():
            self.line_error("<error>Name a request, or --draw NUMBER.</error>")
            return 2
        grouped = load_request_lines(self, paths)
        if grouped is None:
            return 2
        if request:
            return print_request_history(self, str(request), grouped)
        return print_sampled_causes(self, int(draw), int(self.option("seed")), grouped)
