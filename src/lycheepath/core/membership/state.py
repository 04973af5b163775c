"""
The state of one host's membership and the steps that change it.

``reception`` and ``schedule`` decide what to do; the steps here carry it out:
they merge statements, compose messages and collect the actions.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ..gossip.budget import ByteBudget
from ..gossip.news import POLICIES, NewsTable, Reach
from ..gossip.values import ValueTable
from .actions import (
    MemberChanged,
    NewsLearned,
    RegionChanged,
    SendMessage,
    Superseded,
    ValueConflict,
    ValueLearned,
)
from .freshness import FreshSenders
from .messages import Kind, Message, RegionSummary
from .model import Member, State, supersedes
from .probes import Probe, Probes, Purpose
from .regions import Regions
from .rendezvous import CONTACTS_PER_REGION, rank_hosts
from .spreading import Spreading, age_summary, size_of
from .suspicions import Suspicions
from .table import MemberTable, suspected

if TYPE_CHECKING:
    from random import Random

    from ..gossip.news import News
    from ..gossip.values import ValueDigest
    from .actions import Action
    from .model import PublishedHost
    from .options import Options

SEQUENCE_BITS = 48
SERVED_BYTES_PER_S = 20_000.0
SERVED_BURST_BYTES = 200_000.0
CHALLENGES_PER_S = 50.0
OFFER_AGAIN_S = 0.5
MAX_NAMES = 64


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
        self.spreading = Spreading(options, now)
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
        self.last_active = now
        self.due: dict[str, float] = {}
        self._sequence = random.getrandbits(SEQUENCE_BITS) + 1
        self._offered: dict[str, tuple[int, float]] = {}
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
        load = self.spreading.take_load(room, self.region_size, now)
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
            if self.spreading.budget.available(now) > 0
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

    def merge(self, member: Member, source: str, now: float) -> None:
        """Take a statement about another host of the own region."""
        held = self.table.get(member.id)
        if held is None:
            if member.live and member.peers_address:
                self.accept(member, now)
            return
        if not supersedes(member, held):
            self._note_agreement(member, held, now)
            return
        member = _fill_addresses(member, held)
        if _must_verify(member, held):
            self.counters["verdicts_doubted"] += 1
            member = suspected(held, member.accuser or source)
            if not supersedes(member, held):
                return
        self.accept(member, now)

    def accept(self, member: Member, now: float) -> None:
        """Believe ``member``, spread it and tell the host what changed."""
        held = self.table.get(member.id)
        self.table.put(member, now)
        self.spreading.tell_member(member, urgent=_is_urgent(member))
        if member.state is State.SUSPECT:
            self.suspicions.add(member.id, member.accuser, now)
        else:
            self.suspicions.drop(member.id)
        self._report_change(member, held, now)

    def suspect(self, member_id: str, now: float) -> None:
        """Accuse a member that didn't answer."""
        held = self.table.get(member_id)
        if held is None or not held.live:
            return
        if held.state is State.SUSPECT:
            if self.suspicions.add(member_id, self.own.id, now):
                self.spreading.tell_member(suspected(held, self.own.id))
            return
        self.counters["suspected"] += 1
        self.accept(suspected(held, self.own.id), now)

    def restate_own(self, now: float, refutation: int, leaving: bool) -> None:
        """Contradict others, or change what the host says of itself."""
        self.own = replace(self.own, refutation=refutation, leaving=leaving)
        self.table.put(self.own, now)
        self.spreading.tell_member(self.own, urgent=True)
        self.due["gossip"] = now

    def hear_about_self(self, member: Member, now: float) -> None:
        """Take what others say of this host."""
        own = self.own
        if member.incarnation > own.incarnation:
            self._meet_later_self(member, now)
            return
        if member.incarnation < own.incarnation or own.state is State.ENDED:
            return
        doubted = (
            member.state is not State.ALIVE and member.refutation >= own.refutation
        )
        if doubted or member.refutation > own.refutation:
            self.counters["refuted"] += 1
            self.restate_own(now, member.refutation + 1, own.leaving)

    def learn_value(self, value: ValueDigest, source: str, now: float) -> None:
        """Take a peer's word that it holds ``value``."""
        held = self.values.get(value.name)
        if held is not None and value.revision == held.revision:
            if value.digest != held.digest:
                self.counters["value_conflicts"] += 1
                self.emit(ValueConflict(held, value, source))
            return
        if held is not None and value.revision < held.revision:
            return
        revision, at = self._offered.get(value.name, (0, 0.0))
        if revision > value.revision:
            return
        if revision == value.revision and now - at < OFFER_AGAIN_S:
            return
        if value.name not in self._offered and len(self._offered) >= MAX_NAMES:
            return
        self._offered[value.name] = (value.revision, now)
        self.emit(ValueLearned(value, source, self._callers_address_of(source)))

    def learn_news(self, news: News, source: str, now: float) -> None:
        """Take an item that a peer sent."""
        held = self.news.put(news, source, now)
        if held is None:
            return
        self.emit(NewsLearned(held))
        if POLICIES[news.kind].reach is not Reach.DIRECTED:
            self.spreading.tell_news(held)

    def learn_summary(self, summary: RegionSummary, now: float) -> None:
        """Take what is said of a region; of the own one, just whom to ask."""
        if summary.region == self.own.region:
            self.hinted = summary.contacts
            return
        known = self.regions.get(summary.region)
        held = self.regions.put(summary, now)
        if held is None:
            return
        changed = known is None or _differs(known.summary, summary)
        if changed:
            self.emit(RegionChanged(summary))
        refresh_s = self.options.summary_refresh_s
        if self.regions.must_tell(summary.region, changed, refresh_s, now):
            self.spreading.tell_summary(held)

    def own_summary(self) -> RegionSummary:
        """Return what this host says of its own region."""
        limit = self.options.max_named_hosts
        members = list(self.table)
        gone = [member.id for member in members if not member.live]
        leaving = [member.id for member in members if member.live and member.leaving]
        contacts = (self.address_of(contact) for contact in self.contacts())
        return RegionSummary(
            region=self.own.region,
            alive=self.region_size,
            down=tuple(sorted(gone)[:limit]),
            leaving=tuple(sorted(leaving)[:limit]),
            contacts=tuple(contacts),
        )

    def contacts(self) -> tuple[str, ...]:
        """Return the live members that speak for the own region."""
        live = [
            member.id for member in self.table if member.live and not member.leaving
        ]
        return rank_hosts(f"contact/{self.own.region}", live, CONTACTS_PER_REGION)

    def some_summaries(self, count: int, now: float) -> tuple[RegionSummary, ...]:
        """Return the own summary and up to ``count`` of other regions."""
        held = list(self.regions.summaries())
        chosen = self.random.sample(held, min(count, len(held)))
        return (self.own_summary(), *(age_summary(item, now) for item in chosen))

    def send_values(self, member_id: str, address: str, now: float) -> None:
        """Tell a member which values this host holds."""
        message = self.compose(Kind.GOSSIP, member_id, now)
        self.send(address, replace(message, values=tuple(self.values)))

    def request_sync(self, member_id: str, now: float) -> None:
        """Ask a member for what its view holds beyond the own one."""
        probe = Probe(member_id, self.address_of(member_id), Purpose.SYNC, now)
        self.send_sync_request(probe, now)

    def send_sync_request(self, probe: Probe, now: float, cookie: int = 0) -> None:
        """Send one more request for ``probe``."""
        member_id = probe.member
        message = self.compose(Kind.SYNC_REQUEST, member_id, now)
        message = replace(
            message,
            cookie=cookie,
            members=self.with_statements(member_id, ()),
            bucket_hashes=tuple(self.table.bucket_hashes),
            values_hash=self.values.hash,
        )
        self.probes.add(message.sequence, probe)
        self.send(probe.address, message)

    def pages(self, members: list[Member]) -> list[tuple[Member, ...]]:
        """Split ``members`` into what fits in one message each."""
        pages: list[tuple[Member, ...]] = []
        page: list[Member] = []
        room = self.options.payload_bytes
        for member in members:
            if size_of(member) > room:
                pages.append(tuple(page))
                page = []
                room = self.options.payload_bytes
            page.append(member)
            room -= size_of(member)
        pages.append(tuple(page))
        return pages

    def _note_agreement(self, member: Member, held: Member, now: float) -> None:
        if member.state is not State.SUSPECT or held.state is not State.SUSPECT:
            return
        if member.incarnation != held.incarnation:
            return
        if member.refutation != held.refutation or not member.accuser:
            return
        if self.suspicions.add(member.id, member.accuser, now):
            self.spreading.tell_member(suspected(held, member.accuser))

    def _report_change(self, member: Member, held: Member | None, now: float) -> None:
        previous = held.state if held is not None else None
        if held is not None and not held.live and member.live:
            self.counters["returned"] += 1
            self.due["sync"] = min(self.due.get("sync", now), now + 1.0)
        if held is not None and replace(member, refutation=0, accuser="") == replace(
            held, refutation=0, accuser=""
        ):
            return
        self.counters[f"became_{member.state.name.lower()}"] += 1
        self.emit(MemberChanged(member, previous))

    def _meet_later_self(self, member: Member, now: float) -> None:
        if self.joined:
            self.counters["superseded"] += 1
            self.emit(Superseded(member.incarnation))
            return
        self.counters["incarnation_raised"] += 1
        raised = member.incarnation + 1 + self.random.getrandbits(16)
        self.own = replace(self.own, incarnation=raised, refutation=0)
        self.table.put(self.own, now)
        self.spreading.tell_member(self.own, urgent=True)

    def _callers_address_of(self, member_id: str) -> str:
        member = self.table.get(member_id)
        if member is not None and member.callers_address:
            return member.callers_address
        published = self.published.get(member_id)
        return published.callers_address if published else ""


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


def _differs(known: RegionSummary, summary: RegionSummary) -> bool:
    return replace(known, age_ms=0) != replace(summary, age_ms=0)
