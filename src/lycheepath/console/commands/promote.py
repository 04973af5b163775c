"""The command that prints a document promoted to another stage."""

from __future__ import annotations

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ...core.environment.model import Stage
from ...core.environment.promotion import format_environment, promote_environment
from ..documents import load_environment, print_text


class PromoteCommand(Command):
    """Prints the next revision for another stage, without publishing it."""

    name = "promote"
    description = "Prints the document's next revision in another stage."
    arguments: ClassVar = [argument("file", "The environment document (JSON).")]
    options: ClassVar = [
        option("to", "t", "The stage: trial or production.", flag=False)
    ]

    def handle(self) -> int:
        """Return 0 after printing, 1 for an invalid document, 2 for bad usage."""
        stage_name = self.option("to")
        stages = {stage.value: stage for stage in Stage}
        if stage_name not in stages:
            self.line_error("Name the stage: --to trial or --to production.")
            return 2
        environment = load_environment(self, self.argument("file"))
        if environment is None:
            return 1
        if environment.stage is stages[stage_name]:
            self.line_error(f"The document is in {stage_name} already; nothing to do.")
            return 1
        promoted = promote_environment(environment, stages[stage_name])
        print_text(self, format_environment(promoted).rstrip("\n"))
        return 0
