"""
The membership protocol of one host: the entry point of this package.

Pass it authenticated messages, ticks and changes of its host, and execute
the actions that it returns. It does no I/O and reads no clock::

    membership = Membership(local_member, Options(), Random(seed), now)
    actions = membership.start(seeds, published, now)
    actions += membership.receive(message, "10.0.0.2:7400", now)
    actions += membership.tick(now)

Call ``tick`` five to ten times a second.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.updates import POLICIES, HeldUpdate, Reach
from .handlers import handle_message
from .member_states import restate_local_member
from .messages import Kind
from .model import State
from .schedule import detect_pause, run_due_tasks
from .state import NodeState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from ..gossip.updates import GossipUpdate, UpdateKind
    from ..gossip.values import ValueDigest
    from .actions import Action
    from .dissemination import HeldSummary
    from .messages import Message
    from .model import Member, PublishedHost
    from .options import Options

LEAVE_FANOUT = 6


class Membership:
    """The members of a region as one host sees them, and its gossip with them."""

    def __init__(
        self, local_member: Member, options: Options, random: Random, now: float
    ) -> None:
        self._state = NodeState(local_member, options, random, now)

    def start(
        self, seeds: Iterable[str], published: Iterable[PublishedHost], now: float
    ) -> list[Action]:
        """Start contacting peers at ``seeds`` and at the published hosts."""
        state = self._state
        state.seeds = tuple(seeds)
        self.set_published_hosts(published)
        state.dissemination.enqueue_member(state.local_member, urgent=True)
        return self.tick(now)

    def set_published_hosts(self, hosts: Iterable[PublishedHost]) -> None:
        """Set the published hosts, at which members may be reached."""
        hosts = tuple(hosts)
        state = self._state
        local_region = state.local_member.region
        state.published = {
            host.id: host for host in hosts if host.region == local_region
        }
        state.regions.set_published_hosts(hosts)

    def receive(self, message: Message, source: str, now: float) -> list[Action]:
        """Handle an authenticated message received from address ``source``."""
        if self._state.local_member.state is State.ENDED:
            return []
        detect_pause(self._state, now)
        handle_message(self._state, message, source, now)
        return self._state.take_actions()

    def tick(self, now: float) -> list[Action]:
        """Run the tasks that are due."""
        if self._state.local_member.state is State.ENDED:
            return []
        run_due_tasks(self._state, now)
        return self._state.take_actions()

    def set_value(self, value: ValueDigest, now: float) -> list[Action]:
        """
        Store ``value`` and announce it to peers at once.

        The host must hold its content. Raises ``RevisionFellError`` if a higher
        revision, or different content under the same one, is held.
        """
        state = self._state
        if state.values.put(value):
            state.dissemination.enqueue_value(value)
            state.due["gossip"] = now
            state.due["summary"] = now
        return self.tick(now)

    def publish_update(
        self, update: GossipUpdate, now: float, to: Iterable[str] = ()
    ) -> None:
        """
        Publish an update that this host observed ``update.age_ms`` milliseconds ago.

        An update of a directed kind is sent to the hosts ``to`` only; others are
        disseminated by gossip.
        """
        state = self._state
        state.updates.put(update, state.local_member.id, now)
        held = HeldUpdate(update, now - update.age_ms / 1000, state.local_member.id)
        if POLICIES[update.kind].reach is Reach.DIRECTED:
            recipients = tuple(host for host in to if host != state.local_member.id)
            state.dissemination.enqueue_directed(held, recipients)
            return
        state.dissemination.enqueue_update(held)

    def start_draining(self, now: float) -> list[Action]:
        """Announce that this host accepts no new work in this incarnation."""
        state = self._state
        if not state.local_member.leaving:
            restate_local_member(
                state, now, state.local_member.refutation + 1, leaving=True
            )
        return self.tick(now)

    def leave(self, now: float) -> list[Action]:
        """Announce that this incarnation has ended; it takes no further actions."""
        state = self._state
        if state.local_member.state is State.ENDED:
            return []
        state.local_member = replace(state.local_member, state=State.ENDED)
        state.table.put(state.local_member, now)
        excluded = (state.local_member.id,)
        for member_id in state.table.sample_live(state.random, LEAVE_FANOUT, excluded):
            message = state.compose(Kind.GOSSIP, member_id, now)
            message = replace(message, members=(state.local_member,))
            state.send(state.address_of(member_id), message)
        return state.take_actions()

    @property
    def local_member(self) -> Member:
        """The statement of this host about itself."""
        return self._state.local_member

    @property
    def joined(self) -> bool:
        """Whether a peer was synchronized with, or the join timeout has passed."""
        return self._state.joined

    def members(self) -> tuple[Member, ...]:
        """Return all known members of the local region, dead ones included."""
        return tuple(self._state.table)

    def member(self, member_id: str) -> Member | None:
        """Return the held statement about a member of the local region."""
        return self._state.table.get(member_id)

    def regions(self) -> tuple[HeldSummary, ...]:
        """Return the summaries of remote regions, with their times."""
        return self._state.regions.summaries()

    def values(self) -> tuple[ValueDigest, ...]:
        """Return the digests of the values that this host holds."""
        return tuple(self._state.values)

    def updates(self, kind: UpdateKind, now: float) -> tuple[HeldUpdate, ...]:
        """Return the updates of a kind that haven't expired."""
        return tuple(self._state.updates.all(kind, now))

    def updates_for(
        self, kind: UpdateKind, key: int, now: float
    ) -> tuple[HeldUpdate, ...]:
        """Return the updates of a kind for one key that haven't expired."""
        return self._state.updates.get(kind, key, now)

    def counters(self) -> Counter[str]:
        """Return the counts of messages by kind, drops and changes."""
        state = self._state
        counters = Counter(state.counters)
        counters["rumors_shed"] = state.dissemination.pending_updates.shed
        counters["directed_shed"] = state.dissemination.directed_shed
        counters["news_shed"] = state.updates.shed
        counters["members_shed"] = state.table.shed
        counters["members_live"] = state.region_size
        counters["senders_fresh"] = len(state.fresh)
        return counters
