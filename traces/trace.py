"""
A trace: the requests of one deployment and the faults that befall it.

Files are gzipped CSV, one request a line, and hold no text of any prompt.
"""

from __future__ import annotations

import csv
import gzip
import io
from dataclasses import astuple, dataclass
from enum import Enum
from typing import TYPE_CHECKING

from lycheepath.core.hosts.rendezvous import combine_hashes
from lycheepath.core.routing.request import BLOCK_TOKENS

if TYPE_CHECKING:
    from pathlib import Path


class FaultKind(Enum):
    """What befalls a region or a runner between two times."""

    REGION_LOST = "region-lost"
    RUNNER_SLOW = "runner-slow"
    RUNNER_ERRORS = "runner-errors"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a region or a runner from ``start_s`` to ``end_s``."""

    kind: FaultKind
    subject: str
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class TracedRequest:
    """
    One request of a trace.

    ``system`` names the leading part of the prompt that a team's requests
    share, ``conversation`` the caller's own part, which grows by each turn.
    """

    at_s: float
    team: str
    region: str
    bound: bool
    system: int
    system_tokens: int
    conversation: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    deadline_s: float
    poison: bool


@dataclass(frozen=True, slots=True)
class Trace:
    """The requests in order of time, and the faults."""

    deployment: str
    scenario: str
    seed: int
    requests: tuple[TracedRequest, ...]
    faults: tuple[Fault, ...] = ()


def chain_blocks(request: TracedRequest) -> tuple[int, ...]:
    """Return the chain of block hashes of a traced prompt."""
    shared = request.system_tokens // BLOCK_TOKENS
    hashes = []
    for index in range(request.prompt_tokens // BLOCK_TOKENS):
        origin = request.system if index < shared else ~request.conversation
        hashes.append(combine_hashes(origin & 0xFFFF_FFFF_FFFF, index))
    return tuple(hashes)


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace; the same trace always gives the same bytes."""
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(["trace", trace.deployment, trace.scenario, trace.seed])
    for fault in trace.faults:
        row = [fault.kind.value, fault.subject, fault.start_s, fault.end_s]
        writer.writerow(["fault", *row])
    for request in trace.requests:
        writer.writerow(_encode(value) for value in astuple(request))
    path.write_bytes(gzip.compress(text.getvalue().encode(), mtime=0))


def read_trace(path: Path) -> Trace:
    """Read a trace from its file."""
    rows = list(csv.reader(io.StringIO(gzip.decompress(path.read_bytes()).decode())))
    _, deployment, scenario, seed = rows[0]
    faults = [row for row in rows[1:] if row[0] == "fault"]
    requests = rows[1 + len(faults) :]
    return Trace(
        deployment,
        scenario,
        int(seed),
        tuple(_read_request(row) for row in requests),
        tuple(
            Fault(FaultKind(kind), subject, float(start), float(end))
            for _, kind, subject, start, end in faults
        ),
    )


def _encode(value: object) -> object:
    return int(value) if isinstance(value, bool) else value


def _read_request(row: list[str]) -> TracedRequest:
    at, team, region, bound, system, shared, conversation, *rest = row
    prompt, output, priority, deadline, poison = rest
    return TracedRequest(
        float(at),
        team,
        region,
        bound == "1",
        int(system),
        int(shared),
        int(conversation),
        int(prompt),
        int(output),
        int(priority),
        float(deadline),
        poison == "1",
    )
