"""The command that prints the status of a host."""

from __future__ import annotations

import json
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..documents import print_text
from ..operator_pages import PageProblem, fetch_page


class StatusCommand(Command):
    """Prints the status page of a host."""

    name = "status"
    description = "Shows the state, configuration and findings of a host."
    arguments: ClassVar = [argument("host", "The host as IP:port.")]
    options: ClassVar = [option("json", None, "Print the page as JSON.")]

    def handle(self) -> int:
        """Return 0 when the host answered, else 1."""
        page = fetch_page(self.argument("host"), "/operator/status")
        if isinstance(page, PageProblem):
            self.line_error(page.message)
            return 1
        if self.option("json") or not isinstance(page, dict):
            print_text(self, json.dumps(page, indent=2))
            return 0
        for name, value in page.items():
            print_text(self, f"{name}: {_shorten(value)}")
        return 0


def _shorten(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)
