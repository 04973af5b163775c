"""The application that gathers the commands."""

from __future__ import annotations

from cleo.application import Application

from .. import __version__
from .commands.serve import ServeCommand

COMMANDS = (ServeCommand,)


def build_application() -> Application:
    """Return the application with every command registered."""
    application = Application("lycheepath", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line and return the exit code."""
    return build_application().run()
