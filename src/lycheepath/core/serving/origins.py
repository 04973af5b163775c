"""
The software versions that began streams, by the request that brought the first event.

A caller that takes a stream up names that request, over several breaks still the same
one. The version is that of the instance that began the stream; if the target's entry
turns out to be out of date, it isn't known::

    origins = StreamOrigins()
    origins.record("9c41", Origin("pool", "v1", "i-7f"), now)
    origins.find("9c41")
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Largest number of streams that are kept, far above those that a host begins or keeps
# for others while they may be taken up.
MAX_ORIGINS = 16_384
# Time in seconds after a target's restart within which hosts may take it for the
# instance before.
RESTART_NOTICE_S = 5.0


@dataclass(frozen=True, slots=True)
class Origin:
    """
    The service, version and target that began a stream.

    ``version`` is empty if the target had restarted before its entry showed that.
    """

    service: str
    version: str
    target: str


class StreamOrigins:
    """The origins of recent streams, the oldest first."""

    def __init__(self) -> None:
        self._origins: dict[str, tuple[Origin, float]] = {}

    def record(self, stream: str, origin: Origin, at: float) -> None:
        """Record what began a stream, or that it was taken up again."""
        self._origins.pop(stream, None)
        self._origins[stream] = origin, at
        while len(self._origins) > MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]

    def find(self, stream: str) -> Origin | None:
        """Return the origin of a stream, or None if it isn't known."""
        found = self._origins.get(stream)
        return None if found is None else found[0]

    def list_of_service(
        self, service: str, since: float
    ) -> Iterator[tuple[str, Origin, float]]:
        """Yield the streams of a service since a time, with their times."""
        for stream, (origin, at) in self._origins.items():
            if origin.service == service and at >= since:
                yield stream, origin, at

    def discard_restarted(self, target: str, since: float) -> int:
        """
        Discard the versions of a restarted target's streams; return how many.

        Streams that began at or after ``since`` may be of the instance after the restart.
        """
        discarded = [
            stream
            for stream, (origin, at) in self._origins.items()
            if origin.target == target and at >= since
        ]
        for stream in discarded:
            origin, at = self._origins[stream]
            self._origins[stream] = replace(origin, version=""), at
        return len(discarded)

    def expire(self, before: float) -> None:
        """Forget the streams that were last recorded before a time."""
        while self._origins:
            stream = next(iter(self._origins))
            if self._origins[stream][1] >= before:
                return
            del self._origins[stream]
