"""
The state of one host's membership, and how it composes and sends messages.

``reception`` and ``schedule`` decide what to do; ``beliefs``, ``learning``,
``summaries`` and ``syncing`` carry it out on this state. Actions are collected
here until the host takes them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.budget import ByteBudget
from ..gossip.updates import NewsTable
from ..gossip.values import ValueTable
from .actions import (
    SendMessage,
)
from .freshness import FreshSenders
from .messages import Kind, Message
from .model import Member, State
from .probes import Probe, Probes, Purpose
from .regions import Regions
from .spreading import Spreading
from .suspicions import Suspicions
from .table import MemberTable

if TYPE_CHECKING:
    from random import Random

    from .actions import Action
    from .model import PublishedHost
    from .options import Options

SEQUENCE_BITS = 48
SERVED_BYTES_PER_S = 20_000.0
SERVED_BURST_BYTES = 200_000.0
CHALLENGES_PER_S = 50.0


class NodeState:
    """Everything that one host knows and has under way."""

    def __init__(
        self, own: Member, options: Options, random: Random, now: float
    ) -> None:
        self.own = own
        self.options = options
        self.random = random
        self.counters: Counter[str] = Counter()
        self.table = MemberTable(options.max_members)
        self.table.put(own, now)
        self.fresh = FreshSenders(random, options.max_members)
        self.probes = Probes(random)
        self.suspicions = Suspicions(options)
        self.dissemination = Spreading(options, now)
        self.regions = Regions(own.region, random)
        self.values = ValueTable()
        self.news = NewsTable()
        self.published: dict[str, PublishedHost] = {}
        self.seeds: tuple[str, ...] = ()
        self.hinted: tuple[str, ...] = ()
        self.served = ByteBudget(SERVED_BYTES_PER_S, SERVED_BURST_BYTES, now)
        self.challenges = ByteBudget(CHALLENGES_PER_S, CHALLENGES_PER_S, now)
        self.joined = False
        self.join_deadline = now + options.join_timeout_s
        self.view_old_until = 0.0
        self.views_differ_since: float | None = None
        self.differing_peer = ""
        self.last_active = now
        self.due: dict[str, float] = {}
        self._sequence = random.getrandbits(SEQUENCE_BITS) + 1
        self.offered: dict[str, tuple[int, float]] = {}
        self._actions: list[Action] = []

    @property
    def sequence(self) -> int:
        """The sequence of the message sent last."""
        return self._sequence

    @property
    def region_size(self) -> int:
        """The number of live members of the own region."""
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
        """Return a message to ``to`` with rumors in up to ``room`` bytes."""
        self._sequence += 1
        message = Message(
            kind=kind,
            sender=self.own.id,
            incarnation=self.own.incarnation,
            sequence=self._sequence,
            region=self.own.region,
            to=to,
        )
        if room <= 0 or now < self.view_old_until:
            return message
        load = self.dissemination.take_load(room, self.region_size, now)
        return replace(
            message,
            members=load.members,
            values=load.values,
            news=load.news,
            summaries=load.summaries,
        )

    def send(self, address: str, message: Message) -> None:
        """Send ``message``; an unknown address is counted and passed over."""
        if not address:
            self.counters["send_without_address"] += 1
            return
        self.counters[f"sent_{message.kind.name.lower()}"] += 1
        self.emit(SendMessage(address, message))

    def address_of(self, member_id: str) -> str:
        """Return where ``member_id`` takes datagrams, or an empty text."""
        member = self.table.get(member_id)
        if member is not None and member.peers_address:
            return member.peers_address
        published = self.published.get(member_id) or self.regions.host(member_id)
        return published.peers_address if published else ""

    def ping(
        self,
        member_id: str,
        address: str,
        purpose: Purpose,
        now: float,
        cookie: int = 0,
    ) -> Probe:
        """Probe a member, or whoever listens at ``address`` if the id is empty."""
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
        """Return the bytes of rumors that a probe may carry."""
        return (
            self.options.piggyback_bytes
            if self.dissemination.budget.available(now) > 0
            else 0
        )

    def with_statements(
        self, receiver: str, members: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        """Put the own statement, and a doubt about the receiver, before others."""
        held = self.table.get(receiver)
        first = [self.own]
        if (
            held is not None
            and held.state is not State.ALIVE
            and receiver != self.own.id
        ):
            first.append(held)
        known = {member.id for member in first}
        return (*first, *(member for member in members if member.id not in known))

    def send_values(self, member_id: str, address: str, now: float) -> None:
        """Tell a member which values this host holds."""
        message = self.compose(Kind.GOSSIP, member_id, now)
        self.send(address, replace(message, values=tuple(self.values)))

    def callers_address_of(self, member_id: str) -> str:
        member = self.table.get(member_id)
        if member is not None and member.callers_address:
            return member.callers_address
        published = self.published.get(member_id) or self.regions.host(member_id)
        return published.callers_address if published else ""
