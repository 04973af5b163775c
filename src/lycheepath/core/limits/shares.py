"""
How a team's limit is divided over the hosts that count it.

Nothing is agreed between hosts. Each of the ``k`` hosts that the document
gives a team (see ``core.hosts.selection``) owns the same share, and may borrow
what reports say that the others leave unused. A report that is too old counts
as full use. So, over any window of W seconds, a team is admitted at most

    rate * W + burst + borrowed,  borrowed <= (k - 1) * rate * lag

where ``lag`` is the time from a change of use at one host until the others
have heard of it, which ``REPORT_MAX_AGE_S`` bounds. With fresh reports and
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
    What another host lately admitted, in tokens a second by team.

    A report may be cut to the teams that use most; ``rest`` is then the
    highest use among those left out.
    """

    teams: Mapping[str, float]
    highest_omitted: float
    measured_at: float


def cut_report(use: Mapping[str, float], teams: int, now: float) -> UseReport:
    """Return a report of at most so many teams, those that use most."""
    ordered = sorted(use.items(), key=lambda item: item[1], reverse=True)
    rest = ordered[teams][1] if len(ordered) > teams else 0.0
    return UseReport(dict(ordered[:teams]), rest, now)


def divide_limit(
    team: str,
    rate: float,
    host: str,
    hosts: tuple[str, ...],
    reports: Mapping[str, UseReport],
    now: float,
) -> float:
    """
    Return the rate at which this host may admit the team now.

    ``hosts`` are all that count the team. A host outside them owns nothing
    and borrows nothing.
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
    """Return the tokens by which ``hosts`` may exceed the limit at most."""
    return (hosts - 1) * rate * lag_s
