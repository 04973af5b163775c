"""The figures of a replay, and their table."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from lycheepath.core.routing.request import BLOCK_TOKENS

from .generator import FLOODER
from .trace import FaultKind, chain_blocks

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .replay import Outcome, Replay
    from .trace import Trace

MEGABYTE = 1e6


@dataclass(frozen=True, slots=True)
class Figures:
    """
    What a replay measured.

    Times are in seconds and count from the caller's first send, waits and
    retries included; a request without an answer counts with its deadline.
    Bound requests of a region that is lost can be served by nobody: they are
    in ``refused`` and not in the times, and so is the team that floods. ``again`` is tokens prefilled although
    some runner had done so before; ``goodput`` is the share of all requests
    answered by their deadline.
    """

    prefill: int
    again: int
    wasted: int
    away_share: float
    away_mb: float
    first_p50: float
    first_p99: float
    finish_p50: float
    finish_p99: float
    refused: float
    goodput: float
    crashes: int


def compute_figures(replay: Replay) -> Figures:
    """Return the figures of a replay that has run."""
    trace = replay.trace
    outcomes = replay.tally.outcomes
    timed = [outcome for outcome in outcomes if _could_be_served(trace, outcome)]
    first = [_time_or_deadline(o.first_token_s, o, o.finish_s) for o in timed]
    finish = [_time_or_deadline(o.finish_s, o, o.finish_s) for o in timed]
    served = [o for o in outcomes if o.finish_s is not None]
    prefill = sum(runner.prefilled for runner in replay.runners.values())
    return Figures(
        prefill=prefill,
        again=max(0, prefill - _count_needed(outcomes)),
        wasted=round(replay.tally.wasted_tokens),
        away_share=sum(o.away for o in served) / max(1, len(served)),
        away_mb=replay.tally.away_bytes / MEGABYTE,
        first_p50=find_percentile(first, 0.50),
        first_p99=find_percentile(first, 0.99),
        finish_p50=find_percentile(finish, 0.50),
        finish_p99=find_percentile(finish, 0.99),
        refused=sum(o.finish_s is None for o in outcomes) / len(outcomes),
        goodput=sum(_is_good(o) for o in outcomes) / len(outcomes),
        crashes=sum(runner.crashes for runner in replay.runners.values()),
    )


def average(samples: Sequence[Figures]) -> Figures:
    """Return the mean of each figure over several replays."""
    count = len(samples)
    sums = {
        item.name: sum(getattr(sample, item.name) for sample in samples)
        for item in fields(Figures)
    }
    whole = {"prefill", "again", "wasted", "crashes"}
    return Figures(
        **{
            name: round(value / count) if name in whole else value / count
            for name, value in sums.items()
        }
    )


def find_percentile(values: Iterable[float], share: float) -> float:
    """Return the value that a share of the values does not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def format_table(rows: Sequence[tuple[str, Figures]]) -> str:
    """Return the figures of several policies as a Markdown table."""
    names = [item.name for item in fields(Figures)]
    lines = [
        "| policy | " + " | ".join(name.replace("_", " ") for name in names) + " |",
        "|---" * (len(names) + 1) + "|",
    ]
    for policy, figures in rows:
        values = [_format(getattr(figures, name)) for name in names]
        lines.append(f"| {policy} | " + " | ".join(values) + " |")
    return "\n".join(lines)


def _format(value: float) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def _time_or_deadline(
    time_s: float | None, outcome: Outcome, finish_s: float | None
) -> float:
    if time_s is None or finish_s is None:
        return outcome.request.deadline_s
    return time_s


def _is_good(outcome: Outcome) -> bool:
    finish_s = outcome.finish_s
    return finish_s is not None and finish_s <= outcome.request.deadline_s


def _could_be_served(trace: Trace, outcome: Outcome) -> bool:
    request = outcome.request
    if request.poison or (trace.scenario == "flood" and request.team == FLOODER):
        return False
    if not request.bound:
        return True
    return not any(
        fault.kind is FaultKind.REGION_LOST
        and fault.subject == request.region
        and request.at_s < fault.end_s
        and request.at_s + request.deadline_s > fault.start_s
        for fault in trace.faults
    )


def _count_needed(outcomes: Iterable[Outcome]) -> int:
    """Return the tokens that one endless cache would have prefilled."""
    seen: set[int] = set()
    needed = 0
    for outcome in outcomes:
        if outcome.first_token_s is None:
            continue
        blocks = chain_blocks(outcome.request)
        needed += outcome.request.prompt_tokens - len(blocks) * BLOCK_TOKENS
        needed += sum(block not in seen for block in blocks) * BLOCK_TOKENS
        seen.update(blocks)
    return needed
