"""
Comparing whole views: what one host's view holds beyond another's.

A request names hashes of the parts of a view; the answer brings the members of
the parts that differ, in pages, and the values and the lasting news.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.updates import UpdateKind
from .messages import Kind
from .probes import Probe, Purpose
from .spreading import NEWS_BYTES, age_news, size_of
from .table import bucket_of

if TYPE_CHECKING:
    from .messages import Message
    from .model import Member
    from .state import NodeState

LAST_PAGE_BYTES = 200


def request_sync(state: NodeState, member_id: str, now: float) -> None:
    """Ask a member for what its view holds beyond the own one."""
    probe = Probe(member_id, state.address_of(member_id), Purpose.SYNC, now)
    send_sync_request(state, probe, now)


def send_sync_request(
    state: NodeState, probe: Probe, now: float, cookie: int = 0
) -> None:
    """Send one more request for ``probe``."""
    member_id = probe.member
    message = state.compose(Kind.SYNC_REQUEST, member_id, now)
    message = replace(
        message,
        cookie=cookie,
        members=state.with_statements(member_id, ()),
        bucket_hashes=tuple(state.table.bucket_hashes),
        values_hash=state.values.hash,
    )
    state.probes.add(message.sequence, probe)
    state.send(probe.address, message)


def split_pages(state: NodeState, members: list[Member]) -> list[tuple[Member, ...]]:
    """Split ``members`` into what fits in one message each."""
    pages: list[tuple[Member, ...]] = []
    page: list[Member] = []
    room = state.options.payload_bytes
    for member in members:
        if size_of(member) > room:
            pages.append(tuple(page))
            page = []
            room = state.options.payload_bytes
        page.append(member)
        room -= size_of(member)
    pages.append(tuple(page))
    return pages


def serve_sync(state: NodeState, message: Message, address: str, now: float) -> None:
    """Answer a request, unless too much was served or the own view is old."""
    if state.served.available(now) <= 0 or now < state.view_old_until:
        state.counters["syncs_refused"] += 1
        return
    pages = split_pages(state, _members_to_serve(state, message))
    for number, page in enumerate(pages):
        last = number == len(pages) - 1
        answer = state.compose(Kind.SYNC, message.sender, now)
        answer = replace(answer, echo=message.sequence, members=page, last=last)
        if last:
            answer = replace(
                answer,
                values=tuple(state.values),
                values_hash=state.values.hash,
                view_hash=state.table.view_hash,
            )
        state.served.spend(state.options.payload_bytes if not last else LAST_PAGE_BYTES)
        state.send(address, answer)
    _serve_news(state, message, address, now)


def _serve_news(state: NodeState, message: Message, address: str, now: float) -> None:
    kinds = (UpdateKind.QUARANTINE, UpdateKind.TARGET_LEAVING, UpdateKind.REGION_LOAD)
    items = [
        age_news(held, now) for kind in kinds for held in state.news.all(kind, now)
    ]
    size = state.options.payload_bytes // NEWS_BYTES
    if state.served.available(now) <= 0:
        return
    for start in range(0, len(items), size):
        page = tuple(items[start : start + size])
        answer = state.compose(Kind.SYNC, message.sender, now)
        state.served.spend(NEWS_BYTES * len(page))
        state.send(address, replace(answer, echo=message.sequence, news=page))


def _members_to_serve(state: NodeState, message: Message) -> list[Member]:
    own = state.table.bucket_hashes
    theirs = message.bucket_hashes
    if len(theirs) != len(own):
        return list(state.table)
    return [
        member
        for member in state.table
        if own[bucket_of(member.id)] != theirs[bucket_of(member.id)]
    ]
