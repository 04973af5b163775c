"""
What this host believes of others, and what it answers to beliefs about itself.

Statements are merged by their order; verdicts on members that seem alive are
taken as accusations first. Each change is spread and told to the host.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .actions import MemberChanged, Superseded
from .model import Member, State, supersedes
from .table import suspected

if TYPE_CHECKING:
    from .state import NodeState


def merge(state: NodeState, member: Member, source: str, now: float) -> None:
    """Take a statement about another host of the own region."""
    held = state.table.get(member.id)
    if held is None:
        if member.live and member.peers_address:
            accept(state, member, now)
        return
    if not supersedes(member, held):
        _note_agreement(state, member, held, now)
        return
    member = _fill_addresses(member, held)
    if _must_verify(member, held):
        state.counters["verdicts_doubted"] += 1
        member = suspected(held, member.accuser or source)
        if not supersedes(member, held):
            return
    accept(state, member, now)


def accept(state: NodeState, member: Member, now: float) -> None:
    """Believe ``member``, spread it and tell the host what changed."""
    held = state.table.get(member.id)
    state.table.put(member, now)
    state.dissemination.tell_member(member, urgent=_is_urgent(member))
    if member.state is State.SUSPECT:
        state.suspicions.add(member.id, member.accuser, now)
    else:
        state.suspicions.drop(member.id)
    _report_change(state, member, held, now)


def suspect(state: NodeState, member_id: str, now: float) -> None:
    """Accuse a member that didn't answer."""
    held = state.table.get(member_id)
    if held is None or not held.live:
        return
    if held.state is State.SUSPECT:
        if state.suspicions.add(member_id, state.own.id, now):
            state.dissemination.tell_member(suspected(held, state.own.id))
        return
    state.counters["suspected"] += 1
    accept(state, suspected(held, state.own.id), now)


def restate_own(state: NodeState, now: float, refutation: int, leaving: bool) -> None:
    """Contradict others, or change what the host says of itstate."""
    state.own = replace(state.own, refutation=refutation, leaving=leaving)
    state.table.put(state.own, now)
    state.dissemination.tell_member(state.own, urgent=True)
    state.due["gossip"] = now


def hear_about_self(state: NodeState, member: Member, now: float) -> None:
    """Take what others say of this host."""
    own = state.own
    if member.incarnation > own.incarnation:
        _meet_later_self(state, member, now)
        return
    if member.incarnation < own.incarnation or own.state is State.ENDED:
        return
    doubted = member.state is not State.ALIVE and member.refutation >= own.refutation
    if doubted or member.refutation > own.refutation:
        state.counters["refuted"] += 1
        restate_own(state, now, member.refutation + 1, own.leaving)


def _note_agreement(state: NodeState, member: Member, held: Member, now: float) -> None:
    if member.state is not State.SUSPECT or held.state is not State.SUSPECT:
        return
    if member.incarnation != held.incarnation:
        return
    if member.refutation != held.refutation or not member.accuser:
        return
    if state.suspicions.add(member.id, member.accuser, now):
        state.dissemination.tell_member(suspected(held, member.accuser))


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


def _meet_later_self(state: NodeState, member: Member, now: float) -> None:
    if state.joined:
        state.counters["superseded"] += 1
        state.emit(Superseded(member.incarnation))
        return
    state.counters["incarnation_raised"] += 1
    raised = member.incarnation + 1 + state.random.getrandbits(16)
    state.own = replace(state.own, incarnation=raised, refutation=0)
    state.table.put(state.own, now)
    state.dissemination.tell_member(state.own, urgent=True)


def _is_urgent(member: Member) -> bool:
    contradicts = member.state is State.ALIVE and member.refutation > 0
    return contradicts or member.state is State.ENDED


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
