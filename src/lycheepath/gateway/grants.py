"""
Takes room for requests to brittle targets.

A target that states that it is brittle falls over when it has to turn too many requests
away. Its coordinator grants room for each request before it is sent: it knows the
requests that all hosts of the region have in flight there, and targets accept
connections only from these. What a target turns away is reported to all of them.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.grant_messages import (
    BrittleReport,
    GrantQuery,
    GrantReply,
    RefusalReport,
    encode_grant_message,
)
from ..core.catalog.catalog import StateChange
from ..core.hosts.rendezvous import rank
from ..core.placement.brittleness import (
    FULL_WAIT_S,
    describe_limit,
    find_full_wait_s,
    find_share,
)
from ..core.placement.coordinators import Coordinators
from ..core.placement.statements import find_instance
from .queries import PendingQueries

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ..adapters.grant_messages import GrantMessage
    from ..core.placement.load_reports import TargetLoadReport
    from ..core.placement.registry import TargetState
    from .node import GatewayNode

# Time after which room is asked for again if the coordinator hasn't answered.
UNANSWERED_WAIT_S = 0.1
# Longest time for which a denial counts; the target may have ended by then.
MAX_DENIAL_S = 1.0
# Time in which all hosts report their loads to a new coordinator.
TAKEOVER_S = 1.3
# Part of the slots that a coordinator grants while it may not know all loads.
TAKEOVER_DIVISOR = 2
# Shortest time between two reports of a target's refusals to hosts that don't
# coordinate it.
REPORT_INTERVAL_S = 0.2


class Grants:
    """State: who grants room, and pending queries."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.coordinators = Coordinators(node.settings.host)
        self._hosts: frozenset[str] = frozenset()
        self._hosts_changed_at = node.now()
        self._queries: PendingQueries[GrantReply] = PendingQueries(node.next_number)
        # The number of pending queries for each target.
        self._query_counts: Counter[str] = Counter()

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Set the serving hosts of the region."""
        found = frozenset(hosts)
        if found != self._hosts:
            self._hosts = found
            self._hosts_changed_at = self._node.now()
            self.coordinators.set_hosts(found)

    def find_limit(self, target: TargetState) -> int | None:
        """Return how many requests a target can turn away in a second, or None."""
        return self._node.registry.brittle_services.find_limit(
            target.entry.service,
            target.region,
            target.availability.brittleness,
            self._node.now(),
        )

    def apply_loads(
        self, targets: Iterable[TargetState], reports: Mapping[str, TargetLoadReport]
    ) -> None:
        """Pass over the brittle targets that are full by their coordinators' reports."""
        wait_s = find_full_wait_s(len(self._hosts))
        for target in targets:
            report = reports.get(target.entry.id)
            if report is None or report.in_flight < target.entry.slots:
                continue
            if self.find_limit(target) is not None:
                room = target.availability.room
                room.record_denial(wait_s, self._node.now())

    def has_unasked(self, service: str, tried: Collection[str]) -> bool:
        """Whether a brittle target of the region may have room that wasn't asked for."""
        node = self._node
        now = node.now()
        return any(
            target.accepts_requests
            and target.entry.id not in tried
            and target.availability.is_available(now)
            and self.find_limit(target) is not None
            for target in node.registry.list_region_targets(
                service, node.settings.region
            )
        )

    async def acquire(self, target: TargetState) -> float:
        """Take room for a request; return 0, or when to ask again, in seconds."""
        node = self._node
        limit = self.find_limit(target)
        if limit is None:
            return 0.0
        now = node.now()
        coordinator = self.coordinators.find_reachable(target.entry.id, now)
        if coordinator is None:
            wait_s = self._take_share(target, now)
        elif coordinator != node.settings.host:
            wait_s = await self._query(coordinator, target, limit)
        else:
            wait_s = self._grant(target, limit, now)
        if wait_s > 0.0:
            wait_s = max(wait_s, find_full_wait_s(len(self._hosts)))
            wait_s = min(wait_s, MAX_DENIAL_S)
            target.availability.room.record_denial(wait_s, node.now())
        result = "denied" if wait_s > 0.0 else "granted"
        node.metrics.count("grants_total", result=result)
        return wait_s

    async def report_refusal(self, target: TargetState) -> None:
        """Report that a target has turned a request of this host away, if brittle."""
        node = self._node
        limit = self.find_limit(target)
        if limit is None:
            return
        now = node.now()
        entry = target.entry
        self._record_refusal(target, limit, now)
        report = RefusalReport(node.settings.host, entry.id, entry.born_ms, limit)
        hosts = {self.coordinators.find(entry.id, now)}
        room = target.availability.room
        if now - room.reported_at >= REPORT_INTERVAL_S:
            room.reported_at = now
            hosts |= self._list_peers(now)
        for host in hosts - {node.settings.host}:
            await self._send(host, report)

    async def report_statements(self) -> None:
        """Tell the hosts of the region which services are brittle."""
        await self.tell_hosts(self._list_peers(self._node.now()))

    async def tell_hosts(self, hosts: Iterable[str]) -> None:
        """Tell hosts which services of the region are brittle."""
        node = self._node
        services = node.registry.brittle_services
        statements = services.list_statements(node.settings.region, node.now())
        if statements:
            report = BrittleReport(node.settings.host, tuple(statements))
            for host in hosts:
                await self._send(host, report)

    async def handle_message(self, message: GrantMessage) -> None:
        """Answer a query, or apply a reply or a report."""
        node = self._node
        now = node.now()
        if isinstance(message, GrantQuery):
            target = find_instance(node.registry, message.target, message.born_ms)
            wait_s = UNANSWERED_WAIT_S
            if target is not None:
                started = target.peer_loads.put_count(
                    message.host, message.in_flight, now
                )
                target.availability.room.confirm(message.host, started)
                wait_s = self._grant(target, message.limit, now, message.host)
            reply = GrantReply(message.number, node.settings.host, wait_s)
            await self._send(message.host, reply)
        elif isinstance(message, GrantReply):
            self.coordinators.record_answer(message.host)
            self._queries.deliver(message.number, message)
        elif isinstance(message, RefusalReport):
            target = find_instance(node.registry, message.target, message.born_ms)
            if target is not None:
                self._record_refusal(target, message.limit, now)
        else:
            self._apply_report(message, now)

    def _apply_report(self, report: BrittleReport, now: float) -> None:
        region = self._node.settings.region
        registry = self._node.registry
        for each in report.statements:
            at = now - each.age_s
            if registry.brittle_services.observe(each.service, region, each.limit, at):
                detail = f"{describe_limit(each.limit)}, by {report.host}"
                registry.state_changes.append(
                    StateChange("service-brittle", each.service, detail)
                )

    def _record_refusal(self, target: TargetState, limit: int, now: float) -> None:
        target.availability.room.record_refusal(target.entry.slots, limit, now)

    def _grant(
        self, target: TargetState, limit: int, now: float, host: str = ""
    ) -> float:
        """Grant room, less of it while the loads of other hosts may be unknown."""
        node = self._node
        entry = target.entry
        first = self.coordinators.find_first(entry.id)
        room = target.availability.room
        if room.coordinator != first:
            since = now if room.coordinator else self._hosts_changed_at
            room.coordinator, room.coordinator_since = first, since
        most = None
        if first != node.settings.host:
            # That host may go on granting all of the room to others.
            most = 1
        elif now - room.coordinator_since < TAKEOVER_S:
            # Even if all of these are turned away, the target doesn't fall over.
            most = max(1, min(entry.slots // TAKEOVER_DIVISOR, limit))
        in_flight = target.count_in_flight(now)
        return room.grant(entry.slots, in_flight, now, host, most)

    def _take_share(self, target: TargetState, now: float) -> float:
        """Take room of this host's own share, as no host that grants room answers."""
        node = self._node
        own = node.settings.host
        hosts = rank(target.entry.id, {own, *self._list_peers(now)})
        share = find_share(target.entry.slots, len(hosts), hosts.index(own))
        in_flight = node.registry.local_load(target).in_flight
        if in_flight >= share:
            return UNANSWERED_WAIT_S
        return target.availability.room.grant(target.entry.slots, in_flight, now)

    async def _query(self, coordinator: str, target: TargetState, limit: int) -> float:
        node = self._node
        own, entry = node.settings.host, target.entry
        if self._query_counts[entry.id] >= entry.slots:
            return FULL_WAIT_S

        async def send(number: int) -> None:
            in_flight = node.registry.local_load(target).in_flight
            query = GrantQuery(number, own, entry.id, entry.born_ms, limit, in_flight)
            await self._send(coordinator, query)

        self._query_counts[entry.id] += 1
        try:
            reply = await self._queries.ask(send)
        finally:
            self._query_counts[entry.id] -= 1
            if not self._query_counts[entry.id]:
                del self._query_counts[entry.id]
        if reply is not None:
            return reply.wait_s
        node.metrics.count("grants_unanswered_total")
        if self.coordinators.record_timeout(coordinator, node.now()):
            record_event("grants-unanswered", subject=coordinator)
        return UNANSWERED_WAIT_S

    def _list_peers(self, now: float) -> set[str]:
        node = self._node
        rows = node.peers.view.live_hosts(now, node.settings.region)
        return {row.id for row in rows}

    async def _send(self, host: str, message: GrantMessage) -> None:
        await self._node.peers.send_to(host, encode_grant_message(message))
