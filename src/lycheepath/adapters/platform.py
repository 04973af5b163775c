"""
The platform's configuration service, read and watched over HTTP.

Only reads exist: the platform takes no writes from the system. Each value has
a name, a revision and a JSON body of at most a megabyte.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpx
import orjson

from .transports import build_transport, reach_all

if TYPE_CHECKING:
    from .transports import MayReach

LARGEST_VALUE_BYTES = 1_100_000
READ_TIMEOUT_S = 2.0
WATCH_S = 20.0


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """A value as the platform publishes it; ``body`` is its JSON text."""

    name: str
    revision: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ReadFailure:
    """The platform gave no usable answer; ``detail`` says why."""

    name: str
    detail: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """A watch ended without a change."""

    name: str


class PlatformReader:
    """Reads and watches values of one configuration service."""

    def __init__(self, url: str, may_reach: MayReach = reach_all) -> None:
        self._url = url.rstrip("/")
        self._client = httpx.AsyncClient(
            transport=build_transport(may_reach),
            timeout=httpx.Timeout(READ_TIMEOUT_S, read=WATCH_S + READ_TIMEOUT_S),
            trust_env=False,
        )

    async def read(self, name: str) -> PublishedValue | ReadFailure:
        """Return the value as it is published now."""
        answer = await self._get(name, {}, READ_TIMEOUT_S)
        if isinstance(answer, Unchanged):
            return ReadFailure(name, "the service answered 204 to a plain read")
        return answer

    async def watch(
        self, name: str, after: int, wait_s: float = WATCH_S
    ) -> PublishedValue | Unchanged | ReadFailure:
        """Wait up to ``wait_s`` seconds for a revision other than ``after``."""
        parameters = {"after": str(after), "wait_s": str(wait_s)}
        return await self._get(name, parameters, wait_s + READ_TIMEOUT_S)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _get(
        self, name: str, parameters: dict[str, str], timeout_s: float
    ) -> PublishedValue | Unchanged | ReadFailure:
        url = f"{self._url}/v1/values/{name}"
        try:
            answer = await self._client.get(url, params=parameters, timeout=timeout_s)
        except httpx.HTTPError as error:
            return ReadFailure(name, repr(error))
        if answer.status_code == 204:
            return Unchanged(name)
        if answer.status_code != 200:
            return ReadFailure(name, f"status {answer.status_code}")
        return _parse_value(name, answer.content)


def _parse_value(name: str, content: bytes) -> PublishedValue | ReadFailure:
    if len(content) > LARGEST_VALUE_BYTES:
        return ReadFailure(name, f"{len(content)} bytes exceed the bound")
    try:
        parsed: Any = orjson.loads(content)
        return PublishedValue(
            name, int(parsed["revision"]), orjson.dumps(parsed["value"])
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        return ReadFailure(name, f"malformed answer: {error!r}")
