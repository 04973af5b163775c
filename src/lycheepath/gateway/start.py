"""Starts a gateway on the settings file that the platform lays down."""

from __future__ import annotations

import os
from pathlib import Path

from ..platform.settings import SETTINGS_VARIABLE, SettingsError, read_settings
from .process import run_gateway


class StartError(Exception):
    """A gateway can't start; the text says what to do."""


def start_gateway(path: str) -> None:
    """
    Run a gateway until it has ended.

    Without a ``path`` the settings are those that the platform names.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise StartError(
            f"name the settings file with --settings FILE or in {SETTINGS_VARIABLE}"
        )
    try:
        settings = read_settings(Path(path).read_bytes())
    except (OSError, SettingsError) as error:
        raise StartError(f"can't use {path}: {error}") from error
    run_gateway(settings)
