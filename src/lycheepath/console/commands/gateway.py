"""The command that runs one gateway on the users' platform."""

from __future__ import annotations

import signal
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option


class GatewayCommand(Command):
    """Runs one gateway until it receives a signal to stop."""

    name = "gateway"
    description = "Runs one gateway on the platform's settings."
    options: ClassVar = [
        option("settings", "s", "The platform's settings file (JSON).", flag=False),
    ]

    def handle(self) -> int:
        """Return 0 after the gateway has stopped, 2 if it can't start."""
        # SIGHUP requests a reload and would end the process by default. The settings
        # are read after the imports, which fulfils a reload requested until then.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from ...gateway.start import StartError, start_gateway

        try:
            start_gateway(self.option("settings") or "")
        except StartError as error:
            self.line_error(f"<error>{error}</error>")
            return 2
        return 0
