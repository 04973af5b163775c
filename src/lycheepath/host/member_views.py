"""Conversions of hosts and members between the document and the membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.hosts.selection import MemberState
from ..core.membership.model import Member, PublishedHost, State

if TYPE_CHECKING:
    from ..core.environment.model import Environment
    from ..core.membership.messages import RegionSummary
    from .node import Node

MEMBER_STATES = {
    State.ALIVE: MemberState.LIVE,
    State.SUSPECT: MemberState.SUSPECT,
    State.DEAD: MemberState.DEAD,
    State.ENDED: MemberState.DEAD,
}


def list_published_hosts(node: Node, environment: Environment) -> list[PublishedHost]:
    """Return the document's hosts as the membership represents them."""
    return [
        PublishedHost(
            host.id,
            host.peers_address,
            host.callers_address,
            host.zone,
            node.region_of(host),
        )
        for host in environment.hosts
    ]


def read_member_state(member: Member) -> MemberState:
    """Return a member's state as it applies to callers' requests."""
    state = MEMBER_STATES[member.state]
    if member.leaving and state is not MemberState.DEAD:
        return MemberState.DRAINING
    return state


def read_summary_states(summary: RegionSummary) -> dict[str, MemberState]:
    """Return the states of another region's draining and dead hosts."""
    draining = dict.fromkeys(summary.leaving, MemberState.DRAINING)
    return {**draining, **dict.fromkeys(summary.down, MemberState.DEAD)}
