"""
Admission of a caller's request by its team's limit.

A host whose share is spent asks the other hosts of the team what they use, at
most once a second, and borrows what they leave. Nothing is sent for teams that
stay within their share.
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

USE_ASKED_EVERY_S = 1.0
USE_ANSWER_TIMEOUT_S = 0.3


async def admit_request(
    node: Node, client: Client, cost_tokens: int, priority: int
) -> Admission:
    """Take the cost from the team's limit; raises ``RequestFailedError``."""
    await _require_team_host(node, client)
    team = client.team
    admission = node.limiter.admit(team, cost_tokens, priority, node.now())
    if isinstance(admission, Absent) and await _refresh_use(node, team):
        admission = node.limiter.admit(team, cost_tokens, priority, node.now())
    if isinstance(admission, Absent):
        raise RequestFailedError(admission, Run.NOT_RUN)
    return admission


def describe_use(node: Node) -> dict[str, Any]:
    """Return what this host lately admitted, for the other hosts of a team."""
    report = node.limiter.report_use(node.now())
    return {"teams": dict(report.teams), "rest": report.highest_omitted}


async def _require_team_host(node: Node, client: Client) -> None:
    """
    Raise unless this host counts the limit of the caller's team.

    A host elsewhere counts it while the team's home region is lost.
    """
    if node.limiter.enforces_limit(client.team):
        return
    lost = await is_region_unreachable(node, client.region)
    if lost and node.limiter.enforces_limit(client.team):
        return
    detail = "ask GET /v1/host which hosts serve this team"
    raise RequestFailedError(Absent(Reason.NOT_TEAM_HOST, detail=detail), Run.NOT_RUN)


async def _refresh_use(node: Node, team: str) -> bool:
    """Ask the team's other hosts for their use, unless that was done lately."""
    asked_at = node.use_asked.get(team, float("-inf"))
    if node.now() - asked_at < USE_ASKED_EVERY_S:
        return False
    node.use_asked[team] = node.now()
    others = [h for h in node.limiter.hosts_of(team) if h != node.settings.host]
    with trio.move_on_after(USE_ANSWER_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for host in others:
                nursery.start_soon(_ask_use, node, host)
    node.metrics.count("limit_shares_asked_total")
    return True


async def _ask_use(node: Node, host: str) -> None:
    asked_at = node.now()
    answer = await node.peers.query(node.host_addresses.get(host, ""), "/peer/use")
    if isinstance(answer, PeerUnreachable):
        return
    teams = {str(team): float(use) for team, use in answer["teams"].items()}
    report = UseReport(teams, float(answer["rest"]), asked_at)
    node.limiter.apply_report(host, report)
