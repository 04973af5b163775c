"""
Refuses requests with a part of their prompts that ends the targets which serve them.

Connections that break and answers that complete become evidence here, and hosts share
it with their heartbeats. Whether an answer without framing was complete, its end alone
doesn't show: its parts are cleared once the same target is heard from again, and it is
a break if the target has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from ..adapters.events import record_event
from ..adapters.evidence_messages import encode_part_report
from ..core.hosts.rendezvous import rank
from ..core.reasons import Absent, Reason
from ..core.serving.part_evidence import (
    ALIVE_FROM_S,
    ALIVE_UNTIL_S,
    TRIAL_S,
    Instance,
    PartBlock,
    PartEvidence,
    PartReport,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.placement.registry import TargetState
    from .exchange import Exchange
    from .node import GatewayNode

# Time in seconds after its first event from which a request isn't suspected when its
# target ends: targets end when they begin to write.
BEGUN_S = 1.0
# Time for which new evidence is repeated with heartbeats.
REPORT_S = 0.5
# Interval at which all evidence is sent to one host of each region.
FULL_REPORT_S = 1.0
# Largest number of ends in a report, and its largest size.
MAX_REPORTED_ENDS = 24
MAX_REPORT_BYTES = 8192
# Longest id of a part that is kept as it is; longer ones are replaced by a digest.
MAX_PART_LENGTH = 32
# Time in seconds for which an answer without framing waits for a sign of life.
UNPROVEN_S = 6.0
# Largest number of such answers at all targets.
MAX_UNPROVEN = 1024


@dataclass(frozen=True, slots=True)
class _UnprovenAnswer:
    """An answer that may have been cut off when its connection ended."""

    instance: Instance
    at: float
    parts: tuple[str, ...]
    fingerprint: int


class PartContainment:
    """State: the evidence, unproven answers, and what was logged and shared."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.evidence = PartEvidence()
        self._unproven: list[_UnprovenAnswer] = []
        self._blocked: dict[str, PartBlock] = {}
        self._full_report_at: dict[str, float] = {}

    def count_blocked(self) -> int:
        """Return the number of blocked parts."""
        return len(self._blocked)

    def find_refusal(self, exchange: Exchange) -> Absent | None:
        """Return why a request is refused for a part of its prompt, or None."""
        parts = _list_parts(exchange)
        if not parts:
            return None
        node = self._node
        now = node.now()
        block = self.evidence.find_block(parts, now)
        if block is None:
            return None
        if exchange.on_trial or self._may_try(block, exchange, now):
            return None
        age_s = now - block.last_end_at
        wait_s = max(block.until - now, TRIAL_S)
        node.metrics.count("part_refusals_total")
        record_event(
            "part-refused",
            request=exchange.request_head.id,
            part=block.part,
            together=sorted(block.together),
            targets=block.targets,
            last_end_s_ago=round(age_s, 3),
            for_s=round(wait_s, 3),
        )
        detail = (
            f"{len(block.targets)} targets ended under part {block.part} of the prompt,"
            f" the last {age_s:.1f} s ago"
        )
        return Absent(Reason.QUARANTINED, wait_s, detail)

    def record_break(self, exchange: Exchange, target: TargetState) -> None:
        """Record that a target ended the connection of a request that it served."""
        node = self._node
        now = node.now()
        began_at = node.registry.find_first_event_at(exchange.number)
        if _is_leaving(target, now):
            return
        if began_at is None or now - began_at < BEGUN_S:
            parts = _list_parts(exchange)
            if parts:
                self.evidence.record_break(_name_instance(target), parts, now)
        self._fail_unproven(_name_instance(target), now)

    def record_refused_connection(self, target: TargetState) -> None:
        """Record that no process listens at a target's address."""
        self._fail_unproven(_name_instance(target), self._node.now())

    def record_answer(self, exchange: Exchange, target: TargetState) -> None:
        """Record an answer that has ended without an error."""
        node = self._node
        now = node.now()
        parts = _list_parts(exchange)
        if exchange.ended_with_connection:
            answer = _UnprovenAnswer(
                _name_instance(target), now, parts, exchange.fingerprint
            )
            self._unproven.append(answer)
            del self._unproven[:-MAX_UNPROVEN]
            return
        self._record_proven(target.entry.id, parts, exchange.fingerprint, now)
        self.record_contact(target)

    def record_contact(self, target: TargetState) -> None:
        """Record that a target was heard from: it hasn't ended."""
        now = self._node.now()
        instance = _name_instance(target)
        if self.evidence.record_contact(instance, now):
            record_event("target-alive-after-break", subject=instance.target)
        if not self._unproven:
            return
        proven = [
            answer
            for answer in self._unproven
            if answer.instance == instance and now - answer.at >= ALIVE_FROM_S
        ]
        for answer in proven:
            self._unproven.remove(answer)
            self._record_proven(instance.target, answer.parts, answer.fingerprint, now)

    def apply_report(self, report: PartReport) -> None:
        """Merge the evidence of another host."""
        self.evidence.apply_report(report, self._node.now())

    def update(self, now: float) -> None:
        """Look for signs of life, forget old evidence, and log changed blocks."""
        for instance, ended_at in self.evidence.list_unsettled(now):
            target = self._node.registry.targets.get(instance.target)
            if target is None or _name_instance(target) != instance:
                continue
            if target.last_contact_at >= ended_at + ALIVE_FROM_S:
                self.record_contact(target)
        self._unproven = [a for a in self._unproven if now - a.at <= UNPROVEN_S]
        self.evidence.expire(now)
        blocked = {block.part: block for block in self.evidence.list_blocks(now)}
        for part, block in blocked.items():
            if part not in self._blocked:
                record_event(
                    "part-blocked",
                    subject=part,
                    together=sorted(block.together),
                    targets=block.targets,
                    last_end_s_ago=round(now - block.last_end_at, 3),
                    for_s=round(block.until - now, 3),
                )
        for part in self._blocked.keys() - blocked.keys():
            record_event("part-unblocked", subject=part)
        self._blocked = blocked

    def write_new_evidence(self, now: float) -> bytes:
        """Return a datagram with what is new to this host, or no bytes."""
        return self._write_report(now, now - REPORT_S)

    def is_full_report_due(self, region: str, now: float) -> bool:
        """Whether a region is to get all evidence again; if so, it counts as sent."""
        if now - self._full_report_at.get(region, float("-inf")) < FULL_REPORT_S:
            return False
        self._full_report_at[region] = now
        return True

    def write_all_evidence(self, now: float) -> bytes:
        """Return a datagram with all evidence, or no bytes."""
        return self._write_report(now, float("-inf"))

    def _write_report(self, now: float, since: float) -> bytes:
        for max_ends in _halve(MAX_REPORTED_ENDS):
            report = self.evidence.report(now, since, max_ends)
            if not report:
                return b""
            data = encode_part_report(report)
            if len(data) <= MAX_REPORT_BYTES:
                return data
        self._node.metrics.count("part_reports_too_large_total")
        return b""

    def _may_try(self, block: PartBlock, exchange: Exchange, now: float) -> bool:
        """Whether a request tries a blocked part; only one host lets it, when due."""
        if now < block.until:
            return False
        node = self._node
        hosts = [row.id for row in node.peers.view.live_hosts(now)]
        owner = rank(block.part, [*hosts, node.settings.host])[0]
        if owner != node.settings.host or not self.evidence.start_trial(block, now):
            return False
        exchange.on_trial = True
        record_event("part-trial", request=exchange.request_head.id, part=block.part)
        return True

    def _record_proven(
        self, target_id: str, parts: tuple[str, ...], fingerprint: int, now: float
    ) -> None:
        self.evidence.record_answer(parts, now)
        self._node.suspects.record_answer(fingerprint, target_id, now)

    def _fail_unproven(self, instance: Instance, now: float) -> None:
        """Take the latest answers of a target that has ended for broken."""
        failed = [
            answer
            for answer in self._unproven
            if answer.instance == instance and now - answer.at <= ALIVE_UNTIL_S
        ]
        for answer in failed:
            self._unproven.remove(answer)
            if answer.parts:
                self.evidence.record_break(instance, answer.parts, now)
            self._node.suspects.record_disconnect(
                answer.fingerprint, instance.target, now
            )


def _list_parts(exchange: Exchange) -> tuple[str, ...]:
    return tuple(
        part
        if len(part) <= MAX_PART_LENGTH
        else blake2b(part.encode(), digest_size=12).hexdigest()
        for part in exchange.shared_parts
    )


def _name_instance(target: TargetState) -> Instance:
    return Instance(target.entry.id, target.entry.born_ms)


def _is_leaving(target: TargetState, now: float) -> bool:
    """Whether a target is expected to end."""
    return target.entry.draining or target.availability.is_withdrawn(now)


def _halve(number: int) -> Iterator[int]:
    while number:
        yield number
        number //= 2
