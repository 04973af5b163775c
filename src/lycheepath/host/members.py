"""Wires the membership between hosts: who is there, and what they tell."""

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
from .member_views import publish_hosts
from .quarantine import hear_conviction

if TYPE_CHECKING:
    from ..core.gossip.updates import HeldUpdate
    from ..core.membership.actions import Action
    from .node import Node


async def run_membership(node: Node) -> None:
    """Take part in the membership of the region until cancelled."""
    environment = node.environment
    assert environment is not None
    settings = node.settings
    own = Member(
        settings.host,
        node.incarnation,
        peers_address=settings.listen_peers,
        callers_address=settings.listen_callers,
        zone=settings.zone,
        region=settings.region,
    )
    async with trio.open_nursery() as nursery:
        membership = Membership(own, Options(), node.random, node.now())
        runner = PeerRunner(
            membership,
            settings.listen_peers,
            settings.peer_keys,
            partial(_handle, node, nursery),
            node.may_reach,
        )
        await nursery.start(runner.run)
        node.membership = membership
        node.runner = runner
        published = publish_hosts(node, environment)
        runner.act(membership.start((), published, node.now()))
        for digest in node.value_digests.values():
            runner.act(membership.set_value(digest, node.now()))


def _handle(node: Node, nursery: trio.Nursery, action: Action) -> None:
    if isinstance(action, ValueAnnounced):
        nursery.start_soon(
            fetch_value,
            node,
            action.value.name,
            action.callers_address,
            f"peer {action.source}",
        )
    elif isinstance(action, MemberChanged):
        _note_member(node, action)
    elif isinstance(action, RegionChanged):
        node.limiter.update_members(node.member_states())
    elif isinstance(action, UpdateReceived):
        _note_news(node, action.update)
    elif isinstance(action, ValueConflict):
        node.metrics.count("configuration_conflicts_total", value=action.held.name)
    elif isinstance(action, Joined):
        node.record("joined", "membership", "", f"answered={action.answered}")
    elif isinstance(action, Superseded):
        node.record("superseded", "membership", "", str(action.incarnation))
        node.superseded.set()


def _note_member(node: Node, action: MemberChanged) -> None:
    member = action.member
    before = "" if action.previous is None else action.previous.name.lower()
    after = "leaving" if member.leaving else member.state.name.lower()
    if member.id != node.settings.host:
        node.record("member", member.id, before, after)
        node.forget_clock(member.id)
    node.limiter.update_members(node.member_states())


def _note_news(node: Node, held: HeldUpdate) -> None:
    news = held.update
    target = node.target_by_key.get(news.key)
    if news.kind is UpdateKind.TARGET_LOAD and target is not None:
        load = unpack_target_load(news, target)
        report = LoadReport(
            load.running,
            load.queued,
            load.kv_free_tokens,
            draining=node.is_target_leaving(target),
        )
        node.router.registry.apply_load_report(target, report, held.observed_at)
        node.queue.serve(node.now())
    elif news.kind is UpdateKind.QUARANTINE:
        ttl_s = max(0.0, news.ttl_s - news.age_ms / 1000)
        hear_conviction(node, unpack_quarantine(news), ttl_s)
    elif news.kind is UpdateKind.TARGET_LEAVING and target is not None:
        node.set_target_leaving(target, bool(news.word), f"peer {held.source}")
