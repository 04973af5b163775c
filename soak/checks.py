"""
Checks of the guarantees, from the records of callers and targets.

Each is a function of a run's evidence that yields violations; none relies on a
gateway's own view of its state.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from standins.stated_limits import LIMIT_HEADER, NOTICE_S

from .answers import RequestKind, is_valid_body, is_valid_prefix, read_path
from .brittle import find_falls
from .callers import ANSWER_GRACE_S, DEADLINE_S, describe_outcome, is_signed
from .cuts import FirstTry, find_cut_off
from .evidence import HOLD_UP, Violation
from .fatal import FATAL_PART, FatalArrival, find_late
from .limits import CONTACT_S, Sent, find_exceeded
from .plan import FaultKind
from .team_checks import find_team_violations
from .versions import StreamPart, find_joined, find_lost_take_ups, list_event_versions

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence, Set

    from .callers import Outcome
    from .evidence import Evidence, Execution, Probe

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# ``max_attempts`` of the routes in these runs.
MAX_TARGETS = 2
# Time after which no directory lists a host that has ended: a contact of 6 s, and 3 s.
DIRECTORY_EXPIRY_S = 9.0
# Longest time from the store's acknowledgement until a version is in force.
CONFIG_DEADLINE_S = 4.0
# Once a host served a version, it must keep serving it after this time.
ROLLBACK_GRACE_S = 0.25
# Longest time from sending a request to the end of its connection without an answer if a
# host hasn't read it.
LOSS_SLACK_S = 0.2
# Requests from kept connections that may be passed on and end without an answer.
MAX_LOST_KEPT = 3
# Planned operations, which must not affect in-flight requests.
PLANNED_KINDS = frozenset(
    {"end-host", "reload-host", "configure", "roll", "evacuate", "compact-store"}
)

# Faults after which a process of a host is a new one.
RESTARTS = frozenset({"kill-host", "kill-many", "kill-all", "end-host"})


def check_all(evidence: Evidence) -> list[Violation]:
    """Return the violations that all checks find."""
    checks = (
        find_repeated,
        find_false_refusals,
        find_wrong_answers,
        find_unrequested,
        find_excess_attempts,
        find_lost_answers,
        find_broken_off,
        find_lost_unsent,
        find_lost_from_kept,
        find_unanswered,
        find_stale_directories,
        find_stale_configurations,
        find_failed_recovery,
        find_leaks,
        find_process_failures,
        find_exceeded_limits,
        find_late_fatal,
        find_joined_streams,
        find_unserved_at_cut_off,
        find_frequent_falls,
        find_team_violations,
    )
    return [violation for check in checks for violation in check(evidence)]


def find_repeated(evidence: Evidence) -> Iterator[Violation]:
    """Yield requests that ran more than once though they may not be repeated."""
    ran = Counter(each.id for each in evidence.executions)
    for outcome in evidence.outcomes:
        if ran[outcome.id] > 1 and not outcome.work.kind.may_repeat:
            yield Violation(
                "twice", f"{describe_outcome(outcome)} ran {ran[outcome.id]} times"
            )


def find_false_refusals(evidence: Evidence) -> Iterator[Violation]:
    """Yield answers whose status means not run, to requests that did run."""
    ran = {each.id for each in evidence.executions}
    for outcome in evidence.outcomes:
        if outcome.answer.status in NOT_RUN_STATUSES and outcome.id in ran:
            yield Violation("refused", f"{describe_outcome(outcome)} was run")


def find_wrong_answers(evidence: Evidence) -> Iterator[Violation]:
    """Yield successes that differ from the target's answer, and odd statuses."""
    for outcome in evidence.outcomes:
        if outcome.answer.status not in (0, *range(100, 600)):
            yield Violation("status", f"{describe_outcome(outcome)} isn't HTTP's")
        if not 200 <= outcome.answer.status < 300:
            continue
        if not is_signed(outcome):
            yield Violation("mixed", f"{describe_outcome(outcome)} isn't signed")
        elif outcome.answer.whole and not is_valid_body(
            outcome.work, outcome.id, outcome.answer.body, outcome.first_event
        ):
            yield Violation("mixed", f"{describe_outcome(outcome)} has a wrong body")
        elif not is_valid_prefix(
            outcome.work, outcome.id, outcome.answer.body, outcome.first_event
        ):
            yield Violation(
                "mixed", f"{describe_outcome(outcome)} begins with a wrong body"
            )


