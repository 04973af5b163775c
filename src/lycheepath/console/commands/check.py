"""The command that checks an environment document."""

from __future__ import annotations

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument

from ...core.environment.reading import digest
from ..documents import load_environment, print_text


class CheckCommand(Command):
    """Checks a document and prints all findings at once."""

    name = "check"
    description = "Checks an environment document and prints all findings."
    arguments: ClassVar = [argument("file", "The environment document (JSON).")]

    def handle(self) -> int:
        """Return 0 for a valid document, else 1."""
        path = self.argument("file")
        environment = load_environment(self, path)
        if environment is None:
            return 1
        print_text(
            self,
            f"{path}: sound; environment {environment.name}, revision "
            f"{environment.revision}, {environment.stage.value}, "
            f"{len(environment.hosts)} hosts, {len(environment.targets)} targets, "
            f"digest {digest(environment)}",
        )
        return 0
