"""
Takes permits for requests to targets that limit their request rate.

The coordinator of a target grants the permits, so that all hosts of its region keep
the limit together; targets accept connections only from hosts of their region. What a
host learns from a target's answers is reported to the coordinator at once, and the
coordinator tells hosts that have just started or ask for the target's load.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.limit_messages import (
    LimitReport,
    PermitQuery,
    PermitReply,
    encode_limit_message,
)
from ..core.placement.coordinators import Coordinators
from ..core.placement.rate_limit import MIN_RATE
from ..core.placement.returns import ReturnSchedule
from ..core.placement.statements import (
    apply_limit_statement,
    find_instance,
    make_limit_statement,
)
from ..core.reasons import Absent, Reason
from .queries import PendingQueries

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..adapters.limit_messages import LimitMessage
    from ..core.placement.rate_limit import LimitStatement
    from ..core.placement.registry import TargetState
    from .node import GatewayNode

# Time after which a permit is asked for again if the coordinator can't grant any.
UNDECIDED_WAIT_S = 0.25
# Part of the rate that a host grants in place of a coordinator that is still live: some
# hosts may go on asking that one.
SUBSTITUTE_SHARE = 0.5


class RatePermits:
    """State: who grants permits, pending queries, and returns by service."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.coordinators = Coordinators(node.settings.host)
        self._queries: PendingQueries[PermitReply] = PendingQueries(node.next_number)
        self._returns: dict[str, ReturnSchedule] = {}

    async def acquire(self, target: TargetState) -> float:
        """Take a permit; return 0, or the time until one is available in seconds."""
        node = self._node
        limit = target.availability.rate_limit
        if limit.rate is None:
            return 0.0
        now = node.now()
        coordinator = self.coordinators.find_reachable(target.entry.id, now)
        if coordinator is None:
            # No host that could grant it answers: all send their equal shares.
            wait_s = limit.take_permit(now, 1.0 / node.peers.count_local_hosts())
        elif coordinator != node.settings.host:
            wait_s = await self._query(coordinator, target)
        elif node.registry.is_unsynchronized(now):
            # The hosts that grant permits may not be known yet.
            wait_s = UNDECIDED_WAIT_S
        else:
            wait_s = self._grant(target, now)
        if wait_s > 0.0:
            limit.record_denial(wait_s, node.now())
        result = "denied" if wait_s > 0.0 else "granted"
        node.metrics.count("limit_permits_total", result=result)
        return wait_s

    def spread_returns(self, service: str, absent: Absent) -> Absent:
        """Return a refusal whose caller comes back when the limits allow it."""
        node = self._node
        if absent.reason is not Reason.RATE_LIMITED:
            return absent
        targets = node.registry.list_region_targets(service, node.settings.region)
        rate = sum(target.availability.rate_limit.rate or 0.0 for target in targets)
        interval_s = node.peers.count_local_hosts() / max(rate, MIN_RATE)
        returns = self._returns.setdefault(service, ReturnSchedule())
        wait_s = returns.schedule(absent.retry_after_s, interval_s, node.now())
        return replace(absent, retry_after_s=wait_s)

    async def report_limit(self, target: TargetState) -> None:
        """Report a limit that this host has learned from an answer."""
        node = self._node
        now = node.now()
        coordinator = self.coordinators.find(target.entry.id, now)
        statement = make_limit_statement(target, now)
        await self._send(coordinator, LimitReport(node.settings.host, (statement,)))

    async def tell_limits(self, host: str, targets: Iterable[str]) -> None:
        """Tell a host which of some targets have a limit."""
        node = self._node
        now = node.now()
        statements = tuple(
            make_limit_statement(target, now)
            for name in targets
            if (target := node.registry.targets.get(name)) is not None
            and target.availability.rate_limit.rate is not None
        )
        if statements:
            await self._send(host, LimitReport(node.settings.host, statements))

    async def tell_hosts(self, hosts: Iterable[str]) -> None:
        """Tell hosts that have appeared the limits of the targets coordinated here."""
        node = self._node
        now = node.now()
        limited = [
            name
            for name, target in node.registry.targets.items()
            if target.availability.rate_limit.rate is not None
            and self.coordinators.find(name, now) == node.settings.host
        ]
        if limited:
            for host in hosts:
                await self.tell_limits(host, limited)

    async def handle_message(self, message: LimitMessage) -> None:
        """Answer a query, or apply a reply or a report."""
        if isinstance(message, PermitQuery):
            await self._answer(message)
        elif isinstance(message, PermitReply):
            self.coordinators.record_answer(message.host)
            self._apply(message.statement, message.host)
            self._queries.deliver(message.number, message)
        else:
            outdated = [
                statement.target
                for statement in message.statements
                if self._apply(statement, message.host)
            ]
            now = self._node.now()
            newer = tuple(
                make_limit_statement(self._node.registry.targets[name], now)
                for name in outdated
            )
            if newer:
                report = LimitReport(self._node.settings.host, newer)
                await self._send(message.host, report)

    def _grant(self, target: TargetState, now: float) -> float:
        """Grant a permit, at a part of the rate if another host should grant it."""
        first = self.coordinators.find_first(target.entry.id)
        share = 1.0 if first == self._node.settings.host else SUBSTITUTE_SHARE
        return target.availability.rate_limit.take_permit(now, share)

    async def _answer(self, query: PermitQuery) -> None:
        node = self._node
        now = node.now()
        self._apply(query.statement, query.host)
        stated = query.statement
        target = find_instance(node.registry, stated.target, stated.born_ms)
        if target is None:
            wait_s, statement = UNDECIDED_WAIT_S, query.statement
        else:
            wait_s = self._grant(target, now)
            statement = make_limit_statement(target, now)
        reply = PermitReply(query.number, node.settings.host, wait_s, statement)
        await self._send(query.host, reply)

    async def _query(self, coordinator: str, target: TargetState) -> float:
        node = self._node

        async def send(number: int) -> None:
            statement = make_limit_statement(target, node.now())
            query = PermitQuery(number, node.settings.host, statement)
            await self._send(coordinator, query)

        reply = await self._queries.ask(send)
        if reply is not None:
            return reply.wait_s
        node.metrics.count("limit_permits_unanswered_total")
        if self.coordinators.record_timeout(coordinator, node.now()):
            record_event("permits-unanswered", subject=coordinator)
        return UNDECIDED_WAIT_S

    def _apply(self, statement: LimitStatement, host: str) -> bool:
        """Apply a peer's statement; return whether this host knows a newer one."""
        node = self._node
        return apply_limit_statement(node.registry, statement, host, node.now())

    async def _send(self, host: str, message: LimitMessage) -> None:
        await self._node.peers.send_to(host, encode_limit_message(message))
