"""
Times in which targets are brittle, and the check on how often they fall over.

Targets of one service state ``Server-Brittle: N`` in all answers of such a time. From
``CONTACT_S`` after its beginning fewer requests may wait at them, and one that turns more
than N requests away in a second for want of room ends. The run writes the times to a
file, which targets read when it is there::

    write_times(path, draw_times(20.0, share=1.0, seed=7), started=time.monotonic())
    watch = BrittleWatch(path)
    watch.reject("r1", time.monotonic())
"""

from __future__ import annotations

import json
import random
from collections import deque
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

from .answers import RequestKind
from .limits import CONTACT_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence
    from pathlib import Path

BRITTLE_HEADER = "Server-Brittle"
# Kinds of request that the service with brittle targets runs.
BRITTLE_KINDS = (RequestKind.STREAM, RequestKind.RESUMED)
# Exit status of a target that falls over, and the time until it starts again.
FALL_EXIT = 87
FALL_RESTART_S = 2.0
# Rejections a second that brittle targets bear, the length of a time in which they are
# brittle, and the time until the next one.
MOST = (3, 5, 8)
BRITTLE_S = (10.0, 14.0)
SOUND_S = (0.5, 4.0)
WINDOW_S = 1.0
# Requests that may wait at a brittle target.
BRITTLE_QUEUE = 1
# Callers besides the others in such a time, for each slot of brittle targets, and their
# longest pause between two requests.
CALLERS_PER_SLOT = 1.5
CALLER_PAUSE_S = 0.4
# Falls that are allowed in one time: a number, and a share of the targets.
MAX_FALLS = 2
MAX_FALL_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class BrittleTime:
    """A time in which targets bear ``most`` rejections a second."""

    since: float
    until: float
    most: int


@dataclass(frozen=True, slots=True)
class Fall:
    """The end of a target, and the requests that it had rejected in the last second."""

    at: float
    target: str
    rejected: tuple[str, ...]


@dataclass(slots=True)
class BrittleWatch:
    """State of a target: the times in which it is brittle, and its last rejections."""

    path: Path
    times: tuple[BrittleTime, ...] = ()
    rejected: deque[tuple[float, str]] = field(default_factory=deque)

    def find_time(self, now: float) -> BrittleTime | None:
        """Return the time in which the target is brittle now."""
        if not self.times and self.path.exists():
            self.times = read_times(self.path)
        return next((t for t in self.times if t.since <= now < t.until), None)

    def is_short(self, now: float) -> bool:
        """Whether fewer requests may wait and too many rejections end the target."""
        brittle = self.find_time(now)
        return brittle is not None and now >= brittle.since + CONTACT_S

    def reject(self, request_id: str, now: float) -> tuple[str, ...]:
        """Count a rejection; return those that make the target fall over, if it does."""
        self.rejected.append((now, request_id))
        while self.rejected[0][0] <= now - WINDOW_S:
            self.rejected.popleft()
        brittle = self.find_time(now)
        if brittle is None or not self.is_short(now):
            return ()
        if len(self.rejected) <= brittle.most:
            return ()
        return tuple(name for _, name in self.rejected)


def draw_times(seconds: float, share: float, seed: int) -> tuple[BrittleTime, ...]:
    """Return the times of a run in which targets are brittle, from its beginning on."""
    draw = random.Random(f"brittle/{seed}")
    times: list[BrittleTime] = []
    since = draw.uniform(0.0, SOUND_S[0])
    while share > 0.0 and since < seconds:
        until = since + draw.uniform(*BRITTLE_S)
        times.append(BrittleTime(since, until, draw.choice(MOST)))
        since = until + draw.uniform(*SOUND_S)
    return tuple(times)


def write_times(path: Path, times: Iterable[BrittleTime], started: float) -> None:
    """Write times, counted from ``started``, for the targets."""
    lines = [
        asdict(BrittleTime(t.since + started, t.until + started, t.most)) for t in times
    ]
    partial = path.with_suffix(".partial")
    partial.write_text(json.dumps(lines))
    partial.rename(path)


def read_times(path: Path) -> tuple[BrittleTime, ...]:
    """Return the times that a run has written; none if it has written no file."""
    if not path.exists():
        return ()
    return tuple(BrittleTime(**fields) for fields in json.loads(path.read_text()))


def read_falls(directory: Path) -> list[Fall]:
    """Return the falls that targets have recorded."""
    falls: list[Fall] = []
    for path in sorted(directory.glob("*.record")):
        for line in path.read_bytes().splitlines():
            entry = json.loads(line)
            if entry["what"] == "fall":
                rejected = tuple(entry["rejected"])
                falls.append(Fall(entry["at"], entry["target"], rejected))
    return falls


def find_falls(
    times: Sequence[BrittleTime],
    falls: Sequence[Fall],
    targets: int,
    sound: Mapping[str, bool],
) -> Iterator[str]:
    """
    Yield a description of each time in which targets fell over too often.

    ``targets`` is the number of brittle ones. ``sound`` says of a request whether its host
    had no fault; a fall counts if that holds for most of what was rejected.
    """
    for brittle in times:
        counted = [
            fall
            for fall in falls
            if brittle.since <= fall.at < brittle.until
            and 2 * sum(sound.get(name, False) for name in fall.rejected)
            > len(fall.rejected)
        ]
        allowed = MAX_FALLS + MAX_FALL_SHARE * targets
        if len(counted) > allowed:
            first = counted[0]
            yield (
                f"{len(counted)} falls of {targets} targets that state"
                f" {brittle.most} from {brittle.since:.3f}, allowed {allowed:g};"
                f" the first is {first.target} at {first.at:.3f}"
            )
