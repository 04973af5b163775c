"""
Refuses requests that end the targets which serve them.

They may have nothing in common but one part of their prompts. Connections that break
and answers that complete become evidence here, and hosts share it with their heartbeats.
Whether an answer without framing was complete, its end alone doesn't show: its features
are cleared once the same target is heard from again, and it is a break if the target has
ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..adapters.crash_messages import encode_crash_report
from ..adapters.events import record_event
from ..core.hosts.rendezvous import rank
from ..core.reasons import Absent, Reason
from ..core.serving.crash_evidence import (
    ALIVE_FROM_S,
    ALIVE_UNTIL_S,
    TRIAL_PAUSE_S,
    TRIAL_TURN_S,
    CrashBlock,
    CrashEvidence,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from ..core.catalog.model import Instance
    from ..core.placement.registry import TargetState
    from ..core.serving.crash_reports import CrashReport
    from .attempts import Attempt
    from .exchange import Exchange
    from .node import GatewayNode

# Time in seconds after its first event from which a request isn't suspected when its
# target ends: targets end when they begin to write.
BEGUN_S = 1.0
# Shortest time in seconds after which a caller may come again: the trial is due.
MIN_RETRY_S = 1.0
# Time for which new evidence is repeated with heartbeats.
REPORT_S = 0.5
# Interval at which all evidence is sent to one host of each region.
FULL_REPORT_S = 1.0
# Largest number of ends in a report, and its largest size.
MAX_REPORTED_ENDS = 24
MAX_REPORT_BYTES = 8192
# Time in seconds for which an answer without framing waits for a sign of life.
UNPROVEN_S = 6.0
# Largest number of such answers at all targets.
MAX_UNPROVEN = 1024


@dataclass(frozen=True, slots=True)
class _UnprovenAnswer:
    """An answer that may have been cut off when its connection ended."""

    instance: Instance
    at: float
    features: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotedBreak:
    """The end of a connection, which is evidence if the target has ended it."""

    instance: Instance
    at: float
    features: tuple[str, ...]
    sent_at: float
    began_at: float | None


class Containment:
    """State: the evidence, unproven answers, and what was logged and shared."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        self.evidence = CrashEvidence()
        self.evidence.has_peers = False
        self._unproven: list[_UnprovenAnswer] = []
        self._blocked: dict[str, CrashBlock] = {}
        self._full_report_at: dict[str, float] = {}
        # The blocked features that requests in progress try, by their numbers.
        self._tried: dict[int, str] = {}

    def count_blocked(self) -> int:
        """Return the number of blocked features."""
        return len(self._blocked)

    def find_refusal(self, exchange: Exchange) -> Absent | None:
        """Return why a request is refused since it would end a target, or None."""
        node = self._node
        now = node.now()
        block = self.evidence.find_block(exchange.features, now)
        if block is None:
            return None
        first_try = not exchange.attempts.may_have_run
        if first_try and (exchange.on_trial or self._may_try(block, exchange, now)):
            return None
        wait_s = max(block.until - now, MIN_RETRY_S)
        node.metrics.count("suspect_refusals_total")
        record_event(
            "suspect-refused",
            request=exchange.request_head.id,
            feature=block.feature,
            together=sorted(block.together),
            targets=block.targets,
            last_end_s_ago=round(now - block.last_end_at, 3),
            for_s=round(wait_s, 3),
        )
        return Absent(Reason.QUARANTINED, wait_s, _describe_block(block, now))

    def explain_block(self, features: Sequence[str]) -> str | None:
        """Return why requests with some features are refused now, or None."""
        now = self._node.now()
        block = self.evidence.find_block(features, now)
        return None if block is None else _describe_block(block, now)

    def note_break(self, attempt: Attempt, target: TargetState) -> NotedBreak | None:
        """Return what the end of a request's connection shows, None if it was due."""
        now = self._node.now()
        exchange = attempt.exchange
        request = self._node.registry.find_request(attempt.number)
        if request is None or _is_leaving(target, now):
            return None
        if self._is_fall(target):
            self._node.metrics.count("falls_suspected_total")
            record_event(
                "target-fall-suspected",
                request=exchange.request_head.id,
                target=target.entry.id,
            )
            instance = target.entry.instance
            self._unproven = [a for a in self._unproven if a.instance != instance]
            return None
        return NotedBreak(
            target.entry.instance,
            now,
            exchange.features,
            request.sent_at,
            request.first_event_at,
        )

    def record_break(self, noted: NotedBreak) -> None:
        """Record that a target ended the connection of a request that it served."""
        began_at, at = noted.began_at, noted.at
        if began_at is None or at - began_at < BEGUN_S:
            self.evidence.record_break(
                noted.instance, noted.features, at, noted.sent_at
            )
        self._fail_unproven(noted.instance, at)

    def record_refused_connection(self, target: TargetState) -> None:
        """Record that no process listens at a target's address."""
        if self._is_fall(target):
            return
        self._fail_unproven(target.entry.instance, self._node.now())

    def record_answer(
        self, exchange: Exchange, target: TargetState, ended_with_connection: bool
    ) -> None:
        """
        Record an answer that has ended without an error.

        One without framing ended with its connection.
        """
        node = self._node
        now = node.now()
        if ended_with_connection:
            answer = _UnprovenAnswer(target.entry.instance, now, exchange.features)
            self._unproven.append(answer)
            del self._unproven[:-MAX_UNPROVEN]
            return
        self.evidence.record_answer(exchange.features, now)
        self.record_contact(target)

    def record_contact(self, target: TargetState) -> None:
        """Record that a target was heard from: it hasn't ended."""
        now = self._node.now()
        instance = target.entry.instance
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
            self.evidence.record_answer(answer.features, now)

    def end_trial(self, exchange: Exchange) -> None:
        """Let another request try what this one tried, if it has ended no target."""
        feature = self._tried.pop(exchange.number, None)
        if feature is not None:
            self.evidence.end_trial(feature, self._node.now())

    def apply_report(self, report: CrashReport) -> None:
        """Merge the evidence of another host."""
        self.evidence.apply_report(report, self._node.now())

    def update(self, now: float) -> None:
        """Look for signs of life, forget old evidence, and log changed blocks."""
        self.evidence.has_peers = bool(self._node.peers.view.live_hosts(now))
        for instance, ended_at in self.evidence.list_unsettled(now):
            target = self._node.registry.targets.get(instance.target)
            if target is None or target.entry.instance != instance:
                continue
            if target.last_contact_at >= ended_at + ALIVE_FROM_S:
                self.record_contact(target)
        self._unproven = [a for a in self._unproven if now - a.at <= UNPROVEN_S]
        self.evidence.expire(now)
        blocked = {block.feature: block for block in self.evidence.list_blocks(now)}
        for feature, block in blocked.items():
            if feature not in self._blocked:
                record_event(
                    "suspect-blocked",
                    subject=feature,
                    together=sorted(block.together),
                    targets=block.targets,
                    last_end_s_ago=round(now - block.last_end_at, 3),
                    for_s=round(block.until - now, 3),
                )
        for feature in self._blocked.keys() - blocked.keys():
            record_event("suspect-unblocked", subject=feature)
        self._blocked = blocked

    def write_new_evidence(self, now: float) -> bytes:
        """Return a datagram with what is new to this host, or no bytes."""
        return self._write_report(now, now - REPORT_S)

    def start_full_report(self, region: str, now: float) -> bool:
        """Return whether a region is due to get all evidence; it counts as sent then."""
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
            data = encode_crash_report(report)
            if len(data) <= MAX_REPORT_BYTES:
                return data
        self._node.metrics.count("crash_reports_too_large_total")
        return b""

    def _may_try(self, block: CrashBlock, exchange: Exchange, now: float) -> bool:
        """
        Whether a request tries what is blocked.

        When it is due, one host after the other may let one do so, in the order of rank. A
        request that has run isn't sent again for it.
        """
        if now < block.until:
            return False
        node = self._node
        hosts = [row.id for row in node.peers.view.live_hosts(now)]
        order = rank(block.feature, [*hosts, node.settings.host])
        turn_at = (
            block.until
            + self.evidence.count_earlier_trials(block, now) * TRIAL_TURN_S
            + order.index(node.settings.host) * TRIAL_PAUSE_S
        )
        if now < turn_at or not self.evidence.start_trial(block, now):
            return False
        exchange.on_trial = True
        self._tried[exchange.number] = block.feature
        record_event(
            "suspect-trial", request=exchange.request_head.id, feature=block.feature
        )
        return True

    def _is_fall(self, target: TargetState) -> bool:
        """
        Whether a brittle target may have ended for what it turned away.

        That says nothing about the requests that it was serving.
        """
        node = self._node
        if node.grants.find_limit(target) is None:
            return False
        return target.availability.room.may_fall(node.now())

    def _fail_unproven(self, instance: Instance, now: float) -> None:
        """Take the latest answers of a target that has ended for broken."""
        failed = [
            answer
            for answer in self._unproven
            if answer.instance == instance and now - answer.at <= ALIVE_UNTIL_S
        ]
        for answer in failed:
            self._unproven.remove(answer)
            self.evidence.record_break(instance, answer.features, now)


def _is_leaving(target: TargetState, now: float) -> bool:
    """Whether a target is expected to end."""
    return target.entry.draining or target.availability.is_withdrawn(now)


def _halve(number: int) -> Iterator[int]:
    while number:
        yield number
        number //= 2


def _describe_block(block: CrashBlock, now: float) -> str:
    return (
        f"targets went down under {block.feature}: {len(block.targets)} of them,"
        f" the last {now - block.last_end_at:.1f} s ago"
    )
