"""
Exchanges load reports with the coordinators of targets.

Before a request is placed, the coordinators of a few targets are queried for load
reports; late answers are ignored. When a request is sent, the coordinator of its
target is notified at once. Its first event and its end are reported a moment later,
together with those of other requests. For the targets that this host coordinates, it
answers the queries of other hosts.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..adapters.events import record_event
from ..adapters.load_messages import LoadQuery, LoadReply, LoadUpdate, encode_message
from ..core.placement.coordinators import Coordinators
from ..core.placement.load_reports import TargetLoadReport, make_target_load_report

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..adapters.load_messages import LoadMessage
    from ..core.placement.loads import TargetLoad
    from ..core.placement.registry import TargetState
    from ..core.serving.requests import Prompt, PromptPart
    from .node import GatewayNode

# Time after which a request is placed without the answers of coordinators that are
# still missing. It covers several round trips between zones and a busy coordinator.
QUERY_TIMEOUT_S = 0.025
# Time over which changes of load are collected into one report.
BATCH_S = 0.03
# The same for brittle targets, whose room is granted again when a request has ended.
BRITTLE_BATCH_S = 0.002
# Interval at which the load of a target is reported again while it isn't zero.
REPORT_INTERVAL_S = 1.0
# Number of times that a load of zero is reported again: if its only datagram were
# lost, the coordinator would keep the old load.
ZERO_LOAD_REPEATS = 1


@dataclass(slots=True)
class _PendingQuery:
    """A query that waits for the replies of coordinators."""

    waiting: set[str]
    reports: dict[str, TargetLoadReport] = field(default_factory=dict)
    done: trio.Event = field(default_factory=trio.Event)


class TargetCoordination:
    """State: the coordinators, pending queries, and loads still to be reported."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.coordinators = Coordinators(node.settings.host)
        self._pending: dict[int, _PendingQuery] = {}
        self._changed: set[str] = set()
        self._reported: dict[str, tuple[str, int]] = {}
        self._report_due = trio.Event()
        self._batch_s = BATCH_S

    async def run(self) -> None:
        """Report changed loads, and repeat the others, until cancelled."""
        node = self._node
        reported_at = node.now()
        while True:
            with trio.move_on_after(REPORT_INTERVAL_S):
                await self._report_due.wait()
                await trio.sleep(self._batch_s)
            self._report_due = trio.Event()
            self._batch_s = BATCH_S
            changed, self._changed = self._changed, set()
            now = node.now()
            if now - reported_at >= REPORT_INTERVAL_S:
                reported_at = now
                changed |= {t.entry.id for t in node.registry.list_targets_in_use()}
                changed |= self._reported.keys()
            await self._report_loads(changed)

    async def query(
        self, targets: Sequence[TargetState], prompt: Prompt | None
    ) -> dict[str, TargetLoadReport]:
        """Return the load reports of targets that arrive in time."""
        node = self._node
        now = node.now()
        parts = prompt.parts if prompt else ()
        reports: dict[str, TargetLoadReport] = {}
        queried: dict[str, list[str]] = defaultdict(list)
        for target in targets:
            coordinator = self.coordinators.find(target.entry.id, now)
            if coordinator == node.settings.host:
                reports[target.entry.id] = make_target_load_report(target, parts, now)
            else:
                queried[coordinator].append(target.entry.id)
        if queried:
            reports |= await self._query_coordinators(queried, parts)
        return reports

    async def report_started(self, target: TargetState, prompt: Prompt | None) -> None:
        """Report a request that is being sent to the target's coordinator."""
        node = self._node
        now = node.now()
        coordinator = self.coordinators.find(target.entry.id, now)
        self._changed.discard(target.entry.id)
        if coordinator == node.settings.host:
            return
        parts = ((target.entry.id, prompt.parts),) if prompt else ()
        loads = {target.entry.id: node.registry.take_load(target, now)}
        self._reported[target.entry.id] = coordinator, ZERO_LOAD_REPEATS
        await self._send(coordinator, LoadUpdate(node.settings.host, loads, parts))

    def schedule_report(self, target: TargetState) -> None:
        """Schedule a load report after the first event or the end of a request."""
        self._changed.add(target.entry.id)
        if self._node.grants.find_limit(target) is not None:
            self._batch_s = BRITTLE_BATCH_S
        self._report_due.set()

    async def handle_message(self, message: LoadMessage) -> None:
        """Answer a query, or apply a reply or a peer's load update."""
        node = self._node
        now = node.now()
        if isinstance(message, LoadQuery):
            reports = {
                name: make_target_load_report(target, message.parts, now)
                for name in message.targets
                if (target := node.registry.targets.get(name)) is not None
            }
            await node.permits.tell_limits(message.host, message.targets)
            reply = LoadReply(message.number, node.settings.host, reports)
            await self._send(message.host, reply)
        elif isinstance(message, LoadReply):
            self._apply_reply(message)
        else:
            for name, load in message.loads.items():
                node.registry.apply_peer_load(message.host, name, load, now)
            for name, parts in message.parts:
                if (target := node.registry.targets.get(name)) is not None:
                    node.registry.record_prompt_parts(target, parts)

    async def _query_coordinators(
        self,
        queried: dict[str, list[str]],
        parts: tuple[PromptPart, ...],
    ) -> dict[str, TargetLoadReport]:
        node = self._node
        number = node.next_number()
        pending = self._pending[number] = _PendingQuery(set(queried))
        try:
            for coordinator, target_ids in queried.items():
                query = LoadQuery(number, node.settings.host, parts, tuple(target_ids))
                await self._send(coordinator, query)
            with trio.move_on_after(QUERY_TIMEOUT_S):
                await pending.done.wait()
        finally:
            del self._pending[number]
        for coordinator in pending.waiting:
            node.metrics.count("keepers_silent_total")
            if self.coordinators.record_timeout(coordinator, node.now()):
                record_event("keeper-muted", subject=coordinator)
        return pending.reports

    def _apply_reply(self, reply: LoadReply) -> None:
        self.coordinators.record_answer(reply.host)
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        pending.reports |= reply.reports
        pending.waiting.discard(reply.host)
        if not pending.waiting:
            pending.done.set()

    async def _report_loads(self, target_ids: set[str]) -> None:
        """Report this host's in-flight requests to the coordinators of targets."""
        node = self._node
        now = node.now()
        updates: dict[str, dict[str, TargetLoad]] = defaultdict(dict)
        for name in target_ids:
            target = node.registry.targets.get(name)
            if target is None:
                self._reported.pop(name, None)
                continue
            load = node.registry.local_load(target)
            coordinator = self.coordinators.find(name, now)
            reported_to, repeats_left = self._reported.get(
                name, ("", ZERO_LOAD_REPEATS)
            )
            if load.in_flight:
                self._reported[name] = coordinator, ZERO_LOAD_REPEATS
            elif repeats_left and reported_to == coordinator:
                self._reported[name] = coordinator, repeats_left - 1
            else:
                self._reported.pop(name, None)
                if reported_to != coordinator:
                    continue
            if coordinator != node.settings.host:
                updates[coordinator][name] = node.registry.take_load(target, now)
        for coordinator, loads in updates.items():
            await self._send(coordinator, LoadUpdate(node.settings.host, loads))

    async def _send(self, host: str, message: LoadMessage) -> None:
        await self._node.peers.send_to(host, encode_message(message))
