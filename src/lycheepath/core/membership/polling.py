"""
Which targets a host polls for their load, and which hosts it sends them to.

The hosts of a region are split into cells that share targets. Compute the plan when
the hosts or the targets change, not for each poll::

    plan = plan_polling("a-7", hosts, live, local_targets, remote_targets)
    for target in plan.polled_targets:
        ...publish_update(load, now, plan.recipients)

Targets of remote regions are polled too while there are few targets in total. With
more of them, loads of single targets aren't collected outside their region.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .rendezvous import cell_of_host, cell_of_target, computed_pollers

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

MAX_TARGETS_ACROSS_REGIONS = 100


@dataclass(frozen=True, slots=True)
class PollingPlan:
    """
    One host's share of the polling.

    ``cell_targets`` are the targets that its cell uses, ``polled_targets`` those of
    them that the host polls itself, ``recipients`` the other live hosts of the cell.
    """

    cell_targets: tuple[str, ...]
    polled_targets: tuple[str, ...]
    recipients: tuple[str, ...]


def plan_polling(
    local_host: str,
    hosts: Sequence[str],
    live: Collection[str],
    local_targets: Sequence[str],
    remote_targets: Sequence[str] = (),
) -> PollingPlan:
    """
    Return the share of ``local_host``.

    ``hosts`` are all hosts of the region in the environment document, ``live`` the
    live ones among them, ``local_targets`` the targets of the region.
    """
    count = len(hosts)
    cell = cell_of_host(local_host, count)
    cell_hosts = [host for host in hosts if cell_of_host(host, count) == cell]
    pollers = [host for host in cell_hosts if host in live or host == local_host]
    cell_targets = [
        target for target in local_targets if cell_of_target(target, count) == cell
    ]
    if len(local_targets) + len(remote_targets) <= MAX_TARGETS_ACROSS_REGIONS:
        cell_targets.extend(remote_targets)
    polled = [
        target
        for target in cell_targets
        if local_host in computed_pollers(target, pollers)
    ]
    recipients = [host for host in pollers if host != local_host]
    return PollingPlan(tuple(cell_targets), tuple(polled), tuple(recipients))
