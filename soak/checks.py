"""
Checks of the promises, from what callers and targets have seen.

Each is a plain function of a run's evidence that yields what breaks it; none
asks a gateway what it believes.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .answers import RequestKind, begins_right, is_right, read_path
from .callers import DEADLINE_S, PATIENCE_S, is_signed

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

    from .callers import Named, Outcome

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The routes' ``max_attempts`` in these runs.
MOST_TARGETS = 2
# A host that is gone for longer is named by no directory: contact and 3 s.
NAMED_AFTER_S = 9.0
# The longest time after the acknowledgement until a version is in force.
CONFIG_DEADLINE_S = 4.0
# A version is in force this long after a host was first seen to serve it.
ROLLBACK_S = 0.25
# Work of operators, which no request under way may suffer from.
PLANNED = frozenset(
    {"end-host", "reload-host", "configure", "roll", "evacuate", "compact-store"}
)


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and the evidence."""

    check: str
    detail: str


@dataclass(frozen=True, slots=True)
class Execution:
    """A request that a target began to run."""

    id: str
    target: str
    at: float
    method: str
    path: str
    bytes: int
    fault: str


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that was done to a host, target or link, and for how long."""

    what: str
    subject: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Place:
    """Which host or target a name belongs to, and its zone."""

    subject: str
    zone: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Whether a host knew a version's own route when it was asked."""

    at: float
    host: str
    start: int
    version: int
    known: bool


@dataclass(slots=True)
class Evidence:
    """
    All that was seen in one run.

    ``versions`` has for each version when the store acknowledged it, in order;
    ``settled_at`` is when all must have recovered. ``places`` has the hosts, by
    name, and the targets, by each id they had. ``ends`` tells of processes that
    ended as they should not.
    """

    outcomes: list[Outcome] = field(default_factory=list)
    named: list[Named] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    still_running: list[str] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    versions: dict[int, float] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)
    gone: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    ends: list[str] = field(default_factory=list)
    settled_at: float = 0.0


def check_all(evidence: Evidence) -> list[Violation]:
    """Return all that broke a promise."""
    checks = (
        find_repeats,
        find_false_refusals,
        find_wrong_answers,
        find_unasked,
        find_excess_attempts,
        find_lost,
        find_late_answers,
        find_dead_names,
        find_old_configurations,
        find_unserved,
        find_leaks,
        find_ends,
    )
    return [violation for check in checks for violation in check(evidence)]


def read_records(directory: Path) -> tuple[list[Execution], list[str]]:
    """Return what targets ran, and the ids that have no end, of all records."""
    executions: list[Execution] = []
    unfinished: list[str] = []
    for path in sorted(directory.glob("*.record")):
        running: set[str] = set()
        for line in path.read_bytes().splitlines():
            note = json.loads(line)
            if note["what"] == "end":
                running.discard(note["id"])
                continue
            running.add(note["id"])
            executions.append(
                Execution(
                    note["id"],
                    note["target"],
                    note["at"],
                    note["method"],
                    note["path"],
                    note["bytes"],
                    note["how"],
                )
            )
        unfinished += [f"{path.stem}/{request_id}" for request_id in running]
    return executions, unfinished


def find_repeats(evidence: Evidence) -> Iterator[Violation]:
    """Requests that ran twice though they may run once only."""
    ran = Counter(each.id for each in evidence.executions)
    for outcome in evidence.outcomes:
        if ran[outcome.id] > 1 and not outcome.work.kind.may_repeat:
            yield Violation(
                "twice", f"{_describe(outcome)} ran {ran[outcome.id]} times"
            )


def find_false_refusals(evidence: Evidence) -> Iterator[Violation]:
    """Answers that promise that a request did not run, though it did."""
    ran = {each.id for each in evidence.executions}
    for outcome in evidence.outcomes:
        if outcome.answer.status in NOT_RUN_STATUSES and outcome.id in ran:
            yield Violation("refused", f"{_describe(outcome)} was run")


def find_wrong_answers(evidence: Evidence) -> Iterator[Violation]:
    """Successes that aren't the target's own answer, or not in order."""
    for outcome in evidence.outcomes:
        if not 200 <= outcome.answer.status < 300:
            continue
        if not is_signed(outcome):
            yield Violation("mixed", f"{_describe(outcome)} isn't signed")
        elif outcome.answer.whole and not is_right(
            outcome.work, outcome.id, outcome.answer.body
        ):
            yield Violation("mixed", f"{_describe(outcome)} has a wrong body")
        elif not begins_right(outcome.work, outcome.id, outcome.answer.body):
            yield Violation("mixed", f"{_describe(outcome)} begins with a wrong body")


def find_unasked(evidence: Evidence) -> Iterator[Violation]:
    """Runs of requests that no caller sent so."""
    asked = {each.id: each for each in evidence.outcomes}
    for run in evidence.executions:
        outcome = asked.get(run.id)
        if outcome is None:
            yield Violation("unasked", f"{run.target} ran {run.id}, which nobody sent")
            continue
        unsafe = outcome.work.kind is RequestKind.UNSAFE
        wanted = ("POST", 40) if unsafe else ("GET", 0)
        if read_path(run.path) != outcome.work or (run.method, run.bytes) != wanted:
            yield Violation("unasked", f"{run.target} ran {run.id} as {run.path}")


def find_excess_attempts(evidence: Evidence) -> Iterator[Violation]:
    """Requests that ran on more targets than their route allows."""
    targets: dict[str, set[str]] = defaultdict(set)
    for run in evidence.executions:
        targets[run.id].add(run.target)
    for request_id, ran_at in targets.items():
        if len(ran_at) > MOST_TARGETS:
            yield Violation("attempts", f"{request_id} ran on {sorted(ran_at)}")