def find_unrequested(evidence: Evidence) -> Iterator[Violation]:
    """Yield executions that match no request of a caller."""
    sent_requests = {each.id: each for each in evidence.outcomes}
    for run in evidence.executions:
        outcome = sent_requests.get(run.id)
        if outcome is None:
            yield Violation("unasked", f"{run.target} ran {run.id}, which nobody sent")
            continue
        unsafe = outcome.work.kind is RequestKind.UNSAFE
        expected = ("POST", 40) if unsafe else ("GET", 0)
        if read_path(run.path) != outcome.work or (run.method, run.bytes) != expected:
            yield Violation("unasked", f"{run.target} ran {run.id} as {run.path}")


def find_excess_attempts(evidence: Evidence) -> Iterator[Violation]:
    """Yield requests that ran on more targets than their route allows."""
    targets: dict[str, set[str]] = defaultdict(set)
    for run in evidence.executions:
        targets[run.id].add(run.target)
    for request_id, ran_at in targets.items():
        if len(ran_at) > MAX_TARGETS:
            yield Violation("attempts", f"{request_id} ran on {sorted(ran_at)}")


def find_lost_answers(evidence: Evidence) -> Iterator[Violation]:
    """Yield requests that ran and got no answer, without an unplanned fault."""
    ran = _group_runs(evidence)
    for outcome in evidence.outcomes:
        runs = ran.get(outcome.id)
        if outcome.answer.status or outcome.disconnected or not runs:
            continue
        involved = _list_involved(evidence, outcome, runs)
        if any(run.fault for run in runs):
            continue
        if _is_disturbed(evidence, outcome, involved):
            continue
        yield Violation(
            "lost", f"{describe_outcome(outcome)} ran and ended: {outcome.end}"
        )


def find_broken_off(evidence: Evidence) -> Iterator[Violation]:
    """
    Yield streams that ended after they had begun, without an unplanned fault.

    Targets that are silent for a moment are no excuse. Streams that have used up their
    time are.
    """
    ran = _group_runs(evidence)
    for outcome in evidence.outcomes:
        answer, runs = outcome.answer, ran.get(outcome.id, [])
        if answer.status != 200 or answer.whole or outcome.disconnected or not runs:
            continue
        took_s = outcome.ended_at - outcome.sent_at
        if took_s >= DEADLINE_S or any(run.fault for run in runs):
            continue
        involved = _list_involved(evidence, outcome, runs)
        if involved & evidence.older_hosts or _is_disturbed(
            evidence, outcome, involved
        ):
            continue
        yield Violation(
            "broken-off",
            f"{describe_outcome(outcome)} began and ended after {took_s:.2f} s",
        )


def find_lost_unsent(evidence: Evidence) -> Iterator[Violation]:
    """Yield requests that a host read and closed without an answer or a target."""
    ran = {run.id for run in evidence.executions}
    for outcome in evidence.outcomes:
        if not _is_closed_unanswered(outcome) or outcome.id in ran:
            continue
        took_s = outcome.ended_at - outcome.sent_at
        if took_s <= LOSS_SLACK_S or _is_disturbed(evidence, outcome, {outcome.host}):
            continue
        yield Violation(
            "lost",
            f"{describe_outcome(outcome)} wasn't run and ended after {took_s:.2f} s",
        )


def find_lost_from_kept(evidence: Evidence) -> Iterator[Violation]:
    """
    Yield a description if requests from kept connections ran and got no answer.

    A host that was held up for a moment is no excuse.
    """
    ran = _group_runs(evidence)
    lost = []
    for outcome in evidence.outcomes:
        runs = ran.get(outcome.id)
        if not runs or not outcome.kept or not _is_closed_unanswered(outcome):
            continue
        involved = _list_involved(evidence, outcome, runs)
        disturbed = _is_disturbed(evidence, outcome, involved, {HOLD_UP})
        if not disturbed and not any(run.fault for run in runs):
            lost.append(outcome)
    if len(lost) > MAX_LOST_KEPT:
        yield Violation(
            "lost",
            f"{len(lost)} requests from kept connections ran and ended without an"
            f" answer, allowed {MAX_LOST_KEPT}; {describe_outcome(lost[0])}",
        )


def find_unanswered(evidence: Evidence) -> Iterator[Violation]:
    """Yield requests that got no answer in time from an undisturbed host."""
    for outcome in evidence.outcomes:
        if outcome.end != "no answer in time" or outcome.answer.status:
            continue
        if not _is_disturbed(evidence, outcome, None):
            yield Violation(
                "unanswered",
                f"{describe_outcome(outcome)} had none after {DEADLINE_S + ANSWER_GRACE_S} s",
            )


