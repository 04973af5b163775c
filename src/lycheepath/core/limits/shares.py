"""
How a team's limit is divided over the hosts that enforce it.

No agreement between hosts is needed. Each of the ``k`` hosts that the environment
document assigns to a team (see ``core.hosts.selection``) has the same share, and may
borrow what the others leave unused according to their reports. A report that is too
old counts as full use. So, over any window of W seconds, a team is admitted at most

    rate * W + burst + borrowed,  borrowed <= (k - 1) * rate * lag

where ``lag`` is the time from a change of use at one host until the others have
received its report, which ``REPORT_MAX_AGE_S`` bounds. With fresh reports and
steady demand the borrowed part is zero. Without any reports the bound is
``rate * W + burst`` exactly.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

REPORT_MAX_AGE_S = 3.0
ACTIVE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class UseReport:
    """
    What another host recently admitted, in tokens per second by team.

    A report may be limited to the teams with the highest use; ``highest_omitted`` is
    then the highest use among the omitted teams.
    """

    teams: Mapping[str, float]
    highest_omitted: float
    measured_at: float


def truncate_report(use: Mapping[str, float], teams: int, now: float) -> UseReport:
    """Return a report of the ``teams`` teams with the highest use."""
    ordered = sorted(use.items(), key=lambda item: item[1], reverse=True)
    highest_omitted = ordered[teams][1] if len(ordered) > teams else 0.0
    return UseReport(dict(ordered[:teams]), highest_omitted, now)


def divide_limit(
    team: str,
    rate: float,
    host: str,
    hosts: tuple[str, ...],
    reports: Mapping[str, UseReport],
    now: float,
) -> float:
    """
    Return the rate in tokens per second at which ``host`` may admit the team now.

    ``hosts`` are all hosts that enforce the team's limit. Any other host has no share
    and can't borrow.
    """
    if host not in hosts:
        return 0.0
    share = rate / len(hosts)
    unused = 0.0
    borrowers = 1
    for other in hosts:
        if other == host:
            continue
        report = reports.get(other)
        if report is None or now - report.measured_at > REPORT_MAX_AGE_S:
            continue
        used = report.teams.get(team, report.highest_omitted)
        unused += max(0.0, share - used)
        borrowers += used > share * ACTIVE_SHARE
    return share + unused / borrowers


def overshoot_bound(rate: float, hosts: int, lag_s: float) -> float:
    """Return the most tokens by which ``hosts`` may exceed the limit together."""
    return (hosts - 1) * rate * lag_s
