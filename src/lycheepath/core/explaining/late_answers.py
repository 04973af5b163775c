"""
Explains from log lines why the answer to a request was late.

An estimate that was too short, or a wait that was accepted, often has its cause in the
requests that other teams had sent to the same target::

    cause = explain_late(grouped.by_request["9c41"], grouped)
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from .causes import Cause
from .losses import find_loss

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .causes import GroupedLines

    Line = Mapping[str, Any]

# Time before a request was placed in which placements at its target are counted: what
# runs longer is in flight at most once.
BEFORE_S = 2.0
MAX_NAMED_TEAMS = 4
NO_TEAM = "no team"


def explain_late(lines: Sequence[Line], grouped: GroupedLines) -> Cause | None:
    """Return why an answer began after its objective; None if it didn't."""
    loss = find_loss(lines)
    answers = [line for line in lines if line.get("event") == "answered"]
    if loss is None or not answers:
        return None
    answer = answers[-1]
    first_s = answer.get("first_s") or answer.get("took_s")
    text = (
        f"{loss.value}: the first event came after {first_s} s, the objective is"
        f" {answer.get('aim_s')} s, expected were {answer.get('expected_s')} s"
    )
    placed = [line for line in lines if line.get("event") == "placed"]
    if placed:
        text += _describe_rivals(placed[-1], grouped)
    return Cause(True, text)


def _describe_rivals(placed: Line, grouped: GroupedLines) -> str:
    target, at = placed.get("target"), float(placed.get("at", 0.0))
    teams = Counter(
        str(line.get("team") or NO_TEAM)
        for request, lines in grouped.by_request.items()
        if request != placed.get("request")
        for line in lines
        if line.get("event") == "placed" and line.get("target") == target
        if at - BEFORE_S <= float(line.get("at", 0.0)) <= at
    )
    if not teams:
        return f"; no other request went to {target} in the {BEFORE_S:g} s before"
    named = ", ".join(f"{n} of {t}" for t, n in teams.most_common(MAX_NAMED_TEAMS))
    more = ", and others" if len(teams) > MAX_NAMED_TEAMS else ""
    return (
        f"; {teams.total()} other requests went to {target} in the {BEFORE_S:g} s before:"
        f" {named}{more}"
    )
