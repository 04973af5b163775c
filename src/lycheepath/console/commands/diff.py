"""The command that lists what changes from one document to another."""

from __future__ import annotations

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument

from ...core.configuration.issuers import check_issuers
from ...core.environment.differences import compare_environments
from ...core.environment.promotion import check_succession
from ..documents import load_environment, print_findings, print_text


class DiffCommand(Command):
    """Prints the differences between two documents."""

    name = "diff"
    description = "Says in words what changes from one document to another."
    arguments: ClassVar = [
        argument("before", "The document in force (JSON)."),
        argument("after", "The document to publish (JSON)."),
    ]

    def handle(self) -> int:
        """Return 0 if the second may succeed the first, else 1."""
        before = load_environment(self, self.argument("before"))
        after = load_environment(self, self.argument("after"))
        if before is None or after is None:
            return 1
        differences = compare_environments(before, after)
        if not differences:
            self.line("Nothing changes.")
            return 0
        for difference in differences:
            print_text(self, difference.describe())
        findings = (*check_succession(before, after), *check_issuers(before, after))
        print_findings(self, self.argument("after"), findings)
        return 1 if findings else 0
