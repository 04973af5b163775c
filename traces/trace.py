"""
The trace format: the requests of one deployment and the injected faults.

Files are gzipped CSV with one request per line. They contain no prompt text.
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
    """The kinds of injected faults; the values are stored in trace files."""

    REGION_LOST = "region-lost"
    RUNNER_SLOW = "runner-slow"
    RUNNER_ERRORS = "runner-errors"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of the region or runner ``subject`` from ``start_s`` to ``end_s``."""

    kind: FaultKind
    subject: str
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True)
class TracedRequest:
    """
    One request of a trace.

    ``system`` identifies the system prompt that the requests of a team share,
    ``conversation`` the rest of the prompt, which grows with each turn.
    ``bound`` requests must stay in their region; a ``poison`` request crashes
    each runner that receives it.
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
    """The requests, sorted by arrival time, and the injected faults."""

    deployment: str
    scenario: str
    seed: int
    requests: tuple[TracedRequest, ...]
    faults: tuple[Fault, ...] = ()


def hash_prompt_blocks(request: TracedRequest) -> tuple[int, ...]:
    """Return the hashes of the complete blocks of a traced prompt, in order."""
    shared = request.system_tokens // BLOCK_TOKENS
    hashes = []
    for index in range(request.prompt_tokens // BLOCK_TOKENS):
        block_source = request.system if index < shared else ~request.conversation
        hashes.append(combine_hashes(block_source & 0xFFFF_FFFF_FFFF, index))
    return tuple(hashes)


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace to a file; equal traces give equal bytes."""
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
    """Read a trace written by ``write_trace``."""
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
