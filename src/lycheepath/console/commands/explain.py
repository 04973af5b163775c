"""The command that says why a target was chosen or refused for a request."""

from __future__ import annotations

import json
from typing import ClassVar
from urllib.parse import quote

from cleo.commands.command import Command
from cleo.helpers import argument

from ..documents import print_text
from ..operator_pages import PageProblem, fetch_page


class ExplainCommand(Command):
    """Prints the decisions of a host about one request."""

    name = "explain"
    description = "Says why a target was chosen or refused for a request."
    arguments: ClassVar = [
        argument("host", "The host as IP:port."),
        argument("request", "The request's id, from X-Request-Id."),
    ]

    def handle(self) -> int:
        """Return 0 when the host knows the request, else 1."""
        request = quote(self.argument("request"), safe="")
        page = fetch_page(self.argument("host"), f"/operator/explain/{request}")
        if isinstance(page, PageProblem):
            self.line_error(page.message)
            return 1
        print_text(self, json.dumps(page, indent=2))
        return 0
