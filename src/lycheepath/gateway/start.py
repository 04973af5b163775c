"""Starts a gateway with the settings file that the platform provides."""

from __future__ import annotations

import os
from pathlib import Path

from ..platform.settings import SETTINGS_VARIABLE, SettingsError, read_settings
from .process import run_gateway


class StartError(Exception):
    """The gateway can't start; the message says what to do."""


def start_gateway(path: str) -> None:
    """
    Run a gateway until it has shut down.

    If ``path`` is empty, the settings file is the one that the platform names in the
    environment variable ``SETTINGS_VARIABLE``.
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
