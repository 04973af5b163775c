"""
Admission of a caller's request by its team's limit.

A host that has used up its share queries the team's other hosts for their
usage, at most once a second, and admits requests from the part that they leave
unused. No messages are sent for teams that stay within their share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from ..adapters.peer_requests import PeerUnreachable
from ..core.limits.shares import UseReport
from ..core.outcomes import RequestFailedError, Run
from ..core.reasons import Absent, Reason
from .regions import is_region_unreachable

if TYPE_CHECKING:
    from ..core.clients import Client
    from ..core.limits.admission import Admission
    from .node import Node

USAGE_QUERY_INTERVAL_S = 1.0
USAGE_QUERY_TIMEOUT_S = 0.3


async def admit_request(
    node: Node, client: Client, cost_tokens: int, priority: int
) -> Admission:
    """Charge the cost to the team's limit; raises ``RequestFailedError``."""
    await _require_team_host(node, client)
    team = client.team
    admission = node.limiter.admit(team, cost_tokens, priority, node.now())
    if isinstance(admission, Absent) and await _refresh_usage(node, team):
        admission = node.limiter.admit(team, cost_tokens, priority, node.now())
    if isinstance(admission, Absent):
        raise RequestFailedError(admission, Run.NOT_RUN)
    return admission


def describe_use(node: Node) -> dict[str, Any]:
    """Return this host's recent usage of each team, for the team's other hosts."""
    report = node.limiter.report_use(node.now())
    return {"teams": dict(report.teams), "rest": report.highest_omitted}


async def _require_team_host(node: Node, client: Client) -> None:
    """
    Raise unless this host enforces the limit of the caller's team.

    A host of another region enforces it while the team's home region is
    unreachable.
    """
    if node.limiter.enforces_limit(client.team):
        return
    unreachable = await is_region_unreachable(node, client.region)
    if unreachable and node.limiter.enforces_limit(client.team):
        return
    detail = "ask GET /v1/host which hosts serve this team"
    raise RequestFailedError(Absent(Reason.NOT_TEAM_HOST, detail=detail), Run.NOT_RUN)


async def _refresh_usage(node: Node, team: str) -> bool:
    """Query the team's other hosts for their usage, unless done recently."""
    queried_at = node.usage_queried_at.get(team, float("-inf"))
    if node.now() - queried_at < USAGE_QUERY_INTERVAL_S:
        return False
    node.usage_queried_at[team] = node.now()
    others = [h for h in node.limiter.hosts_of(team) if h != node.settings.host]
    with trio.move_on_after(USAGE_QUERY_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for host in others:
                nursery.start_soon(_query_usage, node, host)
    node.metrics.count("limit_shares_asked_total")
    return True


async def _query_usage(node: Node, host: str) -> None:
    queried_at = node.now()
    answer = await node.peers.query(node.host_addresses.get(host, ""), "/peer/use")
    if isinstance(answer, PeerUnreachable):
        return
    teams = {str(team): float(use) for team, use in answer["teams"].items()}
    report = UseReport(teams, float(answer["rest"]), queried_at)
    node.limiter.apply_report(host, report)
