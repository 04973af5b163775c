"""Runs the membership protocol and applies its results to the node."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from ..adapters.peers.socket import PeerRunner
from ..core.gossip.updates import UpdateKind, unpack_quarantine, unpack_target_load
from ..core.membership.actions import (
    Joined,
    MemberChanged,
    RegionChanged,
    Superseded,
    UpdateReceived,
    ValueAnnounced,
    ValueConflict,
)
from ..core.membership.model import Member
from ..core.membership.node import Membership
from ..core.membership.options import Options
from ..core.routing.reports import LoadReport
from .configuration import fetch_value
from .member_views import list_published_hosts
from .quarantine import apply_quarantine_update

if TYPE_CHECKING:
    from ..core.gossip.updates import HeldUpdate
    from ..core.membership.actions import Action
    from .node import Node


async def run_membership(node: Node) -> None:
    """Run the membership protocol of the region until cancelled."""
    environment = node.environment
    assert environment is not None
    settings = node.settings
    local_member = Member(
        settings.host,
        node.incarnation,
        peers_address=settings.listen_peers,
        callers_address=settings.listen_callers,
        zone=settings.zone,
        region=settings.region,
    )
    async with trio.open_nursery() as nursery:
        membership = Membership(local_member, Options(), node.random, node.now())
        runner = PeerRunner(
            membership,
            settings.listen_peers,
            settings.peer_keys,
            partial(_handle_action, node, nursery),
            node.may_reach,
        )
        await nursery.start(runner.run)
        node.membership = membership
        node.runner = runner
        published = list_published_hosts(node, environment)
        runner.act(membership.start((), published, node.now()))
        for digest in node.value_digests.values():
            runner.act(membership.set_value(digest, node.now()))


def _handle_action(node: Node, nursery: trio.Nursery, action: Action) -> None:
    if isinstance(action, ValueAnnounced):
        nursery.start_soon(
            fetch_value,
            node,
            action.value.name,
            action.callers_address,
            f"peer {action.source}",
        )
    elif isinstance(action, MemberChanged):
        _apply_member_change(node, action)
    elif isinstance(action, RegionChanged):
        node.limiter.update_members(node.member_states())
    elif isinstance(action, UpdateReceived):
        _apply_update(node, action.update)
    elif isinstance(action, ValueConflict):
        node.metrics.count("configuration_conflicts_total", value=action.held.name)
    elif isinstance(action, Joined):
        node.record_change("joined", "membership", "", f"answered={action.answered}")
    elif isinstance(action, Superseded):
        node.record_change("superseded", "membership", "", str(action.incarnation))
        node.superseded.set()


def _apply_member_change(node: Node, action: MemberChanged) -> None:
    member = action.member
    before = "" if action.previous is None else action.previous.name.lower()
    after = "leaving" if member.leaving else member.state.name.lower()
    if member.id != node.settings.host:
        node.record_change("member", member.id, before, after)
        node.remove_owner_clock(member.id)
    node.limiter.update_members(node.member_states())


def _apply_update(node: Node, held: HeldUpdate) -> None:
    update = held.update
    target = node.target_by_hash.get(update.key)
    if update.kind is UpdateKind.TARGET_LOAD and target is not None:
        load = unpack_target_load(update, target)
        report = LoadReport(
            load.running,
            load.queued,
            load.kv_free_tokens,
            draining=node.is_target_draining(target),
        )
        node.router.registry.apply_load_report(target, report, held.observed_at)
        node.queue.serve(node.now())
    elif update.kind is UpdateKind.QUARANTINE:
        ttl_s = max(0.0, update.ttl_s - update.age_ms / 1000)
        apply_quarantine_update(node, unpack_quarantine(update), ttl_s)
    elif update.kind is UpdateKind.TARGET_LEAVING and target is not None:
        node.set_target_draining(target, bool(update.word), f"peer {held.source}")
