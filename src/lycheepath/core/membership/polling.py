"""
Which targets a host polls for their load, and whom it tells.

The hosts of a region fall into cells that share targets. Compute the plan when
the hosts or the targets change, not for each poll::

    plan = plan_polling("a-7", hosts, live, home_targets, away_targets)
    for target in plan.polled:
        ...publish_news(load, now, plan.recipients)

Targets of other regions are polled as well while there are few in all; beyond
that, detail stays in its region.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .rendezvous import cell_of_host, cell_of_target, computed_pollers

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

FEW_TARGETS = 100


@dataclass(frozen=True, slots=True)
class PollingPlan:
    """
    One host's share of the polling.

    ``used`` are the targets of its cell, ``polled`` those of them that it
    polls itself, ``recipients`` the other live hosts of the cell.
    """

    used: tuple[str, ...]
    polled_targets: tuple[str, ...]
    recipients: tuple[str, ...]


def plan_polling(
    own: str,
    hosts: Sequence[str],
    live: Collection[str],
    home_targets: Sequence[str],
    away_targets: Sequence[str] = (),
) -> PollingPlan:
    """
    Return the share of host ``own``.

    ``hosts`` are all hosts of the region that the document names, ``live``
    those among them that take part, ``home_targets`` the region's targets.
    """
    count = len(hosts)
    cell = cell_of_host(own, count)
    mates = [host for host in hosts if cell_of_host(host, count) == cell]
    fit = [host for host in mates if host in live or host == own]
    used = [target for target in home_targets if cell_of_target(target, count) == cell]
    if len(home_targets) + len(away_targets) <= FEW_TARGETS:
        used.extend(away_targets)
    polled = [target for target in used if own in computed_pollers(target, fit)]
    recipients = [host for host in fit if host != own]
    return PollingPlan(tuple(used), tuple(polled), tuple(recipients))
