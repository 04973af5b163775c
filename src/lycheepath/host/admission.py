"""Whether this host may serve a caller's team at all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.outcomes import RequestFailedError, Run
from ..core.reasons import Absent, Reason
from .regions import region_is_lost

if TYPE_CHECKING:
    from ..core.clients import Client
    from .node import Node


async def require_team_host(node: Node, client: Client) -> None:
    """
    Raise unless this host counts the limit of the caller's team.

    A host elsewhere counts it while the team's home region is lost.
    """
    if node.limiter.counts_here(client.team):
        return
    lost = await region_is_lost(node, client.region)
    if lost and node.limiter.counts_here(client.team):
        return
    detail = "ask GET /v1/host which hosts serve this team"
    raise RequestFailedError(Absent(Reason.NOT_TEAM_HOST, detail=detail), Run.NOT_RUN)
