"""Reads the structured log lines of gateways from files or standard input."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
from cleo.helpers import option

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


LOG_OPTION = option(
    "log", "l", "A log file, or - for standard input.", flag=False, multiple=True
)


class LogError(Exception):
    """A log can't be read; the message names the file and the reason."""


def read_log_lines(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """
    Yield the JSON lines of the named files; ``-`` is standard input.

    Text before the first brace of a line is ignored, since log collectors
    prepend a time or a host; lines without JSON are skipped.
    """
    for path in paths:
        if path == "-":
            yield from _read_lines(sys.stdin)
            continue
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                yield from _read_lines(file)
        except OSError as error:
            raise LogError(f"Can't read {path}: {error.strerror}") from error


def _read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            value = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if isinstance(value, dict) and "event" in value:
            yield value
