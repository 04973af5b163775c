"""Formats the outcomes that callers observed as a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.caller import Kind, Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

COLUMNS = (
    "requests",
    "whole",
    "resumed",
    "refused",
    "unknown",
    "ended",
    "host lost",
    "wrong",
    "p50 ms",
    "p99 ms",
)
COLUMN_WIDTH = 10
KIND_COLUMNS = (Kind.REFUSED, Kind.UNKNOWN, Kind.ENDED, Kind.BROKEN, Kind.WRONG)


def render_table(
    rows: Mapping[str, Sequence[Outcome]], resumed_ids: frozenset[str]
) -> str:
    """
    Return the table as text, with one line per kind of request.

    The times are those of complete answers: to the first token of a stream, else
    to the end of the answer.
    """
    header = " " * 18 + "".join(f"{column:>{COLUMN_WIDTH}}" for column in COLUMNS)
    lines = [
        f"{name:<18}" + "".join(f"{cell:>{COLUMN_WIDTH}}" for cell in cells)
        for name, outcomes in rows.items()
        for cells in [_count_cells(outcomes, resumed_ids)]
    ]
    return "\n".join([header, *lines])


def _count_cells(outcomes: Sequence[Outcome], resumed_ids: frozenset[str]) -> list[str]:
    whole = [outcome for outcome in outcomes if outcome.kind is Kind.WHOLE]
    resumed = [outcome for outcome in whole if outcome.request_id in resumed_ids]
    times_ms = sorted(1000 * (o.first_token_s or o.total_s) for o in whole)
    counts = [len(outcomes), len(whole), len(resumed)]
    counts += [sum(o.kind is kind for o in outcomes) for kind in KIND_COLUMNS]
    return [
        *map(str, counts),
        _format_quantile(times_ms, 0.5),
        _format_quantile(times_ms, 0.99),
    ]


def _format_quantile(ordered: Sequence[float], share: float) -> str:
    if not ordered:
        return "-"
    return f"{ordered[min(len(ordered) - 1, int(share * len(ordered)))]:.1f}"
