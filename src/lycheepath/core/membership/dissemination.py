"""
Dissemination of updates to peers: gossip and directed updates.

Pending updates are piggybacked on probes and their answers, and are pushed in gossip
messages of their own. Updates for named hosts are batched by recipient. Both are
bounded in bytes per second and in items held. While many updates are pending, as
when a whole fleet starts, each is sent fewer times; the synchronization of views
then delivers the rest.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..gossip.budget import ByteBudget
from ..gossip.pending_updates import UpdateQueue
from ..gossip.updates import MAX_AGE_MS, POLICIES, GossipUpdate, HeldUpdate
from ..gossip.values import ValueDigest
from .messages import RegionSummary
from .model import Member, State

if TYPE_CHECKING:
    from .messages import Message
    from .options import Options

ENVELOPE_BYTES = 110
UPDATE_BYTES = 32
MEMBER_BYTES = 40
VALUE_BYTES = 48
SUMMARY_BYTES = 40
BACKLOG_UPDATES = 32
BACKLOG_TRANSMISSIONS = 3
URGENT_PRIORITY = 0
ORDINARY_PRIORITY = 1
SUMMARY_PRIORITY = 3


@dataclass(frozen=True, slots=True)
class HeldSummary:
    """A region's summary with the local time of its observation."""

    summary: RegionSummary
    observed_at: float


@dataclass(frozen=True, slots=True)
class Payload:
    """The pending updates that one message carries."""

    members: tuple[Member, ...] = ()
    values: tuple[ValueDigest, ...] = ()
    updates: tuple[GossipUpdate, ...] = ()
    summaries: tuple[RegionSummary, ...] = ()


PendingUpdate = Member | ValueDigest | HeldUpdate | HeldSummary


class Disseminator:
    """The pending updates: those for gossip and those for named hosts."""

    def __init__(self, options: Options, now: float) -> None:
        self._options = options
        self.pending_updates: UpdateQueue[PendingUpdate] = UpdateQueue()
        self.budget = ByteBudget(
            options.gossip_bytes_per_s, options.gossip_burst_bytes, now
        )
        self._directed_budget = ByteBudget(
            options.directed_bytes_per_s, options.directed_burst_bytes, now
        )
        self._directed: dict[str, OrderedDict[tuple[int, int], HeldUpdate]] = {}
        self._directed_count = 0
        self.directed_shed = 0

    def enqueue_member(self, member: Member, urgent: bool = False) -> None:
        """Queue a statement about a member for gossip."""
        priority = URGENT_PRIORITY if urgent else ORDINARY_PRIORITY
        subject = ("member", member.id)
        self.pending_updates.add(
            subject, strip_addresses(member), estimate_item_bytes(member), priority
        )

    def enqueue_value(self, value: ValueDigest) -> None:
        """Queue the digest of a value that this host holds for gossip."""
        self.pending_updates.add(
            ("value", value.name), value, estimate_item_bytes(value), URGENT_PRIORITY
        )

    def enqueue_update(self, held: HeldUpdate) -> None:
        """Queue an update for gossip in the region."""
        update = held.update
        subject = ("news", update.kind, update.key, update.word if update.ttl_s else 0)
        priority = POLICIES[update.kind].priority
        self.pending_updates.add(subject, held, UPDATE_BYTES, priority)

    def enqueue_summary(self, held: HeldSummary) -> None:
        """Queue the summary of a remote region for gossip in the local one."""
        subject = ("region", held.summary.region)
        self.pending_updates.add(
            subject, held, estimate_item_bytes(held.summary), SUMMARY_PRIORITY
        )

    def enqueue_directed(self, held: HeldUpdate, recipients: tuple[str, ...]) -> None:
        """Queue an update for named hosts; it replaces an older one of its key."""
        for recipient in recipients:
            queue = self._directed.setdefault(recipient, OrderedDict())
            key = (held.update.kind.value, held.update.key)
            self._directed_count += key not in queue
            queue[key] = held
        while self._directed_count > self._options.max_directed_updates:
            self._shed_directed()

    def take_directed(self, now: float) -> list[tuple[str, tuple[GossipUpdate, ...]]]:
        """Return the directed updates that the budget allows now, by recipient."""
        taken = []
        page = self._options.payload_bytes // UPDATE_BYTES
        for recipient in tuple(self._directed):
            if self._directed_budget.available(now) <= 0:
                break
            queue = self._directed.pop(recipient)
            items = [queue.popitem(last=True)[1] for _ in range(min(page, len(queue)))]
            self._directed_count -= len(items)
            if queue:
                self._directed[recipient] = queue
            self._directed_budget.spend(ENVELOPE_BYTES + UPDATE_BYTES * len(items))
            taken.append((recipient, tuple(refresh_age(item, now) for item in items)))
        return taken

    def take_payload(self, room: int, region_size: int, now: float) -> Payload:
        """Return pending updates that fit in ``room`` bytes."""
        if not self.pending_updates:
            return Payload()
        transmissions = self._transmissions(region_size)
        items = self.pending_updates.take(room, transmissions)
        return Payload(
            members=tuple(item for item in items if isinstance(item, Member)),
            values=tuple(item for item in items if isinstance(item, ValueDigest)),
            updates=tuple(
                refresh_age(i, now) for i in items if isinstance(i, HeldUpdate)
            ),
            summaries=tuple(
                refresh_summary_age(item, now)
                for item in items
                if isinstance(item, HeldSummary)
            ),
        )

    def _transmissions(self, region_size: int) -> int:
        if len(self.pending_updates) > BACKLOG_UPDATES:
            return BACKLOG_TRANSMISSIONS
        return self._options.transmissions_factor * len(str(region_size))

    def _shed_directed(self) -> None:
        recipient = max(self._directed, key=lambda name: len(self._directed[name]))
        queue = self._directed[recipient]
        queue.popitem(last=False)
        if not queue:
            del self._directed[recipient]
        self._directed_count -= 1
        self.directed_shed += 1


