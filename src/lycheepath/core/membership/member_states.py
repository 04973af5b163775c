"""
Applies statements about members, and refutes those about this host.

Statements are merged by their order. A statement that a member is dead is treated
as an accusation first if the member is alive here. Each change is disseminated
and reported to the host.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .actions import MemberChanged, Superseded
from .model import Member, State, supersedes
from .table import as_suspect

if TYPE_CHECKING:
    from .state import NodeState


def merge(state: NodeState, member: Member, source: str, now: float) -> None:
    """Merge a statement about another host of the local region."""
    held = state.table.get(member.id)
    if held is None:
        if member.live and member.peers_address:
            accept(state, member, now)
        return
    if not supersedes(member, held):
        _add_accuser(state, member, held, now)
        return
    member = _fill_addresses(member, held)
    if _must_verify(member, held):
        state.counters["verdicts_doubted"] += 1
        member = as_suspect(held, member.accuser or source)
        if not supersedes(member, held):
            return
    accept(state, member, now)


def accept(state: NodeState, member: Member, now: float) -> None:
    """Store ``member``, disseminate it and report what changed to the host."""
    held = state.table.get(member.id)
    state.table.put(member, now)
    state.dissemination.enqueue_member(member, urgent=_is_urgent(member))
    if member.state is State.SUSPECT:
        state.suspicions.add(member.id, member.accuser, now)
    else:
        state.suspicions.remove(member.id)
    _report_change(state, member, held, now)


def suspect(state: NodeState, member_id: str, now: float) -> None:
    """Suspect a member that didn't answer."""
    held = state.table.get(member_id)
    if held is None or not held.live:
        return
    if held.state is State.SUSPECT:
        if state.suspicions.add(member_id, state.local_member.id, now):
            state.dissemination.enqueue_member(as_suspect(held, state.local_member.id))
        return
    state.counters["suspected"] += 1
    accept(state, as_suspect(held, state.local_member.id), now)


def restate_local_member(
    state: NodeState, now: float, refutation: int, leaving: bool
) -> None:
    """Refute others, or change what this host announces about itself."""
    state.local_member = replace(
        state.local_member, refutation=refutation, leaving=leaving
    )
    state.table.put(state.local_member, now)
    state.dissemination.enqueue_member(state.local_member, urgent=True)
    state.due["gossip"] = now


def apply_statement_about_self(state: NodeState, member: Member, now: float) -> None:
    """Apply a statement of others about this host; refute it if it is wrong."""
    local = state.local_member
    if member.incarnation > local.incarnation:
        _handle_later_incarnation(state, member, now)
        return
    if member.incarnation < local.incarnation or local.state is State.ENDED:
        return
    contradicted = (
        member.state is not State.ALIVE and member.refutation >= local.refutation
    )
    if contradicted or member.refutation > local.refutation:
        state.counters["refuted"] += 1
        restate_local_member(state, now, member.refutation + 1, local.leaving)


def _add_accuser(state: NodeState, member: Member, held: Member, now: float) -> None:
    if member.state is not State.SUSPECT or held.state is not State.SUSPECT:
        return
    if member.incarnation != held.incarnation:
        return
    if member.refutation != held.refutation or not member.accuser:
        return
    if state.suspicions.add(member.id, member.accuser, now):
        state.dissemination.enqueue_member(as_suspect(held, member.accuser))


def _report_change(
    state: NodeState, member: Member, held: Member | None, now: float
) -> None:
    previous = held.state if held is not None else None
    if held is not None and not held.live and member.live:
        state.counters["returned"] += 1
        state.due["sync"] = min(state.due.get("sync", now), now + 1.0)
    if held is not None and replace(member, refutation=0, accuser="") == replace(
        held, refutation=0, accuser=""
    ):
        return
    state.counters[f"became_{member.state.name.lower()}"] += 1
    state.emit(MemberChanged(member, previous))


def _handle_later_incarnation(state: NodeState, member: Member, now: float) -> None:
    if state.joined:
        state.counters["superseded"] += 1
        state.emit(Superseded(member.incarnation))
        return
    state.counters["incarnation_raised"] += 1
    raised = member.incarnation + 1 + state.random.getrandbits(16)
    state.local_member = replace(state.local_member, incarnation=raised, refutation=0)
    state.table.put(state.local_member, now)
    state.dissemination.enqueue_member(state.local_member, urgent=True)


def _is_urgent(member: Member) -> bool:
    is_refutation = member.state is State.ALIVE and member.refutation > 0
    return is_refutation or member.state is State.ENDED


def _must_verify(member: Member, held: Member) -> bool:
    if member.state is not State.DEAD or held.state is not State.ALIVE:
        return False
    return member.incarnation == held.incarnation


def _fill_addresses(member: Member, held: Member) -> Member:
    if member.peers_address:
        return member
    return replace(
        member,
        peers_address=held.peers_address,
        callers_address=held.callers_address,
        zone=held.zone,
        region=held.region,
    )
