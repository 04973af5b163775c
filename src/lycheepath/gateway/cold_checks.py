"""
Learns from targets themselves that they are cold, while the store can't tell.

A probe that reaches a target again shows its start. One that has restarted is assumed to
be cold for the time that its service names. A target may also become cold without a
restart; while the store can't be read, the target's coordinator asks it for its health.
What a host learns it tells the others of its region, which share the rate of a cold
target, and hosts that have just started.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from ..adapters.cold_messages import (
    MAX_COLD_S,
    ColdReport,
    ColdTarget,
    encode_cold_report,
)
from ..adapters.events import record_event, record_fault
from ..core.addresses import parse_address
from ..core.catalog.model import Instance
from ..core.hosts.rendezvous import rank
from ..core.placement.cold import ASSUMED_COLD_S, MAX_COLD_SENDERS
from ..platform.targets import TargetAnswerError, read_cold_time, read_start
from .calls import CallFailedError, fetch

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..core.placement.registry import TargetState
    from .node import GatewayNode

# Interval between two health checks of a target while the store can't be read; a check
# takes a slot of the target like a request.
CHECK_INTERVAL_S = 0.15
# Time without an answer to a health check, which waits for a slot, after which it ends.
CHECK_TIMEOUT_S = 0.3
# Largest answer to a health check, whose body isn't used.
MAX_HEALTH_BYTES = 65_536
# Largest number of targets of which other hosts' reports are kept.
MAX_REPORTED = 4096


@dataclass(frozen=True, slots=True)
class _Reported:
    """What a host has said of a cold target."""

    born_ms: int
    until: float
    host: str


class ColdChecks:
    """
    State: the starts of targets whose announcements haven't been read yet, and reports of
    other hosts on targets that aren't listed yet.
    """

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self._starts: dict[str, int] = {}
        self._reported: dict[str, _Reported] = {}

    def count_senders(self) -> dict[str, int]:
        """Return the number of sending hosts for each cold target of this host."""
        node = self._node
        now = node.now()
        cold = [t for t in node.registry.targets.values() if t.cold.is_cold(now)]
        if not cold:
            return {}
        # Each of these hosts may send one request at once, so that together they
        # don't exceed the allowance.
        allowance = int(node.settings.bounds.cold_allowance)
        limit = max(1, min(MAX_COLD_SENDERS, allowance))
        local_host = node.settings.host
        live = node.peers.view.live_hosts(now, node.settings.region)
        hosts = [*(row.id for row in live), local_host]
        shares: dict[str, int] = {}
        for target in cold:
            senders = rank(target.entry.id, hosts)[:limit]
            if local_host in senders:
                shares[target.entry.id] = len(senders)
        return shares

    async def run(self) -> None:
        """Check the health of targets while the store can't be read."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            due = self._list_due()
            if not due:
                continue
            async with trio.open_nursery() as nursery:
                for target in due:
                    nursery.start_soon(self._check, target)

    async def record_report(
        self, target: TargetState, report: bytes, was_refused: bool
    ) -> None:
        """
        Record that a target was reached again, with its report.

        ``was_refused`` says that it had refused or ended a connection; without a start
        in its report it may have restarted then.
        """
        try:
            born_ms = read_start(report) if report else None
        except TargetAnswerError as error:
            record_fault("report-unread", subject=target.entry.id, reason=str(error))
            born_ms = None
        known_ms = self._find_start(target)
        restarted = born_ms > known_ms if born_ms and known_ms else was_refused
        if not restarted or target.service is None:
            return
        self._record_start(target, born_ms or 0)
        left_s = target.service.cold_start_s or ASSUMED_COLD_S
        target.cold.assume_cold(self._node.now(), left_s)
        await self._tell_cold(target, left_s, "restart")

    async def tell_hosts(self, hosts: Collection[str]) -> None:
        """Tell hosts that have appeared which targets are cold, for one host each."""
        node = self._node
        now = node.now()
        own = node.settings.host
        # Hosts that have just appeared may rank first and know nothing yet.
        knowing = [own, *(set(node.peers.list_local_hosts()) - set(hosts))]
        cold = [
            target
            for target in node.links.list_targets()
            if target.cold.is_cold(now) and rank(target.entry.id, knowing)[0] == own
        ]
        if cold:
            for host in hosts:
                await self._send(host, cold)

    def handle_report(self, report: ColdReport) -> None:
        """Apply what another host says of cold targets, also of those not listed yet."""
        now = self._node.now()
        for cold in report.targets[:MAX_REPORTED]:
            until = now + cold.left_s
            self._reported[cold.instance.target] = _Reported(
                cold.instance.born_ms, until, report.host
            )
        while len(self._reported) > MAX_REPORTED:
            del self._reported[next(iter(self._reported))]
        self.apply_reports()

    def apply_reports(self) -> None:
        """Apply what other hosts have said of targets that are listed now."""
        node = self._node
        now = node.now()
        listed = self._reported.keys() & node.registry.targets.keys()
        for name in listed:
            reported = self._reported.pop(name)
            target = node.registry.targets[name]
            left_s = reported.until - now
            if left_s <= 0.0 or 0 < reported.born_ms < self._find_start(target):
                continue
            self._record_start(target, reported.born_ms)
            if left_s > target.cold.left_s(now):
                self._log_cold(target, left_s, reported.host)
            target.cold.assume_cold(now, left_s)
        if listed:
            node.invalidate_context()

    def _list_coordinated(self) -> list[TargetState]:
        """Return the targets of the region that this host coordinates."""
        node = self._node
        find = node.coordination.coordinators.find_first
        return [
            target
            for target in node.links.list_targets()
            if find(target.entry.id) == node.settings.host
        ]

    def _list_due(self) -> list[TargetState]:
        """Return the targets that may have become cold without this host's knowledge."""
        node = self._node
        now = node.now()
        if node.store.is_current(now):
            return []
        return [
            target
            for target in self._list_coordinated()
            if target.service is not None
            and target.service.health_path
            and target.service.cold_per_s > 0.0
            and target.accepts_requests
            and not target.cold.is_cold(now)
            and not node.links.reachability.is_unreachable(target.entry.id)
        ]

    async def _check(self, target: TargetState) -> None:
        """Ask a target for its health."""
        assert target.service is not None
        node = self._node
        name = target.entry.id
        address = parse_address(target.entry.address)
        node.metrics.count("health_checks_total")
        try:
            answer = await fetch(
                node,
                address,
                target.service.health_path,
                CHECK_TIMEOUT_S,
                MAX_HEALTH_BYTES,
            )
            left_s = read_cold_time(answer.headers, name)
        except (CallFailedError, TargetAnswerError) as error:
            node.metrics.count("health_checks_failed_total")
            record_event("health-unread", subject=name, reason=str(error))
            return
        if left_s:
            left_s = min(left_s, MAX_COLD_S)
            target.cold.apply_health(left_s, node.now())
            await self._tell_cold(target, left_s, "health")

    async def _tell_cold(self, target: TargetState, left_s: float, source: str) -> None:
        """Place by a target's being cold from now on, and tell the region."""
        node = self._node
        node.invalidate_context()
        if not target.cold.is_cold(node.now()):
            return
        self._log_cold(target, left_s, source)
        node.metrics.count("targets_found_cold_total")
        for host in node.peers.list_local_hosts():
            await self._send(host, [target])

    async def _send(self, host: str, targets: Iterable[TargetState]) -> None:
        node = self._node
        now = node.now()
        cold = tuple(
            ColdTarget(
                Instance(target.entry.id, self._find_start(target)),
                min(MAX_COLD_S, target.cold.left_s(now)),
            )
            for target in targets
        )
        report = ColdReport(node.settings.host, cold)
        await node.peers.send_to(host, encode_cold_report(report))

    def _find_start(self, target: TargetState) -> int:
        """Return the latest known start of a target in Unix ms, 0 if unknown."""
        return max(target.entry.born_ms, self._starts.get(target.entry.id, 0))

    def _record_start(self, target: TargetState, born_ms: int) -> None:
        known = self._node.registry.targets
        self._starts = {
            name: at
            for name, at in self._starts.items()
            if name in known and at > known[name].entry.born_ms
        }
        if born_ms > self._find_start(target):
            self._starts[target.entry.id] = born_ms

    def _log_cold(self, target: TargetState, left_s: float, source: str) -> None:
        record_event(
            "target-cold",
            subject=target.entry.id,
            left_s=round(left_s, 3),
            source=source,
        )
