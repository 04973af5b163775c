"""
What a host does as time passes: probe, push rumors, compare, exchange.

``pass_time`` is to be called five to ten times a second. A call that comes late
is a pause of the process: nothing is concluded from answers that could not
be read, and the own view counts as old until a peer has been asked.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .actions import PauseDetected
from .beliefs import accept, suspect
from .messages import Kind
from .model import State
from .probes import Probe, Purpose, sample
from .reception import finish_joining
from .spreading import size_of_load
from .summaries import list_contacts, send_summary
from .syncing import request_sync
from .table import condemned

if TYPE_CHECKING:
    from collections.abc import Callable

    from .state import NodeState

VIEW_OLD_S = 3.0
SYNC_PEERS_AFTER_PAUSE = 2
JOIN_FANOUT = 5
NEWS_SWEEP_S = 5.0
VIEWS_SETTLE_S = 1.5
ALONE = 1


def pass_time(state: NodeState, now: float) -> None:
    """Do everything that is due at ``now``."""
    notice_pause(state, now)
    _conclude_probes(state, now)
    _pass_verdicts(state, now)
    for name, (task, interval) in TASKS.items():
        if now < state.due.get(name, 0.0):
            continue
        period = interval(state)
        state.due[name] = now + period * (0.9 + 0.2 * state.random.random())
        task(state, now)


def notice_pause(state: NodeState, now: float) -> None:
    """Take a late call as a pause of the process."""
    gap = now - state.last_active
    state.last_active = now
    if gap < state.options.pause_s:
        return
    state.counters["pauses"] += 1
    state.probes.clear()
    state.dissemination.pending_updates.clear()
    state.view_old_until = now + VIEW_OLD_S
    state.emit(PauseDetected(gap))
    for member in _peers(state, SYNC_PEERS_AFTER_PAUSE):
        request_sync(state, member, now)


def _conclude_probes(state: NodeState, now: float) -> None:
    options = state.options
    for probe in state.probes:
        if probe.answered:
            continue
        waited = now - probe.sent_at
        if probe.purpose is Purpose.MEMBER:
            if waited >= options.probe_deadline_s:
                probe.answered = True
                suspect(state, probe.member, now)
            elif waited >= options.probe_timeout_s * (probe.repeats + 1):
                _probe_indirectly(state, probe, now)
        elif probe.purpose is Purpose.SUMMARY and waited >= options.probe_deadline_s:
            probe.answered = True
            state.counters["contacts_silent"] += 1
            state.regions.note_silence(probe.region)
        elif probe.purpose is Purpose.SYNC and waited >= options.probe_deadline_s:
            probe.answered = True
    state.probes.expire(now)


def _probe_indirectly(state: NodeState, probe: Probe, now: float) -> None:
    probe.repeats += 1
    state.send_ping(probe, now)
    unfit = (state.own.id, probe.member)
    count = state.options.indirect_probes
    for helper in state.table.sample_live(state.random, count, unfit):
        request = state.compose(Kind.PING_REQUEST, helper, now)
        state.probes.add(request.sequence, probe)
        address = state.address_of(helper)
        state.send(address, replace(request, subject=probe.member))


def _pass_verdicts(state: NodeState, now: float) -> None:
    if now < state.view_old_until:
        return
    others = max(0, state.region_size - 2)
    for member_id in state.suspicions.unchecked(now, others):
        state.ping(member_id, state.address_of(member_id), Purpose.CONTACT, now)
    for member_id in state.suspicions.ripe(now, others):
        held = state.table.get(member_id)
        if held is None or held.state is not State.SUSPECT:
            state.suspicions.drop(member_id)
            continue
        accept(state, condemned(held), now)


def _probe_next(state: NodeState, now: float) -> None:
    member_id = state.probes.next_member(state.table, state.own.id)
    if member_id is None:
        return
    state.ping(member_id, state.address_of(member_id), Purpose.MEMBER, now)


def _push_rumors(state: NodeState, now: float) -> None:
    if not state.dissemination.pending_updates or now < state.view_old_until:
        return
    for member_id in _peers(state, state.options.gossip_fanout):
        if (
            not state.dissemination.pending_updates
            or state.dissemination.budget.available(now) <= 0
        ):
            return
        room = state.options.payload_bytes
        message = state.compose(Kind.GOSSIP, member_id, now, room)
        state.dissemination.budget.spend(size_of_load(message))
        state.send(state.address_of(member_id), message)


def _send_directed(state: NodeState, now: float) -> None:
    for member_id, news in state.dissemination.take_directed(now):
        message = state.compose(Kind.GOSSIP, member_id, now)
        state.send(state.address_of(member_id), replace(message, news=news))


def _compare_with_peer(state: NodeState, now: float) -> None:
    since = state.views_differ_since
    if since is None or now - since < VIEWS_SETTLE_S:
        return
    request_sync(state, state.differing_peer, now)


def _seek_absent(state: NodeState, now: float) -> None:
    """Probe a host that is dead here or that only a list names."""
    is_live = state.table.is_live
    absent = {host for host in state.published if not is_live(host)}
    absent.update(state.table.dead_ids())
    absent.discard(state.own.id)
    for member_id in sample(state.random, sorted(absent), 1):
        state.ping(member_id, state.address_of(member_id), Purpose.CONTACT, now)
    if state.region_size <= ALONE:
        for address in sample(state.random, {*state.seeds, *state.hinted}, 1):
            state.ping("", address, Purpose.CONTACT, now)


def _join(state: NodeState, now: float) -> None:
    if state.joined:
        return
    if now >= state.join_deadline:
        finish_joining(state, answered=bool(state.counters["received_ack"]))
        return
    hosts = sorted(host for host in state.published if host != state.own.id)
    for member_id in sample(state.random, hosts, JOIN_FANOUT):
        state.ping(member_id, state.address_of(member_id), Purpose.CONTACT, now)
    for address in sample(state.random, {*state.seeds, *state.hinted}, JOIN_FANOUT):
        state.ping("", address, Purpose.CONTACT, now)


def _exchange_summaries(state: NodeState, now: float) -> None:
    if state.own.id not in list_contacts(state):
        return
    for region in state.regions.names():
        contact = state.regions.pick_contact(region)
        if contact is None:
            continue
        member_id, address = contact
        probe = Probe(member_id, address, Purpose.SUMMARY, now, region=region)
        send_summary(state, probe, now)


def _peers(state: NodeState, count: int) -> list[str]:
    return state.table.sample_live(state.random, count, (state.own.id,))


def _sweep(state: NodeState, now: float) -> None:
    state.news.forget_old(now)
    state.table.forget_before(now - state.options.forget_dead_s)


Task = tuple["Callable[[NodeState, float], None]", "Callable[[NodeState], float]"]

TASKS: dict[str, Task] = {
    "join": (_join, lambda state: state.options.join_retry_s),
    "probe": (_probe_next, lambda state: state.options.probe_interval_s),
    "gossip": (_push_rumors, lambda state: state.options.gossip_interval_s),
    "directed": (_send_directed, lambda state: state.options.directed_interval_s),
    "sync": (_compare_with_peer, lambda state: state.options.sync_interval_s),
    "absent": (_seek_absent, lambda state: state.options.dead_probe_interval_s),
    "summary": (_exchange_summaries, lambda state: state.options.summary_interval_s),
    "sweep": (_sweep, lambda state: NEWS_SWEEP_S),
}
