"""
Learns the paces of all services' targets from this host's answers and its peers' reports.

Nothing is learned of a service until ``turn_on`` is called for it, which happens with the
first answer of one of its targets that reports four figures of its load.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .pace import (
    ServicePace,
    StreamGaps,
    blend,
    observe_read,
    observe_work,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .in_flight import InFlightRequest
    from .loads import TargetLoad
    from .model import Placement
    from .pace import PaceReport
    from .registry import TargetState

# Largest number of targets whose paces are listed for an operator.
MAX_LISTED = 64


class Paces:
    """The pace of each service; those of its targets are with the targets."""

    def __init__(self) -> None:
        self._services: defaultdict[str, ServicePace] = defaultdict(ServicePace)

    def turn_on(self, service: str) -> None:
        """Learn and use the paces of a service's targets from now on."""
        self._services[service].is_on = True

    def is_on(self, service: str) -> bool:
        """Whether the paces of a service's targets are learned and used."""
        pace = self._services.get(service)
        return pace is not None and pace.is_on

    def report(self, service: str, now: float) -> PaceReport | None:
        """Return the pace of a service's targets, or None if it isn't used."""
        pace = self._services.get(service)
        return pace.record.report(now) if pace is not None and pace.is_on else None

    def apply_peer_load(
        self, target: TargetState, load: TargetLoad, now: float
    ) -> None:
        """Add what a peer has observed of a target that this host coordinates."""
        if load.pace is not None:
            target.pace.record.add(load.pace, now)
            _observe_limit(target, load.pace, now)

    def record_refusal(self, placed: Placement, now: float) -> None:
        """Record that a target refused a request for want of room."""
        if placed.pace is not None:
            placed.target.pace.limit.record_refusal(placed.pace.streams, now)

    def observe_gap(
        self, request: InFlightRequest, gap_s: float, count: int, now: float
    ) -> None:
        """Add the time between two events of a stream; ``count`` arrived after it."""
        if request.gaps is not None:
            self._observe(request.target, request.gaps.add(gap_s, count), now)

    def observe_first_event(
        self, request: InFlightRequest, is_first: bool, now: float
    ) -> None:
        """
        Add the time to a first event.

        With ``is_first`` no prompts of other requests were read before this one, other
        than those known when it was sent.
        """
        target = request.target
        service = target.entry.service
        if not self.is_on(service):
            return
        request.gaps = StreamGaps()
        if not is_first or not request.slot_was_free:
            return
        service_pace = self._services[service].record.report(now)
        pace = blend(target.pace.record.report(now), service_pace)
        took_s = now - request.sent_at - pace.interval_s
        tokens = request.unread_tokens + request.tokens_ahead
        self._observe(target, observe_read(took_s, tokens), now)

    def observe_answer(
        self, request: InFlightRequest, usual_s: float, observed_s: float, now: float
    ) -> None:
        """Add the time of an answer without events, and what is usual for it."""
        target = request.target
        if request.unread_tokens or usual_s <= 0.0:
            return
        if self.is_on(target.entry.service):
            self._observe(target, observe_work(observed_s / usual_s), now)

    def _observe(
        self, target: TargetState, seen: PaceReport | None, now: float
    ) -> None:
        if seen is not None:
            target.pace.observe(seen, now)
            self._services[target.entry.service].record.add(seen, now)
            _observe_limit(target, seen, now)

    def list_factors(
        self, targets: Iterable[TargetState], now: float
    ) -> dict[str, float]:
        """Return how much longer than their services the slowest targets take."""
        factors = {}
        for target in targets:
            service_pace = self.report(target.entry.service, now)
            if service_pace is not None:
                pace = blend(target.pace.record.report(now), service_pace)
                factors[target.entry.id] = max(pace.event_factor, pace.work_factor)
        slowest = sorted(factors, key=lambda name: -factors[name])
        return {name: factors[name] for name in slowest[:MAX_LISTED]}


def _observe_limit(target: TargetState, seen: PaceReport, now: float) -> None:
    if seen.windows:
        in_flight = target.count_in_flight(now)
        target.pace.limit.observe(in_flight, target.entry.slots, seen.quiet, now)
