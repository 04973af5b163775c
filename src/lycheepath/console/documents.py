"""Reads environment documents from files and prints findings."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from ..core.environment.findings import Findings
from ..core.environment.reading import read_environment

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from ..core.environment.findings import Finding
    from ..core.environment.model import Environment


def load_environment(command: Command, path: str) -> Environment | None:
    """Read a document; if unreadable or invalid, print why and return None."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        command.line_error(f"Can't read {path}: {error.strerror}. Check the name.")
        return None
    outcome = read_environment(text)
    if isinstance(outcome, Findings):
        print_findings(command, path, outcome.items)
        return None
    return outcome


def print_findings(command: Command, path: str, findings: tuple[Finding, ...]) -> None:
    """Print one line for each finding, with markup escaped."""
    for finding in findings:
        command.io.write_error_line(_escape(f"{path}: {finding.describe()}"))


def print_text(command: Command, text: str) -> None:
    """Print a line of external text, with markup escaped."""
    command.line(_escape(text))


def _escape(text: str) -> str:
    return text.replace("<", "\\<")
