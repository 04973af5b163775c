"""
Software versions of targets side by side, and the check that no stream joins two.

Each event names the version that wrote it. Callers take up streams that have broken
off, so a stream may be spread over the answers of several requests.
"""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

EVENT_VERSION = re.compile(rb" (v\d+)(?=\n)")
# Streams of two versions that are allowed in a run.
MAX_JOINED = 2
# Number of take-ups from which their share that goes on is checked, and the part of the
# share of new streams that begin which it must reach.
MIN_TAKE_UPS = 12
MIN_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class StreamPart:
    """
    What one request brought of a stream.

    ``stream`` is the request that brought the first event. ``counts`` says that neither
    its host nor any target had a fault, ``older`` that its host runs an earlier version.
    """

    stream: str
    taken_up: bool
    versions: tuple[str, ...]
    counts: bool
    older: bool = False


@dataclass(slots=True)
class _Shares:
    asked: int = 0
    went_on: int = 0

    @property
    def share(self) -> float:
        return self.went_on / self.asked if self.asked else 0.0


def name_version(number: int, versions: int) -> str:
    """Return one of a number of versions."""
    return f"v{number % versions + 1}"


def list_event_versions(body: bytes) -> tuple[str, ...]:
    """Return the version of each event of an answer."""
    return tuple(version.decode() for version in EVENT_VERSION.findall(body))


def remove_versions(body: bytes) -> bytes:
    """Return an answer without the versions of its events."""
    return EVENT_VERSION.sub(b"", body)


def find_joined(parts: Iterable[StreamPart]) -> Iterator[str]:
    """
    Yield a description if more streams than allowed hold events of two versions.

    Streams that a host of an earlier version went on with don't count.
    """
    versions: dict[str, set[str]] = defaultdict(set)
    excused: set[str] = set()
    for part in parts:
        versions[part.stream].update(part.versions)
        if part.older and (part.taken_up or len(set(part.versions)) > 1):
            excused.add(part.stream)
    joined = [
        stream
        for stream, found in versions.items()
        if len(found) > 1 and stream not in excused
    ]
    if len(joined) > MAX_JOINED:
        first = joined[0]
        yield f"{len(joined)} streams join versions; {first} has {sorted(versions[first])}"


def find_lost_take_ups(parts: Iterable[StreamPart]) -> Iterator[str]:
    """Yield a description if take-ups go on much less often than new streams begin."""
    new, taken_up = _Shares(), _Shares()
    for part in parts:
        if part.counts:
            shares = taken_up if part.taken_up else new
            shares.asked += 1
            shares.went_on += bool(part.versions)
    if taken_up.asked < MIN_TAKE_UPS:
        return
    if taken_up.share < MIN_RATIO * new.share:
        yield (
            f"{taken_up.went_on} of {taken_up.asked} take-ups went on,"
            f" {new.went_on} of {new.asked} new streams began"
        )
