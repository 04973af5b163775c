"""
Composes what a message carries beside its own purpose.

Rumors ride on whatever is sent and are pushed by themselves while they are
young; news for named hosts is batched by recipient. Both are bounded in bytes
a second and in items held. While many rumors wait, as when a whole fleet
starts, each is sent fewer times, and comparing views makes up for the rest.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..gossip.budget import ByteBudget
from ..gossip.rumors import RumorQueue
from ..gossip.updates import MAX_AGE_MS, POLICIES, GossipUpdate, HeldUpdate
from ..gossip.values import ValueDigest
from .messages import RegionSummary
from .model import Member, State

if TYPE_CHECKING:
    from .messages import Message
    from .options import Options

ENVELOPE_BYTES = 110
NEWS_BYTES = 32
MEMBER_BYTES = 40
VALUE_BYTES = 48
SUMMARY_BYTES = 40
CROWD = 32
CROWDED_TRANSMISSIONS = 3
URGENT = 0
ORDINARY = 1
SUMMARY_PRIORITY = 3


@dataclass(frozen=True, slots=True)
class HeldSummary:
    """A region's summary with the local time at which it was made."""

    summary: RegionSummary
    observed_at: float


@dataclass(frozen=True, slots=True)
class Load:
    """What rides in one message."""

    members: tuple[Member, ...] = ()
    values: tuple[ValueDigest, ...] = ()
    news: tuple[GossipUpdate, ...] = ()
    summaries: tuple[RegionSummary, ...] = ()


Rumor = Member | ValueDigest | HeldUpdate | HeldSummary


class Spreading:
    """The rumors and the directed news that wait to be sent."""

    def __init__(self, options: Options, now: float) -> None:
        self._options = options
        self.pending_updates: RumorQueue[Rumor] = RumorQueue()
        self.budget = ByteBudget(
            options.gossip_bytes_per_s, options.gossip_burst_bytes, now
        )
        self._directed_budget = ByteBudget(
            options.directed_bytes_per_s, options.directed_burst_bytes, now
        )
        self._directed: dict[str, OrderedDict[tuple[int, int], HeldUpdate]] = {}
        self._directed_count = 0
        self.directed_shed = 0

    def tell_member(self, member: Member, urgent: bool = False) -> None:
        """Spread a statement about a member."""
        priority = URGENT if urgent else ORDINARY
        subject = ("member", member.id)
        self.pending_updates.add(subject, compact(member), size_of(member), priority)

    def tell_value(self, value: ValueDigest) -> None:
        """Spread the digest of a value that this host holds."""
        self.pending_updates.add(("value", value.name), value, size_of(value), URGENT)

    def tell_news(self, held: HeldUpdate) -> None:
        """Spread an item through the region."""
        news = held.update
        subject = ("news", news.kind, news.key, news.word if news.ttl_s else 0)
        priority = POLICIES[news.kind].priority
        self.pending_updates.add(subject, held, NEWS_BYTES, priority)

    def tell_summary(self, held: HeldSummary) -> None:
        """Spread another region's summary through the own region."""
        subject = ("region", held.summary.region)
        self.pending_updates.add(subject, held, size_of(held.summary), SUMMARY_PRIORITY)

    def direct_news(self, held: HeldUpdate, recipients: tuple[str, ...]) -> None:
        """Queue an item for named hosts; a newer one on its key replaces it."""
        for recipient in recipients:
            queue = self._directed.setdefault(recipient, OrderedDict())
            key = (held.update.kind.value, held.update.key)
            self._directed_count += key not in queue
            queue[key] = held
        while self._directed_count > self._options.max_directed:
            self._shed_directed()

    def take_directed(self, now: float) -> list[tuple[str, tuple[GossipUpdate, ...]]]:
        """Return the directed news that the budget lets out now, by recipient."""
        taken = []
        page = self._options.payload_bytes // NEWS_BYTES
        for recipient in tuple(self._directed):
            if self._directed_budget.available(now) <= 0:
                break
            queue = self._directed.pop(recipient)
            items = [queue.popitem(last=True)[1] for _ in range(min(page, len(queue)))]
            self._directed_count -= len(items)
            if queue:
                self._directed[recipient] = queue
            self._directed_budget.spend(ENVELOPE_BYTES + NEWS_BYTES * len(items))
            taken.append((recipient, tuple(age_news(item, now) for item in items)))
        return taken

    def take_load(self, room: int, region_size: int, now: float) -> Load:
        """Return rumors that fit in ``room`` bytes."""
        if not self.pending_updates:
            return Load()
        transmissions = self._transmissions(region_size)
        items = self.pending_updates.take(room, transmissions)
        return Load(
            members=tuple(item for item in items if isinstance(item, Member)),
            values=tuple(item for item in items if isinstance(item, ValueDigest)),
            news=tuple(age_news(i, now) for i in items if isinstance(i, HeldUpdate)),
            summaries=tuple(
                age_summary(item, now)
                for item in items
                if isinstance(item, HeldSummary)
            ),
        )

    def _transmissions(self, region_size: int) -> int:
        if len(self.pending_updates) > CROWD:
            return CROWDED_TRANSMISSIONS
        return self._options.transmissions_factor * len(str(region_size))

    def _shed_directed(self) -> None:
        recipient = max(self._directed, key=lambda name: len(self._directed[name]))
        queue = self._directed[recipient]
        queue.popitem(last=False)
        if not queue:
            del self._directed[recipient]
        self._directed_count -= 1
        self.directed_shed += 1


def compact(member: Member) -> Member:
    """Return the statement without what a receiver doesn't need."""
    if member.state in (State.ALIVE, State.SUSPECT):
        return member
    return replace(member, peers_address="", callers_address="", zone="", region="")


def size_of(item: Member | ValueDigest | RegionSummary) -> int:
    """Return about how many bytes ``item`` takes in a message."""
    if isinstance(item, ValueDigest):
        return VALUE_BYTES + len(item.name)
    if isinstance(item, RegionSummary):
        names = (*item.down, *item.leaving, *item.contacts)
        return SUMMARY_BYTES + sum(len(name) + 10 for name in names)
    texts = (item.id, item.peers_address, item.zone, item.accuser)
    return MEMBER_BYTES + sum(len(text) for text in texts)


def size_of_load(message: Message) -> int:
    """Return about how many bytes ``message`` takes on the wire."""
    size = ENVELOPE_BYTES + NEWS_BYTES * len(message.news)
    size += sum(size_of(member) for member in message.members)
    size += sum(size_of(value) for value in message.values)
    return size + sum(size_of(summary) for summary in message.summaries)


def age_news(held: HeldUpdate, now: float) -> GossipUpdate:
    """Return the item as it goes on the wire now."""
    age_ms = int(max(0.0, now - held.observed_at) * 1000)
    return replace(held.update, age_ms=min(age_ms, MAX_AGE_MS))


def age_summary(held: HeldSummary, now: float) -> RegionSummary:
    """Return the summary as it goes on the wire now."""
    age_ms = int(max(0.0, now - held.observed_at) * 1000)
    return replace(held.summary, age_ms=min(age_ms, MAX_AGE_MS))