def find_lost(evidence: Evidence) -> Iterator[Violation]:
    """Requests that ran while only planned work went on, and got no answer."""
    ran = defaultdict(list)
    for run in evidence.executions:
        ran[run.id].append(run)
    for outcome in evidence.outcomes:
        runs = ran.get(outcome.id)
        if outcome.answer.status or outcome.left or not runs:
            continue
        concerned = _list_concerned(evidence, outcome, runs)
        if any(run.fault for run in runs):
            continue
        if _is_disturbed(evidence, outcome, concerned):
            continue
        yield Violation("lost", f"{_describe(outcome)} ran and ended: {outcome.end}")


def find_late_answers(evidence: Evidence) -> Iterator[Violation]:
    """Requests that an undisturbed host never answered."""
    for outcome in evidence.outcomes:
        if outcome.end != "no answer in time" or outcome.answer.status:
            continue
        if not _is_disturbed(evidence, outcome, None):
            yield Violation(
                "unanswered",
                f"{_describe(outcome)} had none after {DEADLINE_S + PATIENCE_S} s",
            )


def find_dead_names(evidence: Evidence) -> Iterator[Violation]:
    """Directories that name a host long after it was gone."""
    for named in evidence.named:
        for address in named.addresses:
            for since, until in evidence.gone.get(address, []):
                if since + NAMED_AFTER_S < named.at < until:
                    yield Violation(
                        "directory",
                        f"{named.by} named {address} {named.at - since:.1f} s after"
                        " its end",
                    )


def find_old_configurations(evidence: Evidence) -> Iterator[Violation]:
    """Hosts that didn't follow the configuration, or went back to an older one."""
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    for probe in sorted(evidence.probes, key=lambda each: each.at):
        key = (probe.host, probe.start)
        version, since = seen.get(key, (0, 0.0))
        if probe.known and probe.version > version:
            seen[key] = (probe.version, probe.at)
        back_s = probe.at - since
        if not probe.known and probe.version <= version and back_s > ROLLBACK_S:
            yield Violation(
                "configuration",
                f"{probe.host} lost version {probe.version} {back_s:.2f} s after"
                " it was seen",
            )
        put_at = evidence.versions[probe.version]
        late = probe.at > put_at + CONFIG_DEADLINE_S
        if not probe.known and late and not _was_away(evidence, probe, put_at):
            yield Violation(
                "configuration",
                f"{probe.host} lacks version {probe.version}"
                f" {probe.at - put_at:.1f} s after it was written",
            )


def find_unserved(evidence: Evidence) -> Iterator[Violation]:
    """
    Requests that failed after everything had recovered.

    All must be served: nothing is disturbed then, and targets have places for
    all of them.
    """
    calm = [
        outcome
        for outcome in evidence.outcomes
        if outcome.sent_at > evidence.settled_at and not outcome.left
    ]
    failed = [
        each for each in calm if each.answer.status != 200 or not each.answer.whole
    ]
    if failed:
        first = _describe(failed[0])
        yield Violation(
            "recovery", f"{len(failed)} of {len(calm)} failed at the end; {first}"
        )
    if not calm:
        yield Violation("recovery", "no caller found a host after the recovery")


def find_leaks(evidence: Evidence) -> Iterator[Violation]:
    """Work that goes on at a target though no caller waits for it."""
    for name in evidence.still_running:
        yield Violation("leak", f"{name} still ran when all callers had gone")


def find_ends(evidence: Evidence) -> Iterator[Violation]:
    """Processes that ended by themselves, too late or with a fault."""
    for detail in evidence.ends:
        yield Violation("process", detail)


def _list_concerned(
    evidence: Evidence, outcome: Outcome, runs: Sequence[Execution]
) -> set[str]:
    """Return the hosts and targets that a request may have passed through."""
    places = evidence.places
    here = places.get(outcome.host)
    concerned = {outcome.host}
    for run in runs:
        there = places.get(run.target)
        if there is None:
            continue
        concerned.add(there.subject)
        if here is None or there.zone != here.zone:
            # Some host of the target's zone passed it on; which one isn't seen.
            concerned |= {p.subject for p in places.values() if p.zone == there.zone}
    return concerned


def _is_disturbed(
    evidence: Evidence, outcome: Outcome, concerned: set[str] | None
) -> bool:
    """
    Whether unplanned trouble could have touched a request.

    ``concerned`` are the hosts and targets whose trouble counts; all if None.
    """
    since, until = outcome.sent_at - PATIENCE_S, outcome.ended_at
    return any(
        trouble.since < until and trouble.until > since
        for trouble in evidence.troubles
        if trouble.what not in PLANNED
        and (concerned is None or trouble.subject in concerned)
    )


def _was_away(evidence: Evidence, probe: Probe, put_at: float) -> bool:
    """Whether a host could not be held to a version's deadline."""
    from_s = min(put_at, probe.at - CONFIG_DEADLINE_S) - NAMED_AFTER_S
    return any(
        trouble.since < probe.at and trouble.until > from_s
        for trouble in evidence.troubles
        if trouble.subject in (probe.host, "store")
    )


def _describe(outcome: Outcome) -> str:
    work = outcome.work
    return (
        f"{outcome.id} ({work.kind.value} {work.size}) at {outcome.host},"
        f" sent {outcome.sent_at:.3f}, status {outcome.answer.status}, {outcome.end or 'ended'}"
    )


def summarise(outcomes: Sequence[Outcome]) -> dict[str, int]:
    """Count outcomes by their status, or by how they ended without one."""
    counts = Counter(str(each.answer.status or each.end) for each in outcomes)
    return dict(sorted(counts.items()))