def find_stale_directories(evidence: Evidence) -> Iterator[Violation]:
    """Yield directory answers that list a host long after it ended."""
    for answer in evidence.directory_answers:
        for address in answer.addresses:
            for since, until in evidence.downtimes.get(address, []):
                if since + DIRECTORY_EXPIRY_S < answer.at < until:
                    yield Violation(
                        "directory",
                        f"{answer.by} named {address} {answer.at - since:.1f} s after"
                        " its end",
                    )


def find_stale_configurations(evidence: Evidence) -> Iterator[Violation]:
    """Yield hosts that missed a configuration or reverted to an older one."""
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    for probe in sorted(evidence.probes, key=lambda each: each.at):
        key = (probe.host, probe.start)
        version, since = seen.get(key, (0, 0.0))
        if probe.known and probe.version > version:
            seen[key] = (probe.version, probe.at)
        back_s = probe.at - since
        if not probe.known and probe.version <= version and back_s > ROLLBACK_GRACE_S:
            yield Violation(
                "configuration",
                f"{probe.host} lost version {probe.version} {back_s:.2f} s after"
                " it was seen",
            )
        put_at = evidence.versions[probe.version]
        late = probe.at > put_at + CONFIG_DEADLINE_S
        if not probe.known and late and not _is_excused(evidence, probe, put_at):
            yield Violation(
                "configuration",
                f"{probe.host} lacks version {probe.version}"
                f" {probe.at - put_at:.1f} s after it was written",
            )


def find_failed_recovery(evidence: Evidence) -> Iterator[Violation]:
    """
    Yield requests that failed after the recovery.

    All must be served: no fault is active then, and targets have enough slots for
    all of them. Hosts of an earlier version are excused.
    """
    after_recovery = [
        outcome
        for outcome in evidence.outcomes
        if outcome.sent_at > evidence.settled_at
        and not (outcome.disconnected or outcome.refusable)
        and outcome.host not in evidence.older_hosts
    ]
    failed = [
        each
        for each in after_recovery
        if each.answer.status != 200 or not each.answer.whole
    ]
    if failed:
        first = describe_outcome(failed[0])
        yield Violation(
            "recovery",
            f"{len(failed)} of {len(after_recovery)} failed at the end; {first}",
        )
    if not after_recovery:
        yield Violation("recovery", "no caller found a host after the recovery")


def find_leaks(evidence: Evidence) -> Iterator[Violation]:
    """Yield executions that continue although no caller waits for them."""
    for name in evidence.still_running:
        yield Violation("leak", f"{name} still ran when all callers had gone")


def find_process_failures(evidence: Evidence) -> Iterator[Violation]:
    """Yield processes that ended unexpectedly, too late or with an error."""
    for detail in evidence.process_failures:
        yield Violation("process", detail)


def find_exceeded_limits(evidence: Evidence) -> Iterator[Violation]:
    """Yield targets that got more requests than the limits that they stated."""
    outcomes = {each.id: each for each in evidence.outcomes}
    told_at: dict[tuple[str, str], float] = {}
    arrivals = []
    for run in evidence.executions:
        outcome = outcomes.get(run.id)
        if outcome is None or _is_host_disturbed(evidence, outcome.host, run.at):
            continue
        arrivals.append(Sent(run.target, run.at, outcome.host))
        if LIMIT_HEADER in outcome.answer.headers:
            key = run.target, outcome.host
            told_at[key] = min(told_at.get(key, float("inf")), outcome.ended_at)
    for detail in find_exceeded(evidence.limits, arrivals, told_at):
        yield Violation("limit", detail)


def find_late_fatal(evidence: Evidence) -> Iterator[Violation]:
    """Yield requests with a fatal part that ran although it was known to be one."""
    outcomes = {each.id: each for each in evidence.outcomes}
    arrivals = []
    for run in evidence.executions:
        outcome = outcomes.get(run.id)
        if outcome is None or FATAL_PART not in outcome.parts:
            continue
        disturbed = _is_host_disturbed(evidence, outcome.host, run.at)
        excused = disturbed or outcome.host in evidence.older_hosts
        host = "" if excused else outcome.host
        arrivals.append(FatalArrival(run.at, run.id, host))
    for detail in find_late(arrivals):
        yield Violation("fatal", detail)


def find_joined_streams(evidence: Evidence) -> Iterator[Violation]:
    """Yield streams with events of two versions, and take-ups that didn't go on."""
    parts = [
        StreamPart(
            outcome.resumes or outcome.id,
            bool(outcome.resumes),
            list_event_versions(outcome.answer.body),
            outcome.host not in evidence.older_hosts
            and not _is_host_disturbed(evidence, outcome.host, outcome.sent_at)
            and not _is_disturbed(evidence, outcome, None),
            outcome.host in evidence.older_hosts,
        )
        for outcome in evidence.outcomes
        if outcome.work.kind is RequestKind.RESUMED and not outcome.disconnected
    ]
    for detail in find_joined(parts):
        yield Violation("versions", detail)
    for detail in find_lost_take_ups(parts):
        yield Violation("take-ups", detail)


