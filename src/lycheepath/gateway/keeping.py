"""
Asks the keepers of targets what is under way there, and tells them of it.

Before a request is placed, the keepers of a few targets are asked; what doesn't
come in time isn't waited for. When a request is sent, its target's keeper hears
of it at once; what has become of it is told a moment later, together with others.
This host answers for the targets that it keeps.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.questions import LoadNews, Question, Reply, encode_message
from ..core.placement.coordinators import Coordinators
from ..core.placement.load_reports import TargetLoadReport, make_target_load_report

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..adapters.questions import Message
    from ..core.placement.loads import TargetLoad
    from ..core.placement.registry import TargetState
    from ..core.serving.requests import Prompt, PromptPart
    from .node import GatewayNode

# What keepers don't say within this time, in seconds, is placed without; some ways
# there and back between zones, and a busy keeper.
ANSWER_S = 0.025
# What has ended is told to keepers together with what ends within this time.
GATHER_S = 0.03
# A target's load is told again after this long while there is any.
REPEAT_S = 1.0
# A load of nothing is told so many times more, as a lost one would be kept.
LAST_REPEATS = 1


@dataclass(slots=True)
class _Inquiry:
    """A question that waits for its replies, by keeper."""

    waiting: set[str]
    quotes: dict[str, TargetLoadReport] = field(default_factory=dict)
    done: trio.Event = field(default_factory=trio.Event)


class Keeping:
    """State: the keepers, questions under way, and loads still to be told."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.keepers = Coordinators(node.settings.host)
        self._inquiries: dict[int, _Inquiry] = {}
        self._changed: set[str] = set()
        self._told: dict[str, tuple[str, int]] = {}
        self._work = trio.Event()

    async def run(self) -> None:
        """Tell keepers what has changed, and again what goes on."""
        node = self._node
        repeated_at = node.now()
        while True:
            with trio.move_on_after(REPEAT_S):
                await self._work.wait()
                await trio.sleep(GATHER_S)
            self._work = trio.Event()
            changed, self._changed = self._changed, set()
            now = node.now()
            if now - repeated_at >= REPEAT_S:
                repeated_at = now
                changed |= {t.entry.id for t in node.book.list_targets_in_use()}
                changed |= self._told.keys()
            await self._tell(changed)

    async def ask(
        self, targets: Sequence[TargetState], prompt: Prompt | None
    ) -> dict[str, TargetLoadReport]:
        """Return the quotes of targets that come in time."""
        node = self._node
        now = node.now()
        parts = prompt.parts if prompt else ()
        quotes: dict[str, TargetLoadReport] = {}
        asked: dict[str, list[str]] = defaultdict(list)
        for target in targets:
            keeper = self.keepers.find(target.entry.id, now)
            if keeper == node.settings.host:
                quotes[target.entry.id] = make_target_load_report(target, parts, now)
            else:
                asked[keeper].append(target.entry.id)
        if asked:
            quotes |= await self._ask_others(asked, parts)
        return quotes

    async def note_started(self, target: TargetState, prompt: Prompt | None) -> None:
        """Tell the target's keeper of a request that is being sent."""
        node = self._node
        keeper = self.keepers.find(target.entry.id, node.now())
        self._changed.discard(target.entry.id)
        if keeper == node.settings.host:
            return
        parts = ((target.entry.id, prompt.parts),) if prompt else ()
        loads = {target.entry.id: node.book.local_load(target)}
        self._told[target.entry.id] = keeper, LAST_REPEATS
        await self._send(keeper, LoadNews(node.settings.host, loads, parts))

    def note_changed(self, target: TargetState) -> None:
        """Have the target's keeper told that something began to answer or ended."""
        self._changed.add(target.entry.id)
        self._work.set()

    async def hear(self, message: Message) -> None:
        """Answer a question, or take a reply or a peer's load."""
        node = self._node
        now = node.now()
        if isinstance(message, Question):
            quotes = {
                name: make_target_load_report(target, message.parts, now)
                for name in message.targets
                if (target := node.book.targets.get(name)) is not None
            }
            reply = Reply(message.number, node.settings.host, quotes)
            await self._send(message.host, reply)
        elif isinstance(message, Reply):
            self._take_reply(message)
        else:
            for name, load in message.loads.items():
                node.book.apply_peer_load(message.host, name, load, now)
            for name, parts in message.parts:
                if (target := node.book.targets.get(name)) is not None:
                    node.book.record_prompt_parts(target, parts)

    async def _ask_others(
        self,
        asked: dict[str, list[str]],
        parts: tuple[PromptPart, ...],
    ) -> dict[str, TargetLoadReport]:
        node = self._node
        number = node.next_number()
        inquiry = self._inquiries[number] = _Inquiry(set(asked))
        try:
            for keeper, names in asked.items():
                question = Question(number, node.settings.host, parts, tuple(names))
                await self._send(keeper, question)
            with trio.move_on_after(ANSWER_S):
                await inquiry.done.wait()
        finally:
            del self._inquiries[number]
        for keeper in inquiry.waiting:
            node.metrics.count("keepers_silent_total")
            if self.keepers.record_timeout(keeper, node.now()):
                record_event("keeper-muted", subject=keeper)
        return inquiry.quotes

    def _take_reply(self, reply: Reply) -> None:
        self.keepers.record_answer(reply.host)
        inquiry = self._inquiries.get(reply.number)
        if inquiry is None:
            return
        inquiry.quotes |= reply.quotes
        inquiry.waiting.discard(reply.host)
        if not inquiry.waiting:
            inquiry.done.set()

    async def _tell(self, names: set[str]) -> None:
        """Tell the keepers of targets what this host has under way there."""
        node = self._node
        now = node.now()
        news: dict[str, dict[str, TargetLoad]] = defaultdict(dict)
        for name in names:
            target = node.book.targets.get(name)
            if target is None:
                self._told.pop(name, None)
                continue
            load = node.book.local_load(target)
            keeper = self.keepers.find(name, now)
            before, left = self._told.get(name, ("", LAST_REPEATS))
            if load.in_flight:
                self._told[name] = keeper, LAST_REPEATS
            elif left and before == keeper:
                self._told[name] = keeper, left - 1
            else:
                self._told.pop(name, None)
                if before != keeper:
                    continue
            if keeper != node.settings.host:
                news[keeper][name] = load
        for keeper, loads in news.items():
            await self._send(keeper, LoadNews(node.settings.host, loads))

    async def _send(self, host: str, message: Message) -> None:
        await self._node.peers.send_to(host, encode_message(message))
