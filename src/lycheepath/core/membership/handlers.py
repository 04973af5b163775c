"""
Handles authenticated messages.

A message has to be fresh and addressed to this host. Its contents are applied first,
then it is answered according to its kind.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .actions import Joined
from .member_states import apply_statement_about_self, merge, suspect
from .messages import Kind
from .model import State
from .probes import Probe, Purpose
from .replication import apply_summary, apply_update, apply_value_digest
from .summaries import compose_summary, send_summary
from .synchronization import request_sync, send_sync_request, serve_sync

if TYPE_CHECKING:
    from collections.abc import Callable

    from .messages import Message, RegionSummary
    from .model import Member
    from .state import NodeState

MAX_INCARNATION = 2**63
MAX_REFUTATION = 2**31
MAX_CHALLENGE_ECHO_LAG = 100_000


def handle_message(state: NodeState, message: Message, source: str, now: float) -> None:
    """Handle one authenticated message received from the address ``source``."""
    state.counters[f"received_{message.kind.name.lower()}"] += 1
    if message.sender == state.local_member.id:
        state.counters["dropped_from_self"] += 1
        return
    if message.kind is Kind.CHALLENGE:
        _answer_challenge(state, message, source, now)
        return
    if not _is_fresh(state, message, source, now):
        return
    if message.to not in ("", state.local_member.id):
        _answer_not_me(state, message, source, now)
        return
    _apply_contents(state, message, now)
    HANDLERS[message.kind](state, message, source, now)


def _is_fresh(state: NodeState, message: Message, source: str, now: float) -> bool:
    window = state.fresh.window(message.sender)
    if window is not None and window.incarnation == message.incarnation:
        if window.accept(message.sequence):
            return True
        state.counters["dropped_replayed"] += 1
        return False
    if window is not None and message.incarnation < window.incarnation:
        state.counters["dropped_old_incarnation"] += 1
        _ping_old_incarnation(state, message, source, now)
        return False
    if _proves_freshness(state, message, now):
        state.fresh.open(message.sender, message.incarnation, message.sequence)
        return True
    state.counters["dropped_unproven"] += 1
    _challenge(state, message, source, now)
    return False


def _proves_freshness(state: NodeState, message: Message, now: float) -> bool:
    if state.fresh.check_cookie(
        message.sender, message.incarnation, message.cookie, now
    ):
        return True
    probe = state.probes.get(message.echo)
    if probe is None:
        return False
    return probe.member in ("", message.sender) or message.kind is Kind.NOT_ME


def _challenge(state: NodeState, message: Message, source: str, now: float) -> None:
    if state.challenge_budget.available(now) < 1:
        state.counters["challenges_withheld"] += 1
        return
    state.challenge_budget.spend(1)
    answer = state.compose(Kind.CHALLENGE, message.sender, now)
    cookie = state.fresh.make_cookie(message.sender, message.incarnation, now)
    state.send(source, replace(answer, echo=message.sequence, cookie=cookie))


def _answer_challenge(
    state: NodeState, message: Message, source: str, now: float
) -> None:
    is_expected = 0 <= state.sequence - message.echo < MAX_CHALLENGE_ECHO_LAG
    if (
        message.to != state.local_member.id
        or not is_expected
        or state.challenge_budget.available(now) < 1
    ):
        state.counters["dropped_challenge"] += 1
        return
    state.challenge_budget.spend(1)
    probe = state.probes.get(message.echo)
    if probe is not None:
        probe.member = probe.member or message.sender
        _repeat(state, probe, message.cookie, now)
        return
    address = state.address_of(message.sender) or source
    state.ping(message.sender, address, Purpose.CONTACT, now, cookie=message.cookie)


def _repeat(state: NodeState, probe: Probe, cookie: int, now: float) -> None:
    if probe.purpose is Purpose.SYNC:
        send_sync_request(state, probe, now, cookie)
    elif probe.purpose is Purpose.SUMMARY:
        send_summary(state, probe, now, cookie)
    else:
        state.send_ping(probe, now, cookie)


def _ping_old_incarnation(
    state: NodeState, message: Message, source: str, now: float
) -> None:
    if state.challenge_budget.available(now) < 1:
        return
    state.challenge_budget.spend(1)
    state.ping(message.sender, source, Purpose.CONTACT, now)


def _answer_not_me(state: NodeState, message: Message, source: str, now: float) -> None:
    state.counters["dropped_misaddressed"] += 1
    if message.kind is not Kind.PING:
        return
    answer = state.compose(Kind.NOT_ME, message.sender, now)
    members = state.with_statements(message.sender, ())
    state.send(source, replace(answer, echo=message.sequence, members=members))


def _apply_contents(state: NodeState, message: Message, now: float) -> None:
    for member in message.members:
        _apply_member(state, message, member, now)
    for value in message.values:
        apply_value_digest(state, value, message.sender, now)
    if now < state.view_stale_until:
        state.counters["dropped_while_view_old"] += len(message.news)
        return
    for update in message.news:
        apply_update(state, update, message.sender, now)
    for summary in message.summaries:
        apply_summary(state, summary, now)


def _apply_member(
    state: NodeState, message: Message, member: Member, now: float
) -> None:
    if member.incarnation > MAX_INCARNATION or member.refutation > MAX_REFUTATION:
        state.counters["dropped_implausible"] += 1
        return
    if member.id == state.local_member.id:
        apply_statement_about_self(state, member, now)
        return
    if (member.region or message.region) != state.local_member.region:
        return
    merge(state, member, message.sender, now)


def _handle_ping(state: NodeState, message: Message, source: str, now: float) -> None:
    address = _answer_address(state, message, source)
    answer = state.compose(Kind.ACK, message.sender, now, state.piggyback_room(now))
    values = answer.values
    if message.values_hash != state.values.hash:
        values = tuple(state.values)
    answer = replace(
        answer,
        echo=message.sequence,
        values=values,
        members=state.with_statements(message.sender, answer.members),
        summaries=_summary_for_sender(state, message) + answer.summaries,
        view_hash=state.table.view_hash,
        values_hash=state.values.hash,
    )
    state.send(address, answer)
    _compare_views(state, message, now)


def _handle_ack(state: NodeState, message: Message, source: str, now: float) -> None:
    probe = state.probes.get(message.echo)
    if probe is None:
        state.counters["late_answers"] += 1
        return
    probe.answered = True
    if probe.relay_to:
        _relay_ack(state, probe, now)
    if message.values_hash != state.values.hash and _has_newer_values(state, message):
        state.send_values(message.sender, probe.address, now)
    _compare_views(state, message, now)
    if not state.joined and message.region == state.local_member.region:
        _join_via(state, message.sender, now)


def _handle_ping_request(
    state: NodeState, message: Message, source: str, now: float
) -> None:
    address = state.address_of(message.subject)
    if not address:
        return
    probe = Probe(message.subject, address, Purpose.RELAY, now)
    probe.relay_to = message.sender
    probe.relay_echo = message.sequence
    state.send_ping(probe, now)


def _relay_ack(state: NodeState, probe: Probe, now: float) -> None:
    answer = state.compose(Kind.RELAYED_ACK, probe.relay_to, now)
    answer = replace(answer, echo=probe.relay_echo, subject=probe.member)
    state.send(state.address_of(probe.relay_to), answer)


def _handle_relayed_ack(
    state: NodeState, message: Message, source: str, now: float
) -> None:
    probe = state.probes.get(message.echo)
    if probe is None or probe.member != message.subject:
        state.counters["late_answers"] += 1
        return
    state.counters["reached_indirectly"] += not probe.answered
    probe.answered = True


def _handle_not_me(state: NodeState, message: Message, source: str, now: float) -> None:
    probe = state.probes.get(message.echo)
    if probe is None:
        return
    state.counters["address_reused"] += 1
    probe.answered = True
    if probe.purpose is Purpose.MEMBER:
        suspect(state, probe.member, now)


def _handle_gossip(state: NodeState, message: Message, source: str, now: float) -> None:
    held = state.table.get(message.sender)
    if held is not None and not held.live:
        state.ping(message.sender, held.peers_address, Purpose.CONTACT, now)


def _handle_sync(state: NodeState, message: Message, source: str, now: float) -> None:
    probe = state.probes.get(message.echo)
    if probe is None or not message.last:
        return
    probe.answered = True
    state.view_stale_until = 0.0
    _compare_views(state, message, now)
    finish_joining(state, answered=True)


def _handle_summary(
    state: NodeState, message: Message, source: str, now: float
) -> None:
    answer = compose_summary(state, Kind.SUMMARY_ACK, message.sender, now)
    address = state.address_of(message.sender) or source
    state.send(address, replace(answer, echo=message.sequence))


def _handle_summary_ack(
    state: NodeState, message: Message, source: str, now: float
) -> None:
    probe = state.probes.get(message.echo)
    if probe is not None:
        probe.answered = True
        state.regions.record_answer(message.region)


def _handle_sync_request(
    state: NodeState, message: Message, source: str, now: float
) -> None:
    serve_sync(state, message, _answer_address(state, message, source), now)


def _ignore(state: NodeState, message: Message, source: str, now: float) -> None:
    return


def finish_joining(state: NodeState, answered: bool) -> None:
    """Report to the host that its incarnation is final."""
    if state.joined:
        return
    state.joined = True
    state.emit(Joined(state.local_member.incarnation, answered))


def _join_via(state: NodeState, member_id: str, now: float) -> None:
    for probe in state.probes:
        if probe.purpose is Purpose.SYNC and not probe.answered:
            return
    request_sync(state, member_id, now)


def _summary_for_sender(
    state: NodeState, message: Message
) -> tuple[RegionSummary, ...]:
    held = state.regions.get(message.region)
    return (held.summary,) if held is not None else ()


def _compare_views(state: NodeState, message: Message, now: float) -> None:
    if (
        message.region != state.local_member.region
        or message.view_hash == state.table.view_hash
    ):
        state.views_differ_since = None
        return
    state.differing_peer = message.sender
    if state.views_differ_since is None:
        state.views_differ_since = now


def _has_newer_values(state: NodeState, message: Message) -> bool:
    remote_revisions = {value.name: value.revision for value in message.values}
    return any(
        value.revision > remote_revisions.get(value.name, 0) for value in state.values
    )


def _answer_address(state: NodeState, message: Message, source: str) -> str:
    held = state.table.get(message.sender)
    if held is not None and held.state is not State.ENDED and held.peers_address:
        return held.peers_address
    return source


HANDLERS: dict[Kind, Callable[[NodeState, Message, str, float], None]] = {
    Kind.PING: _handle_ping,
    Kind.ACK: _handle_ack,
    Kind.PING_REQUEST: _handle_ping_request,
    Kind.RELAYED_ACK: _handle_relayed_ack,
    Kind.CHALLENGE: _ignore,
    Kind.GOSSIP: _handle_gossip,
    Kind.SYNC_REQUEST: _handle_sync_request,
    Kind.SYNC: _handle_sync,
    Kind.SUMMARY: _handle_summary,
    Kind.SUMMARY_ACK: _handle_summary_ack,
    Kind.NOT_ME: _handle_not_me,
}
