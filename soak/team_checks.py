"""
Checks of teams, from what callers and targets have seen.

A request's team is that of the key that it carried. Requests of hosts of an earlier
version don't count, as these know no teams. No fault excuses anything here: a host that
can't tell whether a key is in force, or whether its team is within its limit, has to
answer with 503.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .callers import describe_outcome
from .evidence import Violation
from .teams import KEY_DEADLINE_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence
    from pathlib import Path

    from .callers import Outcome
    from .evidence import Evidence, Execution
    from .teams import IssuedKey, TeamBook, TeamFacts, TeamRecords

UNAUTHORIZED, OVER_LIMIT = 401, 429
# Window in which tokens at targets are counted, by what factor they may exceed the limit,
# and the tokens by which they may besides: settings of the first deployments.
WINDOW_S = 8.0
OVER_FACTOR = 1.25
SLACK = 110_000.0
# Part of its burst that a team may use at once without a refusal: buckets of hosts that
# have just started hold no more.
STARTING_PART = 0.25
# Lines that are described of those that show a key.
MAX_SHOWN = 5


@dataclass(frozen=True, slots=True)
class _Charge:
    """A request of a limited team, with the time at which it counts and its tokens."""

    at: float
    tokens: float
    outcome: Outcome


def find_team_violations(evidence: Evidence) -> Iterator[Violation]:
    """Yield what breaks the promises on teams; nothing in a run without teams."""
    records = evidence.teams
    if records is None:
        return
    keys = {each.key: each for each in records.keys}
    outcomes = {
        each.id: each
        for each in evidence.outcomes
        if each.host not in evidence.older_hosts
    }
    runs = [
        (outcomes[each.id], each) for each in evidence.executions if each.id in outcomes
    ]
    yield from _find_wrong_teams(runs, keys)
    yield from _find_unauthorized_runs(runs, keys)
    yield from _find_refused_keys(outcomes.values(), keys)
    yield from _find_exceeded(records, runs, keys)
    yield from _find_needless_denials(records, outcomes.values(), keys)
    for outcome in outcomes.values():
        if outcome.answer.status == OVER_LIMIT and not _names_retry(outcome):
            detail = f"{describe_outcome(outcome)} has no Retry-After"
            yield Violation("team-limit", detail)
    for shown in records.shown:
        yield Violation("key-shown", shown)


def find_shown_keys(book: TeamBook, directory: Path) -> list[str]:
    """Return descriptions of the first log lines that show a key, without the key."""
    keys = [key.encode() for key in (*book.unknown, *(k.key for k in book.keys))]
    shown = []
    for path in sorted(directory.glob("*.log")):
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            if any(key in line for key in keys):
                shown.append(f"line {number} of {path.name} shows a key")
    return shown[:MAX_SHOWN]


def _find_wrong_teams(
    runs: Sequence[tuple[Outcome, Execution]], keys: dict[str, IssuedKey]
) -> Iterator[Violation]:
    for outcome, run in runs:
        if run.has_key:
            detail = f"{run.target} got the key of {describe_outcome(outcome)}"
            yield Violation("key-shown", detail)
        key = keys.get(outcome.key)
        if key is not None and run.teams != (key.team,):
            yield Violation(
                "team",
                f"{run.target} got {describe_outcome(outcome)} as of"
                f" {list(run.teams)}, expected {key.team}",
            )


def _find_unauthorized_runs(
    runs: Sequence[tuple[Outcome, Execution]], keys: dict[str, IssuedKey]
) -> Iterator[Violation]:
    for outcome, run in runs:
        key = keys.get(outcome.key)
        if key is None:
            carried = "an unknown key" if outcome.key else "no key"
            detail = f"{run.target} ran {describe_outcome(outcome)} with {carried}"
            yield Violation("unknown-key", detail)
            continue
        late_s = outcome.sent_at - key.removed_at
        if late_s > KEY_DEADLINE_S:
            yield Violation(
                "revoked",
                f"{run.target} ran {describe_outcome(outcome)}, sent {late_s:.2f} s"
                f" after its key was taken from {key.team}",
            )


def _find_refused_keys(
    outcomes: Iterable[Outcome], keys: dict[str, IssuedKey]
) -> Iterator[Violation]:
    """Yield requests whose key was in force from their start to their answer."""
    for outcome in outcomes:
        key = keys.get(outcome.key)
        if key is None or outcome.answer.status != UNAUTHORIZED:
            continue
        if key.is_settled(outcome.sent_at) and outcome.ended_at < key.removed_at:
            known_s = outcome.sent_at - key.added_at
            detail = (
                f"{describe_outcome(outcome)}, {known_s:.1f} s after its key was added"
            )
            yield Violation("valid-key", detail)


def _find_exceeded(
    records: TeamRecords,
    runs: Sequence[tuple[Outcome, Execution]],
    keys: dict[str, IssuedKey],
) -> Iterator[Violation]:
    """Yield the worst window of each team whose targets got more than its limit."""
    arrivals = ((outcome, run.at) for outcome, run in runs)
    for team, charges in _charge(records, arrivals, keys):
        allowed = (team.rate * WINDOW_S + team.burst) * OVER_FACTOR + SLACK
        most, since = _find_fullest_window(charges)
        if most > allowed:
            yield Violation(
                "team-limit",
                f"targets got {most:.0f} tokens of {team.name} in {WINDOW_S:.0f} s from"
                f" {since:.3f}, allowed {allowed:.0f}",
            )


def _find_needless_denials(
    records: TeamRecords, outcomes: Iterable[Outcome], keys: dict[str, IssuedKey]
) -> Iterator[Violation]:
    """
    Yield refusals for the limit of a team that was below it.

    A team is below its limit if a bucket with its rate and a part of its burst wasn't
    empty, though each request was taken from it as it was sent, also those that didn't
    run. What a team owes never exceeds its rate over one window.
    """
    sent = ((outcome, outcome.sent_at) for outcome in outcomes)
    for team, charges in _charge(records, sent, keys):
        most = team.burst * STARTING_PART
        level, since = most, -math.inf
        for charge in charges:
            level = min(most, level + (charge.at - since) * team.rate)
            since = charge.at
            if level > 0.0 and charge.outcome.answer.status == OVER_LIMIT:
                detail = (
                    f"{describe_outcome(charge.outcome)}, {team.name} had {level:.0f}"
                )
                yield Violation("below-limit", f"{detail} tokens left")
            level = max(level - charge.tokens, -team.rate * WINDOW_S)


def _charge(
    records: TeamRecords,
    requests: Iterable[tuple[Outcome, float]],
    keys: dict[str, IssuedKey],
) -> Iterator[tuple[TeamFacts, list[_Charge]]]:
    """Yield each limited team with its requests, in the order of their times."""
    limited = {team.name: team for team in records.teams if team.rate > 0.0}
    charges: dict[str, list[_Charge]] = defaultdict(list)
    for outcome, at in requests:
        key = keys.get(outcome.key)
        if key is None or key.team not in limited:
            continue
        plain = limited[key.team].plain_tokens
        tokens = plain if outcome.tokens is None else outcome.tokens
        charges[key.team].append(_Charge(at, tokens, outcome))
    for name, found in charges.items():
        yield limited[name], sorted(found, key=lambda charge: charge.at)


def _find_fullest_window(charges: Sequence[_Charge]) -> tuple[float, float]:
    """Return the most tokens in one window, and the start of that."""
    window: deque[_Charge] = deque()
    tokens, most, since = 0.0, 0.0, 0.0
    for charge in charges:
        window.append(charge)
        tokens += charge.tokens
        while window[0].at < charge.at - WINDOW_S:
            tokens -= window.popleft().tokens
        if tokens > most:
            most, since = tokens, window[0].at
    return most, since


def _names_retry(outcome: Outcome) -> bool:
    return "retry-after" in outcome.answer.headers
