"""Computes the metrics of a replay and formats them as a table."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING

from lycheepath.core.routing.request import BLOCK_TOKENS

from .generator import FLOODING_TEAM
from .trace import FaultKind, hash_prompt_blocks

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .replay import Outcome, Replay
    from .trace import Trace

BYTES_PER_MB = 1e6


@dataclass(frozen=True, slots=True)
class Figures:
    """
    The metrics of a replay.

    Times are in seconds from the caller's first attempt, including waits and
    retries; a request without an answer counts with its deadline. Requests
    bound to a lost region cannot be served: they count in ``refused`` but not
    in the times. The same holds for poison requests and, in the flood scenario,
    for the team that floods. ``again`` is the number of tokens prefilled
    although some runner had prefilled them before. ``away_share`` is the share
    of served requests that a remote region answered, ``away_mb`` the megabytes
    sent between regions. ``goodput`` is the share of all requests answered
    by their deadline.
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
    """Return the metrics of a completed replay."""
    trace = replay.trace
    outcomes = replay.totals.outcomes
    timed = [outcome for outcome in outcomes if _is_servable(trace, outcome)]
    first = [_get_time_or_deadline(o.first_token_s, o, o.finish_s) for o in timed]
    finish = [_get_time_or_deadline(o.finish_s, o, o.finish_s) for o in timed]
    served = [o for o in outcomes if o.finish_s is not None]
    prefill = sum(runner.prefilled for runner in replay.runners.values())
    return Figures(
        prefill=prefill,
        again=max(0, prefill - _count_unavoidable_tokens(outcomes)),
        wasted=round(replay.totals.wasted_tokens),
        away_share=sum(o.is_remote for o in served) / max(1, len(served)),
        away_mb=replay.totals.cross_region_bytes / BYTES_PER_MB,
        first_p50=find_percentile(first, 0.50),
        first_p99=find_percentile(first, 0.99),
        finish_p50=find_percentile(finish, 0.50),
        finish_p99=find_percentile(finish, 0.99),
        refused=sum(o.finish_s is None for o in outcomes) / len(outcomes),
        goodput=sum(_met_deadline(o) for o in outcomes) / len(outcomes),
        crashes=sum(runner.crashes for runner in replay.runners.values()),
    )


def average(samples: Sequence[Figures]) -> Figures:
    """Return the mean of each metric over several replays."""
    count = len(samples)
    sums = {
        item.name: sum(getattr(sample, item.name) for sample in samples)
        for item in fields(Figures)
    }
    integer_names = {"prefill", "again", "wasted", "crashes"}
    return Figures(
        **{
            name: round(value / count) if name in integer_names else value / count
            for name, value in sums.items()
        }
    )


def find_percentile(values: Iterable[float], share: float) -> float:
    """Return the quantile at ``share`` (0 to 1), or 0.0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def format_table(rows: Sequence[tuple[str, Figures]]) -> str:
    """Return the metrics of several policies as a Markdown table."""
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


def _get_time_or_deadline(
    time_s: float | None, outcome: Outcome, finish_s: float | None
) -> float:
    if time_s is None or finish_s is None:
        return outcome.request.deadline_s
    return time_s


def _met_deadline(outcome: Outcome) -> bool:
    finish_s = outcome.finish_s
    return finish_s is not None and finish_s <= outcome.request.deadline_s


def _is_servable(trace: Trace, outcome: Outcome) -> bool:
    request = outcome.request
    if request.poison or (trace.scenario == "flood" and request.team == FLOODING_TEAM):
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


def _count_unavoidable_tokens(outcomes: Iterable[Outcome]) -> int:
    """Return the tokens to prefill with one shared cache of unlimited size."""
    seen: set[int] = set()
    tokens = 0
    for outcome in outcomes:
        if outcome.first_token_s is None:
            continue
        blocks = hash_prompt_blocks(outcome.request)
        tokens += outcome.request.prompt_tokens - len(blocks) * BLOCK_TOKENS
        tokens += sum(block not in seen for block in blocks) * BLOCK_TOKENS
        seen.update(blocks)
    return tokens
