"""The command that runs one entry host."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from ...host.settings import Settings


class ServeCommand(Command):
    """Runs one entry host until it receives a signal to stop."""

    name = "serve"
    description = "Runs one entry host."
    options: ClassVar = [
        option("settings", "s", "The settings file (JSON).", flag=False),
    ]

    def handle(self) -> int:
        """Run the host; return 0 after it has stopped, 2 for invalid settings."""
        from ...host.process import run_host
        from ...host.settings_reader import read_settings

        path = self.option("settings")
        if not path:
            self.line_error("<error>Name the settings file: --settings FILE</error>")
            return 2
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            self.line_error(f"<error>Can't read {path}: {error}</error>")
            return 2
        settings = read_settings(text)
        if not isinstance(settings, Settings):
            for finding in settings.items:
                self.line_error(f"{path}: {finding.describe()}")
            return 2
        run_host(settings)
        return 0
