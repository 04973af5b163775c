"""
Reachability of other regions, checked only when a decision needs it.

A caller whose home region is unreachable may be served here. Other callers are
directed to their home region, so that few hosts enforce a team's limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from ..adapters.peer_requests import PeerUnreachable

if TYPE_CHECKING:
    from ..core.environment.model import Host
    from .node import Node

HOSTS_QUERIED = 3
REACHABILITY_TTL_S = 2.0


async def is_region_unreachable(node: Node, region: str) -> bool:
    """
    Return whether no queried host of a region answers.

    The result is cached for ``REACHABILITY_TTL_S``; the limits use it too.
    """
    if region == node.settings.region:
        return False
    checked_at = node.region_checked_at.get(region)
    if checked_at is None or node.now() - checked_at > REACHABILITY_TTL_S:
        node.region_checked_at[region] = node.now()
        node.set_region_unreachable(region, not await _query_hosts(node, region))
    return region in node.unreachable_regions


async def _query_hosts(node: Node, region: str) -> bool:
    environment = node.environment
    assert environment is not None
    hosts = [h for h in environment.hosts if node.region_of(h) == region]
    queried = node.random.sample(hosts, min(HOSTS_QUERIED, len(hosts)))
    answered = False

    async def ask(host: Host) -> None:
        nonlocal answered
        answer = await node.peers.query(host.callers_address, "/peer/state")
        if not isinstance(answer, PeerUnreachable):
            answered = True
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        for host in queried:
            nursery.start_soon(ask, host)
    return answered
