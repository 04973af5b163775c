"""The command line application with its commands."""

from __future__ import annotations

from cleo.application import Application

from .. import __version__
from .commands.audit import AuditCommand
from .commands.check import CheckCommand
from .commands.diff import DiffCommand
from .commands.explain import ExplainCommand
from .commands.gateway import GatewayCommand
from .commands.losses import LossesCommand
from .commands.promote import PromoteCommand
from .commands.serve import ServeCommand
from .commands.status import StatusCommand

COMMANDS = (
    AuditCommand,
    CheckCommand,
    DiffCommand,
    ExplainCommand,
    GatewayCommand,
    LossesCommand,
    PromoteCommand,
    ServeCommand,
    StatusCommand,
)


def build_application() -> Application:
    """Return the application with every command registered."""
    application = Application("lycheepath", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line and return the exit code."""
    return build_application().run()
