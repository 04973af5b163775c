"""What callers, targets and the run recorded, for the checks."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .limits import StatedLimit

if TYPE_CHECKING:
    from pathlib import Path

    from .brittle import BrittleTime, Fall
    from .callers import DirectoryAnswer, Outcome
    from .cuts import AppliedCut
    from .teams import TeamRecords

# The kind of the fault of a host that is paused for less than a second.
HOLD_UP = "hold-up"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee, and the evidence."""

    check: str
    detail: str


@dataclass(frozen=True, slots=True)
class Execution:
    """
    A request that a target started to run.

    With teams in the run, ``teams`` are those that the request named, and ``has_key``
    says that it carried credentials.
    """

    id: str
    target: str
    at: float
    method: str
    path: str
    bytes: int
    fault: str
    teams: tuple[str, ...] = ()
    has_key: bool = False


@dataclass(frozen=True, slots=True)
class AppliedFault:
    """A fault that was applied to a host, target or link, and its period."""

    kind: str
    subject: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Location:
    """The host or target that a name belongs to, and its zone."""

    subject: str
    zone: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether a host had a version's own route when it was probed."""

    at: float
    host: str
    start: int
    version: int
    known: bool


@dataclass(slots=True)
class Evidence:
    """
    The records of one run.

    ``versions`` maps each version to the time of the store's acknowledgement, in
    order; ``settled_at`` is the time by which everything must have recovered.
    ``locations`` has the hosts, by name, and the targets, by each id they had.
    ``downtimes`` maps a host's address to the periods without a process.
    ``process_failures`` describes processes that ended unexpectedly. ``older_hosts`` run
    an earlier version, which needn't keep what is new. ``teams`` is None in a run without.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    directory_answers: list[DirectoryAnswer] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    limits: list[StatedLimit] = field(default_factory=list)
    still_running: list[str] = field(default_factory=list)
    applied_faults: list[AppliedFault] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    versions: dict[int, float] = field(default_factory=dict)
    locations: dict[str, Location] = field(default_factory=dict)
    downtimes: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    process_failures: list[str] = field(default_factory=list)
    older_hosts: frozenset[str] = frozenset()
    cuts: list[AppliedCut] = field(default_factory=list)
    brittle_times: tuple[BrittleTime, ...] = ()
    brittle_targets: int = 0
    falls: list[Fall] = field(default_factory=list)
    teams: TeamRecords | None = None
    settled_at: float = 0.0


def read_records(
    directory: Path,
) -> tuple[list[Execution], list[str], list[StatedLimit]]:
    """Return recorded executions, the names of those without an end, and limits."""
    executions: list[Execution] = []
    limits: list[StatedLimit] = []
    unfinished: list[str] = []
    for path in sorted(directory.glob("*.record")):
        running: set[str] = set()
        for line in path.read_bytes().splitlines():
            entry = json.loads(line)
            if entry["what"] == "limit":
                limits.append(StatedLimit(entry["target"], entry["at"], entry["rate"]))
                continue
            if entry["what"] == "fall":
                continue
            if entry["what"] == "end":
                running.discard(entry["id"])
                continue
            running.add(entry["id"])
            executions.append(
                Execution(
                    entry["id"],
                    entry["target"],
                    entry["at"],
                    entry["method"],
                    entry["path"],
                    entry["bytes"],
                    entry["how"],
                    tuple(entry.get("teams", ())),
                    bool(entry.get("has_key")),
                )
            )
        unfinished += [f"{path.stem}/{request_id}" for request_id in running]
    return executions, unfinished, limits
