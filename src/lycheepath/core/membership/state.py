"""
The protocol state of one host, and how it composes and sends messages.

``handlers`` handles messages and ``schedule`` runs periodic tasks; ``member_states``,
``replication``, ``summaries`` and ``synchronization`` implement them on this state.
Actions are collected here until the host takes them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.budget import ByteBudget
from ..gossip.updates import UpdateTable
from ..gossip.values import ValueTable
from .actions import (
    SendMessage,
)
from .dissemination import Disseminator
from .freshness import FreshSenders
from .messages import Kind, Message
from .model import Member, State
from .probes import Probe, Probes, Purpose
from .regions import Regions
from .suspicions import Suspicions
from .table import MemberTable

if TYPE_CHECKING:
    from random import Random

    from .actions import Action
    from .model import PublishedHost
    from .options import Options

SEQUENCE_BITS = 48
SYNC_BYTES_PER_S = 20_000.0
SYNC_BURST_BYTES = 200_000.0
CHALLENGES_PER_S = 50.0


class NodeState:
    """What one host knows of its peers, and its pending probes and actions."""

    def __init__(
        self, local_member: Member, options: Options, random: Random, now: float
    ) -> None:
        self.local_member = local_member
        self.options = options
        self.random = random
        self.counters: Counter[str] = Counter()
        self.table = MemberTable(options.max_members)
        self.table.put(local_member, now)
        self.fresh = FreshSenders(random, options.max_members)
        self.probes = Probes(random)
        self.suspicions = Suspicions(options)
        self.dissemination = Disseminator(options, now)
        self.regions = Regions(local_member.region, random)
        self.values = ValueTable()
        self.updates = UpdateTable()
        self.published: dict[str, PublishedHost] = {}
        self.seeds: tuple[str, ...] = ()
        self.hinted_contacts: tuple[str, ...] = ()
        self.sync_budget = ByteBudget(SYNC_BYTES_PER_S, SYNC_BURST_BYTES, now)
        self.challenge_budget = ByteBudget(CHALLENGES_PER_S, CHALLENGES_PER_S, now)
        self.joined = False
        self.join_deadline = now + options.join_timeout_s
        self.view_stale_until = 0.0
        self.views_differ_since: float | None = None
        self.differing_peer = ""
        self.last_active = now
        self.due: dict[str, float] = {}
        self._sequence = random.getrandbits(SEQUENCE_BITS) + 1
        self.announced_revisions: dict[str, tuple[int, float]] = {}
        self._actions: list[Action] = []

    @property
    def sequence(self) -> int:
        """The sequence of the last message composed."""
        return self._sequence

    @property
    def region_size(self) -> int:
        """The number of live members of the local region."""
        return self.table.live_count

    def take_actions(self) -> list[Action]:
        """Return the actions collected since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def emit(self, action: Action) -> None:
        """Collect an action."""
        self._actions.append(action)

    def compose(self, kind: Kind, to: str, now: float, room: int = 0) -> Message:
        """Return a message to ``to`` with up to ``room`` bytes of updates."""
        self._sequence += 1
        message = Message(
            kind=kind,
            sender=self.local_member.id,
            incarnation=self.local_member.incarnation,
            sequence=self._sequence,
            region=self.local_member.region,
            to=to,
        )
        if room <= 0 or now < self.view_stale_until:
            return message
        payload = self.dissemination.take_payload(room, self.region_size, now)
        return replace(
            message,
            members=payload.members,
            values=payload.values,
            news=payload.updates,
            summaries=payload.summaries,
        )

    def send(self, address: str, message: Message) -> None:
        """Send ``message``; if ``address`` is empty, only count that."""
        if not address:
            self.counters["send_without_address"] += 1
            return
        self.counters[f"sent_{message.kind.name.lower()}"] += 1
        self.emit(SendMessage(address, message))

    def address_of(self, member_id: str) -> str:
        """Return the peers' address of ``member_id``; empty if it is unknown."""
        member = self.table.get(member_id)
        if member is not None and member.peers_address:
            return member.peers_address
        published = self.published.get(member_id) or self.regions.published_host(
            member_id
        )
        return published.peers_address if published else ""

    def ping(
        self,
        member_id: str,
        address: str,
        purpose: Purpose,
        now: float,
        cookie: int = 0,
    ) -> Probe:
        """Probe a member, or any host at ``address`` if the id is empty."""
        probe = Probe(member_id, address, purpose, now)
        self.send_ping(probe, now, cookie)
        return probe

    def send_ping(self, probe: Probe, now: float, cookie: int = 0) -> None:
        """Send one more message for ``probe``."""
        message = self.compose(Kind.PING, probe.member, now, self.piggyback_room(now))
        message = replace(
            message,
            cookie=cookie,
            members=self.with_statements(probe.member, message.members),
            view_hash=self.table.view_hash,
            values_hash=self.values.hash,
        )
        self.probes.add(message.sequence, probe)
        self.send(probe.address, message)

    def piggyback_room(self, now: float) -> int:
        """Return how many bytes of updates a probe may carry."""
        return (
            self.options.piggyback_bytes
            if self.dissemination.budget.available(now) > 0
            else 0
        )

    def with_statements(
        self, receiver: str, members: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        """
        Prepend this host's statement about itself to ``members``.

        If the receiver isn't alive here, the statement about it comes next, so that it
        can refute it.
        """
        held = self.table.get(receiver)
        first = [self.local_member]
        if (
            held is not None
            and held.state is not State.ALIVE
            and receiver != self.local_member.id
        ):
            first.append(held)
        known = {member.id for member in first}
        return (*first, *(member for member in members if member.id not in known))

    def send_values(self, member_id: str, address: str, now: float) -> None:
        """Send a member the digests of the values that this host holds."""
        message = self.compose(Kind.GOSSIP, member_id, now)
        self.send(address, replace(message, values=tuple(self.values)))

    def callers_address_of(self, member_id: str) -> str:
        member = self.table.get(member_id)
        if member is not None and member.callers_address:
            return member.callers_address
        published = self.published.get(member_id) or self.regions.published_host(
            member_id
        )
        return published.callers_address if published else ""