def strip_addresses(member: Member) -> Member:
    """Return the statement, without addresses if the member isn't live."""
    if member.state in (State.ALIVE, State.SUSPECT):
        return member
    return replace(member, peers_address="", callers_address="", zone="", region="")


def estimate_item_bytes(item: Member | ValueDigest | RegionSummary) -> int:
    """Return the estimated size of ``item`` in a message, in bytes."""
    if isinstance(item, ValueDigest):
        return VALUE_BYTES + len(item.name)
    if isinstance(item, RegionSummary):
        names = (*item.down, *item.leaving, *item.contacts)
        return SUMMARY_BYTES + sum(len(name) + 10 for name in names)
    texts = (item.id, item.peers_address, item.zone, item.accuser)
    return MEMBER_BYTES + sum(len(text) for text in texts)


def estimate_message_bytes(message: Message) -> int:
    """Return the estimated size of ``message`` on the wire, in bytes."""
    size = ENVELOPE_BYTES + UPDATE_BYTES * len(message.news)
    size += sum(estimate_item_bytes(member) for member in message.members)
    size += sum(estimate_item_bytes(value) for value in message.values)
    return size + sum(estimate_item_bytes(summary) for summary in message.summaries)


def refresh_age(held: HeldUpdate, now: float) -> GossipUpdate:
    """Return the update with its age at ``now``, as it is sent."""
    age_ms = int(max(0.0, now - held.observed_at) * 1000)
    return replace(held.update, age_ms=min(age_ms, MAX_AGE_MS))


def refresh_summary_age(held: HeldSummary, now: float) -> RegionSummary:
    """Return the summary with its age at ``now``, as it is sent."""
    age_ms = int(max(0.0, now - held.observed_at) * 1000)
    return replace(held.summary, age_ms=min(age_ms, MAX_AGE_MS))
