"""The command that prints the audit trail of a host."""

from __future__ import annotations

import json
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument

from ..documents import print_text
from ..operator_pages import PageProblem, fetch_page


class AuditCommand(Command):
    """
    Prints the changes that a host has recorded, one JSON object per line.

    Each object names its trail: ``records`` for changes of the host's state,
    ``configuration`` for the values offered to it.
    """

    name = "audit"
    description = "Prints the audit trail of a host, one JSON record a line."
    arguments: ClassVar = [argument("host", "The host as IP:port.")]

    def handle(self) -> int:
        """Return 0 when the host answered, else 1."""
        page = fetch_page(self.argument("host"), "/operator/audit")
        if isinstance(page, PageProblem):
            self.line_error(page.message)
            return 1
        for trail, records in page.items() if isinstance(page, dict) else ():
            for record in records if isinstance(records, list) else []:
                print_text(self, json.dumps({"trail": trail, "record": record}))
        return 0
