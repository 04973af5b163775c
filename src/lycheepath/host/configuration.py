"""Brings the platform's published values in force on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import trio
from loguru import logger

from ..adapters.platform import PlatformReader, PublishedValue, Unanswered, Unchanged
from ..core.clients import Directory, read_directory
from ..core.environment.model import Environment
from ..core.environment.reading import read_environment

if TYPE_CHECKING:
    from .node import Node

FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 5.0


async def follow_platform(node: Node) -> None:
    """Read and watch every value that this host needs, for ever."""
    reader = PlatformReader(node.settings.platform.url)
    names = (f"environment/{node.settings.platform.environment}", "directory")
    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(_follow_value, node, reader, name)


async def _follow_value(node: Node, reader: PlatformReader, name: str) -> None:
    revision = -1
    retry_s = FIRST_RETRY_S
    answer: PublishedValue | Unchanged | Unanswered = await reader.read(name)
    while True:
        if isinstance(answer, PublishedValue):
            retry_s = FIRST_RETRY_S
            revision = answer.revision
            _adopt(node, answer)
        elif isinstance(answer, Unanswered):
            node.metrics.count("platform_failures_total", value=name)
            await trio.sleep(retry_s * (0.5 + node.random.random()))
            retry_s = min(retry_s * 2, LONGEST_RETRY_S)
        answer = await reader.watch(name, revision)


def _adopt(node: Node, value: PublishedValue) -> None:
    if value.name == "directory":
        directory = read_directory(orjson.loads(value.body))
        if isinstance(directory, Directory):
            node.adopt_directory(directory)
        return
    environment = read_environment(value.body)
    if not isinstance(environment, Environment):
        logger.error("configuration revision {} refused", value.revision)
        return
    if node.environment and environment.revision <= node.environment.revision:
        return
    before = str(node.environment.revision) if node.environment else ""
    node.adopt_environment(environment)
    node.record("configuration", "platform", before, str(environment.revision))
