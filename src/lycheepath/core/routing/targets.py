"""
Registry of the targets known to this host.

The registry records the host's requests (started and ended) and the updates
that it receives (load reports, draining, cache events), and provides frozen
views for decisions. It holds only targets of the environment::

    registry = TargetRegistry(host="host-1")
    registry.apply(environment)
    registry.record_send(request, "runner-1", now)
    registry.record_first_token(request.id, now)
    registry.record_completion(request.id, now, generated_tokens=80)
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..environment.model import TargetKind
from ..hosts.rendezvous import hash_name
from .health import TargetHealth, may_eject
from .locality import LocalityRecord
from .reports import CacheEventKind, FailureKind, ModelState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..environment.model import Environment, Target
    from .reports import CacheEvent, LoadReport
    from .request import RoutedRequest

SLOWNESS_WEIGHT = 0.2
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 50.0
SERVICE_TIME_WEIGHT = 0.1
MAX_RECENT_REQUESTS = 64
MIN_ESTIMATE_S = 0.01
MAX_REPORT_AGE_S = 2.0


class InFlightError(AssertionError):
    """A request was recorded as in flight twice, or ended without being so."""


@dataclass(frozen=True, slots=True)
class TargetView:
    """
    An immutable snapshot of one target.

    ``in_flight`` counts this host's requests, ``others_in_flight`` those of
    other hosts at ``measured_at``, the time of the last load report (minus
    infinity if there was none). ``prefill_tokens`` is the number of prompt
    tokens of this host's requests that wait for their first token.

    ``slowness`` is the ratio of recent times to the first token to the expected
    ones (1 is as expected), ``decode_slowness`` the same for the tokens after
    it. ``service_s`` and ``answer_tokens`` are means over recent answers, zero
    before the first one. A target is paused after connections to it failed, and
    on probation until it answers again. ``oldest_wait_at`` and
    ``oldest_wait_estimate_s`` are the start and the estimate of the request
    that has waited longest for its first token. ``model_states`` holds the
    states that the target reported.
    """

    id: str
    region: str
    zone: str
    seed: int
    models: frozenset[str]
    slots: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    accelerators: int
    in_flight: int
    prefill_tokens: int
    others_in_flight: int
    queued: int
    measured_at: float
    kv_free_tokens: int | None
    slowness: float
    decode_slowness: float
    service_s: float
    answer_tokens: float
    oldest_wait_at: float
    oldest_wait_estimate_s: float
    failure_ratio: float
    ejected_until: float
    on_probation: bool
    paused_until: float
    draining: bool
    model_states: Mapping[str, ModelState]


@dataclass(slots=True)
class _InFlight:
    request: RoutedRequest
    target: str
    started_at: float
    estimate_s: float
    prefill_tokens: int
    first_token_at: float | None = None


@dataclass(slots=True)
class _TargetEntry:
    target: Target
    region: str
    in_flight: dict[str, _InFlight] = field(default_factory=dict)
    recent_requests: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_REQUESTS)
    )
    report: LoadReport | None = None
    measured_at: float = float("-inf")
    others_in_flight: int = 0
    slowness: float = 1.0
    decode_slowness: float = 1.0
    service_s: float = 0.0
    answer_tokens: float = 0.0
    listed_draining: bool = False
    cache_sequence: int = -1
    health: TargetHealth = field(default_factory=TargetHealth)
    view: TargetView | None = None

    def is_draining(self) -> bool:
        """Return whether the target or a list reports it as draining."""
        return self.listed_draining or (
            self.report is not None and self.report.draining
        )


class TargetRegistry:
    """All targets of the environment and this host's in-flight requests."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.locality = LocalityRecord()
        self._entries: dict[str, _TargetEntry] = {}
        self._requests: dict[str, _InFlight] = {}

    def apply(self, environment: Environment) -> None:
        """Apply a document; the state of targets that remain listed is kept."""
        regions = {zone.id: zone.region for zone in environment.zones}
        listed = {
            target.id: target
            for target in environment.targets
            if target.kind is TargetKind.RUNNER
        }
        for target_id in self._entries.keys() - listed.keys():
            self._remove_entry(target_id)
        for target in listed.values():
            self._update_entry(target, regions[target.zone])

    def record_send(
        self,
        request: RoutedRequest,
        target: str,
        now: float,
        estimate_s: float = 0.0,
        cached_tokens: int = 0,
    ) -> None:
        """
        Record that a request was sent.

        ``estimate_s`` is the expected time to its first token. Raises
        ``InFlightError`` if the request is already in flight.
        """
        entry = self._entries.get(target)
        if entry is None:
            return
        if request.id in self._requests:
            raise InFlightError(f"request {request.id} is already in flight")
        pending = _InFlight(
            request=request,
            target=target,
            started_at=now,
            estimate_s=max(estimate_s, MIN_ESTIMATE_S),
            prefill_tokens=max(0, request.prompt_tokens - cached_tokens),
        )
        self._requests[request.id] = pending
        entry.in_flight[request.id] = pending
        entry.view = None
        self.locality.store(target, request.prefix_blocks)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token: the target now caches the entire prompt."""
        pending = self._requests.get(request_id)
        if pending is None or pending.first_token_at is not None:
            return
        pending.first_token_at = now
        entry = self._entries[pending.target]
        entry.health.record_contact()
        observed = (now - pending.started_at) / pending.estimate_s
        observed = min(max(observed, MIN_SLOWNESS), MAX_SLOWNESS)
        entry.slowness += SLOWNESS_WEIGHT * (observed - entry.slowness)
        entry.view = None
        self.locality.store(pending.target, pending.request.prefix_blocks)

    def record_completion(
        self, request_id: str, now: float, generated_tokens: int
    ) -> None:
        """Record a complete answer."""
        pending = self._end_request(request_id, now)
        if pending is None:
            return
        entry = self._entries[pending.target]
        entry.health.record_success()
        took = now - pending.started_at
        if entry.service_s == 0.0:
            entry.service_s = took
            entry.answer_tokens = generated_tokens
        entry.service_s += SERVICE_TIME_WEIGHT * (took - entry.service_s)
        entry.answer_tokens += SERVICE_TIME_WEIGHT * (
            generated_tokens - entry.answer_tokens
        )
        if pending.first_token_at is not None and generated_tokens > 1:
            nominal = (generated_tokens - 1) / entry.target.decode_tokens_per_s
            observed = (now - pending.first_token_at) / nominal
            observed = min(max(observed, MIN_SLOWNESS), MAX_SLOWNESS)
            entry.decode_slowness += SLOWNESS_WEIGHT * (
                observed - entry.decode_slowness
            )

    def record_failure(self, request_id: str, kind: FailureKind, now: float) -> None:
        """Record a failed request; cancellation by the caller is no failure."""
        pending = self._end_request(request_id, now)
        if pending is None:
            return
        if kind in (FailureKind.REFUSED, FailureKind.DIED):
            self.locality.clear_target(pending.target)
        if kind in (FailureKind.CANCELLED, FailureKind.OVERLOADED):
            return
        entry = self._entries[pending.target]
        if kind is FailureKind.REFUSED:
            entry.health.record_refusal(now)
            self._pause_region(entry, now)
            return
        wrong = kind is FailureKind.WRONG_ANSWER
        if entry.health.record_failure(wrong) and self._may_eject(entry, now):
            entry.health.eject(now)

    def apply_load_report(
        self, target: str, report: LoadReport, measured_at: float
    ) -> None:
        """Apply a load report; one older than the last is ignored."""
        entry = self._entries.get(target)
        if entry is None or measured_at < entry.measured_at:
            return
        entry.report = report
        entry.measured_at = measured_at
        entry.health.record_report(measured_at)
        local_count = sum(
            each.started_at <= measured_at for each in entry.in_flight.values()
        )
        local_count += sum(
            start <= measured_at < end for start, end in entry.recent_requests
        )
        entry.others_in_flight = max(0, report.running + report.queued - local_count)
        entry.view = None

    def set_draining(self, target: str, draining: bool = True) -> None:
        """
        Record whether a list or another host reports a target as draining.

        The target's load reports are evaluated in addition to this.
        """
        entry = self._entries.get(target)
        if entry is not None:
            entry.listed_draining = draining
            entry.view = None

    def apply_cache_events(self, target: str, events: Iterable[CacheEvent]) -> None:
        """Apply cache events; those with an old sequence number are ignored."""
        entry = self._entries.get(target)
        if entry is None:
            return
        for event in events:
            if event.sequence <= entry.cache_sequence:
                continue
            entry.cache_sequence = event.sequence
            if event.kind is CacheEventKind.REMOVED:
                self.locality.remove_block(target, event.block)
            else:
                self.locality.store(target, (event.block,))

    def record_restart(self, target: str) -> None:
        """Clear the cache record and event sequence of a target that restarted."""
        entry = self._entries.get(target)
        if entry is not None:
            entry.cache_sequence = -1
            self.locality.clear_target(target)

    def views(self) -> tuple[TargetView, ...]:
        """Return a view of each target; views of unchanged targets are reused."""
        return tuple(
            entry.view or self._build_view(entry) for entry in self._entries.values()
        )

    def cached_tokens(self, request: RoutedRequest) -> dict[str, int]:
        """Return how many of the prompt's tokens each target probably caches."""
        return self.locality.cached_tokens(request.prefix_blocks)

    def count_in_flight(self, target: str) -> int:
        """Return the number of this host's requests at a target."""
        entry = self._entries.get(target)
        return len(entry.in_flight) if entry else 0

    def _update_entry(self, target: Target, region: str) -> None:
        entry = self._entries.get(target.id)
        if entry is None:
            self._entries[target.id] = _TargetEntry(target=target, region=region)
        else:
            entry.target = target
            entry.region = region
            entry.view = None
        self.locality.add_target(target.id, target.kv_tokens)

    def _remove_entry(self, target_id: str) -> None:
        entry = self._entries.pop(target_id)
        for request_id in entry.in_flight:
            del self._requests[request_id]
        self.locality.remove_target(target_id)

    def _end_request(self, request_id: str, now: float) -> _InFlight | None:
        pending = self._requests.pop(request_id, None)
        if pending is None:
            return None
        entry = self._entries[pending.target]
        if entry.in_flight.pop(request_id, None) is None:
            raise InFlightError(f"request {request_id} was not in flight")
        entry.recent_requests.append((pending.started_at, now))
        entry.view = None
        return pending

    def _pause_region(self, entry: _TargetEntry, now: float) -> None:
        """
        Pause the other targets of a region once two of them refuse connections.

        Targets that reported their load within ``MAX_REPORT_AGE_S`` are not
        paused.
        """
        peers = [
            other
            for other in self._entries.values()
            if other.region == entry.region and other is not entry
        ]
        if not any(now < other.health.paused_until for other in peers):
            return
        for other in peers:
            if (
                other.health.refusals == 0
                and other.measured_at < now - MAX_REPORT_AGE_S
            ):
                other.health.record_refusal(now)
                other.view = None

    def _may_eject(self, entry: _TargetEntry, now: float) -> bool:
        peers = [
            other
            for other in self._entries.values()
            if other.region == entry.region
            and not other.is_draining()
            and set(other.target.models) & set(entry.target.models)
        ]
        ejected = sum(
            other.health.is_ejected(now) for other in peers if other is not entry
        )
        return may_eject(ejected, len(peers))

    def _build_view(self, entry: _TargetEntry) -> TargetView:
        target = entry.target
        report = entry.report
        waiting = [
            each for each in entry.in_flight.values() if each.first_token_at is None
        ]
        oldest = waiting[0] if waiting else None
        entry.view = TargetView(
            id=target.id,
            region=entry.region,
            zone=target.zone,
            seed=hash_name(target.id),
            models=frozenset(target.models),
            slots=target.slots,
            prefill_tokens_per_s=target.prefill_tokens_per_s,
            decode_tokens_per_s=target.decode_tokens_per_s,
            accelerators=target.accelerators,
            in_flight=len(entry.in_flight),
            prefill_tokens=sum(each.prefill_tokens for each in waiting),
            others_in_flight=entry.others_in_flight,
            queued=report.queued if report else 0,
            measured_at=entry.measured_at,
            kv_free_tokens=report.kv_free_tokens if report else None,
            slowness=entry.slowness,
            decode_slowness=entry.decode_slowness,
            service_s=entry.service_s,
            answer_tokens=entry.answer_tokens,
            oldest_wait_at=oldest.started_at if oldest else float("inf"),
            oldest_wait_estimate_s=oldest.estimate_s if oldest else 0.0,
            failure_ratio=entry.health.failure_ratio,
            ejected_until=entry.health.ejected_until,
            on_probation=entry.health.on_probation or entry.health.refusals > 0,
            paused_until=entry.health.paused_until,
            draining=entry.is_draining(),
            model_states=report.models if report else {},
        )
        return entry.view