def find_unserved_at_cut_off(evidence: Evidence) -> Iterator[Violation]:
    """Yield cuts of hosts from targets whose callers were served much less."""
    if not evidence.cuts:
        return
    tries = [
        FirstTry(
            outcome.sent_at,
            outcome.host,
            outcome.answer.status == 200 and outcome.answer.whole,
        )
        for outcome in evidence.outcomes
        if not (outcome.disconnected or outcome.refusable or outcome.resumes)
        and outcome.host not in evidence.older_hosts
        and not _is_host_disturbed(evidence, outcome.host, outcome.sent_at)
        and not _is_unconfigured(evidence, outcome.host, outcome.sent_at)
    ]
    for detail in find_cut_off(evidence.cuts, tries):
        yield Violation("cut-off", detail)


def find_frequent_falls(evidence: Evidence) -> Iterator[Violation]:
    """Yield times in which brittle targets fell over too often."""
    if not evidence.falls:
        return
    sound = {
        outcome.id: outcome.host not in evidence.older_hosts
        and not _is_host_disturbed(evidence, outcome.host, outcome.sent_at)
        for outcome in evidence.outcomes
    }
    for detail in find_falls(
        evidence.brittle_times, evidence.falls, evidence.brittle_targets, sound
    ):
        yield Violation("brittle", detail)


def _is_host_disturbed(evidence: Evidence, host: str, at: float) -> bool:
    """Whether a host was restarted, paused or cut off shortly before a time."""
    return any(
        fault.since - NOTICE_S <= at <= fault.until + CONTACT_S
        for fault in evidence.applied_faults
        if fault.subject in (host, "many")
    )


def _is_unconfigured(evidence: Evidence, host: str, at: float) -> bool:
    """Whether a host was restarted while the store failed, and hasn't heard since."""
    failures = [
        fault
        for fault in evidence.applied_faults
        if fault.kind == FaultKind.FAIL_STORE.value
        and fault.since <= at <= fault.until + CONTACT_S
    ]
    return any(
        fault.subject == host
        and fault.kind in RESTARTS
        and failure.since <= fault.until <= min(at, failure.until)
        for failure in failures
        for fault in evidence.applied_faults
    )


def _is_closed_unanswered(outcome: Outcome) -> bool:
    """Whether a connection ended without an answer while its caller waited."""
    given_up = outcome.disconnected or outcome.end == "no answer in time"
    return not outcome.answer.status and not given_up


def _group_runs(evidence: Evidence) -> dict[str, list[Execution]]:
    """Return the runs of each request, by its id."""
    runs = defaultdict(list)
    for run in evidence.executions:
        runs[run.id].append(run)
    return runs


def _list_involved(
    evidence: Evidence, outcome: Outcome, runs: Sequence[Execution]
) -> set[str]:
    """Return the hosts and targets that a request may have passed through."""
    locations = evidence.locations
    host_location = locations.get(outcome.host)
    involved = {outcome.host}
    for run in runs:
        target_location = locations.get(run.target)
        if target_location is None:
            continue
        involved.add(target_location.subject)
        if host_location is None or target_location.zone != host_location.zone:
            # A host in the target's zone forwarded it; the records don't show which.
            involved |= {
                p.subject for p in locations.values() if p.zone == target_location.zone
            }
    return involved


def _is_disturbed(
    evidence: Evidence,
    outcome: Outcome,
    involved: set[str] | None,
    harmless: Set[str] = frozenset(),
) -> bool:
    """
    Whether an unplanned fault could have affected a request.

    ``involved`` are the hosts and targets whose faults count; all if None. Faults of
    ``harmless`` kinds don't count.
    """
    since, until = outcome.sent_at - ANSWER_GRACE_S, outcome.ended_at
    return any(
        fault.since < until and fault.until > since
        for fault in evidence.applied_faults
        if fault.kind not in PLANNED_KINDS | harmless
        and (involved is None or fault.subject in involved)
    )


def _is_excused(evidence: Evidence, probe: Probe, put_at: float) -> bool:
    """Whether a version's deadline doesn't apply to a host, because of a fault."""
    from_s = min(put_at, probe.at - CONFIG_DEADLINE_S) - DIRECTORY_EXPIRY_S
    return any(
        fault.since < probe.at and fault.until > from_s
        for fault in evidence.applied_faults
        if fault.subject in (probe.host, "store")
    )
