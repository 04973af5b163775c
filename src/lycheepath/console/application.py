"""The application that gathers the commands."""

from __future__ import annotations

from cleo.application import Application

from .. import __version__


def build_application() -> Application:
    """Return the application with every command registered."""
    return Application("lycheepath", __version__)


def main() -> int:
    """Run the command line and return the exit code."""
    return build_application().run()
