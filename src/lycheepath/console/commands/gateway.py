"""The command that runs one gateway on the users' platform."""

from __future__ import annotations

import os
from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option


class GatewayCommand(Command):
    """Runs one gateway until it is told to end."""

    name = "gateway"
    description = "Runs one gateway on the platform's settings."
    options: ClassVar = [
        option("settings", "s", "The platform's settings file (JSON).", flag=False),
    ]

    def handle(self) -> int:
        """Read the settings and run the gateway."""
        from ...gateway.process import run_gateway
        from ...platform.settings import (
            SETTINGS_VARIABLE,
            SettingsError,
            read_settings,
        )

        path = self.option("settings") or os.environ.get(SETTINGS_VARIABLE)
        if not path:
            self.line_error(
                "<error>Name the settings file with --settings FILE or the "
                f"variable {SETTINGS_VARIABLE}.</error>"
            )
            return 2
        try:
            settings = read_settings(Path(path).read_bytes())
        except (OSError, SettingsError) as error:
            self.line_error(f"<error>Can't use {path}: {error}</error>")
            return 2
        run_gateway(settings)
        return 0
