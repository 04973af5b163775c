"""Log output through loguru, as JSON lines or as plain text."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import orjson
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

    from ..host.settings import LogSettings

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message}"


def set_up_logs(settings: LogSettings) -> None:
    """Write log lines to standard error in the configured format."""
    logger.remove()
    if settings.format == "text":
        logger.add(sys.stderr, level=settings.level, format=TEXT_FORMAT)
        return
    logger.add(_write_json_line, level=settings.level)


def _write_json_line(message: Message) -> None:
    record = message.record
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        "module": record["name"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = str(record["exception"].value)
    sys.stderr.write(orjson.dumps(line, default=str).decode() + "\n")
