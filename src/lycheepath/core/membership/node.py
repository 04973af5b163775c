"""
The membership of one host: the entry point of this package.

Feed it authenticated messages, ticks and the statements of its host; carry
out the actions that it returns. It does no I/O and reads no clock::

    membership = Membership(own, Options(), Random(seed), now)
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
from .beliefs import restate_own
from .messages import Kind
from .model import State
from .reception import handle_message
from .schedule import notice_pause, pass_time
from .state import NodeState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from ..gossip.updates import GossipUpdate, UpdateKind
    from ..gossip.values import ValueDigest
    from .actions import Action
    from .messages import Message
    from .model import Member, PublishedHost
    from .options import Options
    from .spreading import HeldSummary

GOODBYE_FANOUT = 6


class Membership:
    """Who takes part, seen from one host, and what rides their messages."""

    def __init__(
        self, own: Member, options: Options, random: Random, now: float
    ) -> None:
        self._state = NodeState(own, options, random, now)

    def start(
        self, seeds: Iterable[str], published: Iterable[PublishedHost], now: float
    ) -> list[Action]:
        """Begin to look for peers at ``seeds`` and at the published hosts."""
        state = self._state
        state.seeds = tuple(seeds)
        self.set_published_hosts(published)
        state.dissemination.tell_member(state.own, urgent=True)
        return self.tick(now)

    def set_published_hosts(self, hosts: Iterable[PublishedHost]) -> None:
        """Take a list of hosts as a hint where members may be."""
        hosts = tuple(hosts)
        state = self._state
        own = state.own.region
        state.published = {host.id: host for host in hosts if host.region == own}
        state.regions.publish(hosts)

    def receive(self, message: Message, source: str, now: float) -> list[Action]:
        """Take an authenticated message that came from address ``source``."""
        if self._state.own.state is State.ENDED:
            return []
        notice_pause(self._state, now)
        handle_message(self._state, message, source, now)
        return self._state.take_actions()

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        if self._state.own.state is State.ENDED:
            return []
        pass_time(self._state, now)
        return self._state.take_actions()

    def set_value(self, value: ValueDigest, now: float) -> list[Action]:
        """
        Hold ``value`` and tell peers at once.

        The host has its content. Raises ``RevisionFellError`` if a higher
        revision, or other content under the same one, is held.
        """
        state = self._state
        if state.values.put(value):
            state.dissemination.tell_value(value)
            state.due["gossip"] = now
            state.due["summary"] = now
        return self.tick(now)

    def publish_update(
        self, news: GossipUpdate, now: float, to: Iterable[str] = ()
    ) -> None:
        """
        Share an item that this host observed ``news.age_ms`` ago.

        News whose kind reaches only named hosts goes to ``to``; other news
        spreads by itself.
        """
        state = self._state
        state.news.put(news, state.own.id, now)
        held = HeldUpdate(news, now - news.age_ms / 1000, state.own.id)
        if POLICIES[news.kind].reach is Reach.DIRECTED:
            recipients = tuple(host for host in to if host != state.own.id)
            state.dissemination.direct_news(held, recipients)
            return
        state.dissemination.tell_news(held)

    def start_draining(self, now: float) -> list[Action]:
        """Say that this host takes no new work; for good, in this incarnation."""
        state = self._state
        if not state.own.leaving:
            restate_own(state, now, state.own.refutation + 1, leaving=True)
        return self.tick(now)

    def leave(self, now: float) -> list[Action]:
        """Say goodbye: this incarnation has ended and will never act again."""
        state = self._state
        if state.own.state is State.ENDED:
            return []
        state.own = replace(state.own, state=State.ENDED)
        state.table.put(state.own, now)
        own = (state.own.id,)
        for member_id in state.table.sample_live(state.random, GOODBYE_FANOUT, own):
            message = state.compose(Kind.GOSSIP, member_id, now)
            message = replace(message, members=(state.own,))
            state.send(state.address_of(member_id), message)
        return state.take_actions()

    @property
    def local_member(self) -> Member:
        """What this host says of itself."""
        return self._state.own

    @property
    def joined(self) -> bool:
        """Whether peers were heard, or waited for long enough."""
        return self._state.joined

    def members(self) -> tuple[Member, ...]:
        """Return all known members of the own region, dead ones included."""
        return tuple(self._state.table)

    def member(self, member_id: str) -> Member | None:
        """Return what is believed of one member of the own region."""
        return self._state.table.get(member_id)

    def regions(self) -> tuple[HeldSummary, ...]:
        """Return the summaries of other regions, with their times."""
        return self._state.regions.summaries()

    def values(self) -> tuple[ValueDigest, ...]:
        """Return the digests of the values that this host holds."""
        return tuple(self._state.values)

    def news(self, kind: UpdateKind, now: float) -> tuple[HeldUpdate, ...]:
        """Return the news of a kind that is not beyond its age."""
        return tuple(self._state.news.all(kind, now))

    def news_on(self, kind: UpdateKind, key: int, now: float) -> tuple[HeldUpdate, ...]:
        """Return the news on one key that is not beyond its age."""
        return self._state.news.get(kind, key, now)

    def counters(self) -> Counter[str]:
        """Return the counts of messages by kind, drops and changes."""
        state = self._state
        counters = Counter(state.counters)
        counters["rumors_shed"] = state.dissemination.pending_updates.shed
        counters["directed_shed"] = state.dissemination.directed_shed
        counters["news_shed"] = state.news.shed
        counters["members_shed"] = state.table.shed
        counters["members_live"] = state.region_size
        counters["senders_fresh"] = len(state.fresh)
        return counters
