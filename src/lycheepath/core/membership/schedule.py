"""
Periodic tasks: probing, gossip, synchronization and exchange of summaries.

``run_due_tasks`` is to be called five to ten times a second. A late call means that
the process was paused: missing answers are ignored, as they may not have been read,
and the local view is considered stale until a peer has been synchronized with.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .actions import PauseDetected
from .dissemination import estimate_message_bytes
from .handlers import finish_joining
from .member_states import accept, suspect
from .messages import Kind
from .model import State
from .probes import Probe, Purpose, sample
from .summaries import list_contacts, send_summary
from .synchronization import request_sync
from .table import as_dead

if TYPE_CHECKING:
    from collections.abc import Callable

    from .state import NodeState

VIEW_STALE_S = 3.0
SYNC_PEERS_AFTER_PAUSE = 2
JOIN_FANOUT = 5
SWEEP_INTERVAL_S = 5.0
VIEWS_DIFFER_S = 1.5
ALONE = 1


def run_due_tasks(state: NodeState, now: float) -> None:
    """Run all tasks that are due at ``now``."""
    detect_pause(state, now)
    _evaluate_probes(state, now)
    _expire_suspicions(state, now)
    for name, (task, interval) in TASKS.items():
        if now < state.due.get(name, 0.0):
            continue
        period = interval(state)
        state.due[name] = now + period * (0.9 + 0.2 * state.random.random())
        task(state, now)


def detect_pause(state: NodeState, now: float) -> None:
    """Detect a pause of the process by a late call."""
    gap_s = now - state.last_active
    state.last_active = now
    if gap_s < state.options.pause_threshold_s:
        return
    state.counters["pauses"] += 1
    state.probes.clear()
    state.dissemination.pending_updates.clear()
    state.view_stale_until = now + VIEW_STALE_S
    state.emit(PauseDetected(gap_s))
    for member in _sample_peers(state, SYNC_PEERS_AFTER_PAUSE):
        request_sync(state, member, now)


def _evaluate_probes(state: NodeState, now: float) -> None:
    options = state.options
    for probe in state.probes:
        if probe.answered:
            continue
        waited_s = now - probe.sent_at
        if probe.purpose is Purpose.MEMBER:
            if waited_s >= options.probe_deadline_s:
                probe.answered = True
                suspect(state, probe.member, now)
            elif waited_s >= options.probe_timeout_s * (probe.repeats + 1):
                _probe_indirectly(state, probe, now)
        elif probe.purpose is Purpose.SUMMARY and waited_s >= options.probe_deadline_s:
            probe.answered = True
            state.counters["contacts_silent"] += 1
            state.regions.record_timeout(probe.region)
        elif probe.purpose is Purpose.SYNC and waited_s >= options.probe_deadline_s:
            probe.answered = True
    state.probes.expire(now)


def _probe_indirectly(state: NodeState, probe: Probe, now: float) -> None:
    probe.repeats += 1
    state.send_ping(probe, now)
    excluded = (state.local_member.id, probe.member)
    count = state.options.indirect_probes
    for relay in state.table.sample_live(state.random, count, excluded):
        request = state.compose(Kind.PING_REQUEST, relay, now)
        state.probes.add(request.sequence, probe)
        address = state.address_of(relay)
        state.send(address, replace(request, subject=probe.member))


def _expire_suspicions(state: NodeState, now: float) -> None:
    if now < state.view_stale_until:
        return
    others = max(0, state.region_size - 2)
    for member_id in state.suspicions.due_for_check(now, others):
        state.ping(member_id, state.address_of(member_id), Purpose.CONTACT, now)
    for member_id in state.suspicions.expired(now, others):
        held = state.table.get(member_id)
        if held is None or held.state is not State.SUSPECT:
            state.suspicions.remove(member_id)
            continue
        accept(state, as_dead(held), now)


def _probe_next(state: NodeState, now: float) -> None:
    member_id = state.probes.next_member(state.table, state.local_member.id)
    if member_id is None:
        return
    state.ping(member_id, state.address_of(member_id), Purpose.MEMBER, now)


def _push_updates(state: NodeState, now: float) -> None:
    if not state.dissemination.pending_updates or now < state.view_stale_until:
        return
    for member_id in _sample_peers(state, state.options.gossip_fanout):
        if (
            not state.dissemination.pending_updates
            or state.dissemination.budget.available(now) <= 0
        ):
            return
        room = state.options.payload_bytes
        message = state.compose(Kind.GOSSIP, member_id, now, room)
        state.dissemination.budget.spend(estimate_message_bytes(message))
        state.send(state.address_of(member_id), message)


def _send_directed(state: NodeState, now: float) -> None:
    for member_id, updates in state.dissemination.take_directed(now):
        message = state.compose(Kind.GOSSIP, member_id, now)
        state.send(state.address_of(member_id), replace(message, news=updates))


def _compare_with_peer(state: NodeState, now: float) -> None:
    since = state.views_differ_since
    if since is None or now - since < VIEWS_DIFFER_S:
        return
    request_sync(state, state.differing_peer, now)


def _contact_absent(state: NodeState, now: float) -> None:
    """Probe a host that is dead here, or published but not yet a member."""
    is_live = state.table.is_live
    absent = {host for host in state.published if not is_live(host)}
    absent.update(state.table.dead_ids())
    absent.discard(state.local_member.id)
    for member_id in sample(state.random, sorted(absent), 1):
        state.ping(member_id, state.address_of(member_id), Purpose.CONTACT, now)
    if state.region_size <= ALONE:
        for address in sample(state.random, {*state.seeds, *state.hinted_contacts}, 1):
            state.ping("", address, Purpose.CONTACT, now)


def _join(state: NodeState, now: float) -> None:
    if state.joined:
        return
    if now >= state.join_deadline:
        finish_joining(state, answered=bool(state.counters["received_ack"]))
        return
    hosts = sorted(host for host in state.published if host != state.local_member.id)
    for member_id in sample(state.random, hosts, JOIN_FANOUT):
        state.ping(member_id, state.address_of(member_id), Purpose.CONTACT, now)
    for address in sample(
        state.random, {*state.seeds, *state.hinted_contacts}, JOIN_FANOUT
    ):
        state.ping("", address, Purpose.CONTACT, now)


def _exchange_summaries(state: NodeState, now: float) -> None:
    if state.local_member.id not in list_contacts(state):
        return
    for region in state.regions.names():
        contact = state.regions.pick_contact(region)
        if contact is None:
            continue
        member_id, address = contact
        probe = Probe(member_id, address, Purpose.SUMMARY, now, region=region)
        send_summary(state, probe, now)


def _sample_peers(state: NodeState, count: int) -> list[str]:
    return state.table.sample_live(state.random, count, (state.local_member.id,))


def _remove_expired(state: NodeState, now: float) -> None:
    state.updates.remove_expired(now)
    state.table.remove_dead_before(now - state.options.dead_retention_s)


Task = tuple["Callable[[NodeState, float], None]", "Callable[[NodeState], float]"]

TASKS: dict[str, Task] = {
    "join": (_join, lambda state: state.options.join_retry_s),
    "probe": (_probe_next, lambda state: state.options.probe_interval_s),
    "gossip": (_push_updates, lambda state: state.options.gossip_interval_s),
    "directed": (_send_directed, lambda state: state.options.directed_interval_s),
    "sync": (_compare_with_peer, lambda state: state.options.sync_interval_s),
    "absent": (_contact_absent, lambda state: state.options.dead_probe_interval_s),
    "summary": (_exchange_summaries, lambda state: state.options.summary_interval_s),
    "sweep": (_remove_expired, lambda state: SWEEP_INTERVAL_S),
}
