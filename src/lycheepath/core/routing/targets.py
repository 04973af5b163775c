"""
The targets as this host knows them.

The book records what the host did (requests started and ended) and what it
was told (load reports, drains, cache events) and offers frozen views, from
which decisions are made. Only targets of the environment are held::

    book = TargetRegistry(host="host-1")
    book.apply(environment)
    book.started(request, "runner-1", now)
    book.first_token(request.id, now)
    book.finished(request.id, now, generated_tokens=80)
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

SLOWNESS_STEP = 0.2
SLOWNESS_FLOOR = 0.25
SLOWNESS_CEILING = 50.0
SERVICE_STEP = 0.1
RECENT_ENDS = 64
EMPTY_ESTIMATE_S = 0.01
SILENT_S = 2.0


class InFlightError(AssertionError):
    """The count of requests in flight to a target broke its invariant."""


@dataclass(frozen=True, slots=True)
class TargetView:
    """
    One target at one moment, as decisions see it.

    ``in_flight`` counts this host's own requests, ``others`` those of other
    hosts at the time ``measured_at`` of the last load report (minus infinity
    where there was none).
    ``prefill_tokens`` are prompt tokens sent from here and not yet answered.
    ``slowness`` compares recent times to the first token with what was
    expected (1 is as expected); ``service_s`` and ``answer_tokens`` are means of
    recent answers, zero before the first. A target is paused after connections
    to it failed and on probation until it answers again. ``oldest_wait_at`` and
    ``oldest_wait_estimate_s`` describe the request that has waited longest
    for its first token. ``model_states`` holds what the target reported.
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
    others: int
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
class _Entry:
    target: Target
    region: str
    in_flight: dict[str, _InFlight] = field(default_factory=dict)
    ends: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=RECENT_ENDS)
    )
    report: LoadReport | None = None
    measured_at: float = float("-inf")
    others: int = 0
    slowness: float = 1.0
    decode_slowness: float = 1.0
    service_s: float = 0.0
    answer_tokens: float = 0.0
    drained: bool = False
    cache_sequence: int = -1
    health: TargetHealth = field(default_factory=TargetHealth)
    view: TargetView | None = None

    def is_draining(self) -> bool:
        """Tell whether the target or anyone else says that it takes no work."""
        return self.drained or (self.report is not None and self.report.draining)


class TargetRegistry:
    """State: all targets of the environment and the requests in flight."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.locality = LocalityRecord()
        self._entries: dict[str, _Entry] = {}
        self._requests: dict[str, _InFlight] = {}

    def apply(self, environment: Environment) -> None:
        """Bring the book in line with a document; other knowledge is kept."""
        regions = {zone.id: zone.region for zone in environment.zones}
        wanted = {
            target.id: target
            for target in environment.targets
            if target.kind is TargetKind.RUNNER
        }
        for target_id in self._entries.keys() - wanted.keys():
            self._remove(target_id)
        for target in wanted.values():
            self._put(target, regions[target.zone])

    def record_send(
        self,
        request: RoutedRequest,
        target: str,
        now: float,
        estimate_s: float = 0.0,
        cached_tokens: int = 0,
    ) -> None:
        """Record that a request was sent; the estimate is to its first token."""
        entry = self._entries.get(target)
        if entry is None:
            return
        if request.id in self._requests:
            raise InFlightError(f"request {request.id} is in flight already")
        flight = _InFlight(
            request=request,
            target=target,
            started_at=now,
            estimate_s=max(estimate_s, EMPTY_ESTIMATE_S),
            prefill_tokens=max(0, request.prompt_tokens - cached_tokens),
        )
        self._requests[request.id] = flight
        entry.in_flight[request.id] = flight
        entry.view = None
        self.locality.store(target, request.prefix_blocks)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token: the target now holds the whole prompt."""
        flight = self._requests.get(request_id)
        if flight is None or flight.first_token_at is not None:
            return
        flight.first_token_at = now
        entry = self._entries[flight.target]
        entry.health.record_contact()
        observed = (now - flight.started_at) / flight.estimate_s
        observed = min(max(observed, SLOWNESS_FLOOR), SLOWNESS_CEILING)
        entry.slowness += SLOWNESS_STEP * (observed - entry.slowness)
        entry.view = None
        self.locality.store(flight.target, flight.request.prefix_blocks)

    def record_completion(
        self, request_id: str, now: float, generated_tokens: int
    ) -> None:
        """Record a whole answer."""
        flight = self._end(request_id, now)
        if flight is None:
            return
        entry = self._entries[flight.target]
        entry.health.record_success()
        took = now - flight.started_at
        if entry.service_s == 0.0:
            entry.service_s = took
            entry.answer_tokens = generated_tokens
        entry.service_s += SERVICE_STEP * (took - entry.service_s)
        entry.answer_tokens += SERVICE_STEP * (generated_tokens - entry.answer_tokens)
        if flight.first_token_at is not None and generated_tokens > 1:
            nominal = (generated_tokens - 1) / entry.target.decode_tokens_per_s
            observed = (now - flight.first_token_at) / nominal
            observed = min(max(observed, SLOWNESS_FLOOR), SLOWNESS_CEILING)
            entry.decode_slowness += SLOWNESS_STEP * (observed - entry.decode_slowness)

    def record_failure(self, request_id: str, kind: FailureKind, now: float) -> None:
        """Record a failed request; a caller's cancellation is no failure."""
        flight = self._end(request_id, now)
        if flight is None:
            return
        if kind in (FailureKind.REFUSED, FailureKind.DIED):
            self.locality.clear_target(flight.target)
        if kind in (FailureKind.CANCELLED, FailureKind.OVERLOADED):
            return
        entry = self._entries[flight.target]
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
        """Take in a load report; one older than the last is ignored."""
        entry = self._entries.get(target)
        if entry is None or measured_at < entry.measured_at:
            return
        entry.report = report
        entry.measured_at = measured_at
        entry.health.record_report(measured_at)
        own = sum(f.started_at <= measured_at for f in entry.in_flight.values())
        own += sum(start <= measured_at < end for start, end in entry.ends)
        entry.others = max(0, report.running + report.queued - own)
        entry.view = None

    def set_draining(self, target: str, draining: bool = True) -> None:
        """
        Record what others say of a target: it takes no new work, or does again.

        The target's own word, in its load reports, stands beside it.
        """
        entry = self._entries.get(target)
        if entry is not None:
            entry.drained = draining
            entry.view = None

    def cache_events(self, target: str, events: Iterable[CacheEvent]) -> None:
        """Take in cache events; a sequence that falls back means a restart."""
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

    def restarted(self, target: str) -> None:
        """Forget the cache and the events of a target that started anew."""
        entry = self._entries.get(target)
        if entry is not None:
            entry.cache_sequence = -1
            self.locality.clear_target(target)

    def views(self) -> tuple[TargetView, ...]:
        """Return a view of each target; unchanged ones are not built again."""
        return tuple(
            entry.view or self._build_view(entry) for entry in self._entries.values()
        )

    def cached_tokens(self, request: RoutedRequest) -> dict[str, int]:
        """Return the tokens of the prompt that each target probably holds."""
        return self.locality.cached_tokens(request.prefix_blocks)

    def in_flight(self, target: str) -> int:
        """Return the number of this host's requests at a target."""
        entry = self._entries.get(target)
        return len(entry.in_flight) if entry else 0

    def _put(self, target: Target, region: str) -> None:
        entry = self._entries.get(target.id)
        if entry is None:
            self._entries[target.id] = _Entry(target=target, region=region)
        else:
            entry.target = target
            entry.region = region
            entry.view = None
        self.locality.add_target(target.id, target.kv_tokens)

    def _remove(self, target_id: str) -> None:
        entry = self._entries.pop(target_id)
        for request_id in entry.in_flight:
            del self._requests[request_id]
        self.locality.remove_target(target_id)

    def _end(self, request_id: str, now: float) -> _InFlight | None:
        flight = self._requests.pop(request_id, None)
        if flight is None:
            return None
        entry = self._entries[flight.target]
        if entry.in_flight.pop(request_id, None) is None:
            raise InFlightError(f"request {request_id} was not in flight")
        entry.ends.append((flight.started_at, now))
        entry.view = None
        return flight

    def _pause_region(self, entry: _Entry, now: float) -> None:
        """Pause the region's other targets too once two of them refuse."""
        alike = [
            other
            for other in self._entries.values()
            if other.region == entry.region and other is not entry
        ]
        if not any(now < other.health.paused_until for other in alike):
            return
        for other in alike:
            if other.health.refusals == 0 and other.measured_at < now - SILENT_S:
                other.health.record_refusal(now)
                other.view = None

    def _may_eject(self, entry: _Entry, now: float) -> bool:
        alike = [
            other
            for other in self._entries.values()
            if other.region == entry.region
            and not other.is_draining()
            and set(other.target.models) & set(entry.target.models)
        ]
        ejected = sum(
            other.health.is_ejected(now) for other in alike if other is not entry
        )
        return may_eject(ejected, len(alike))

    def _build_view(self, entry: _Entry) -> TargetView:
        target = entry.target
        report = entry.report
        waiting = [f for f in entry.in_flight.values() if f.first_token_at is None]
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
            prefill_tokens=sum(f.prefill_tokens for f in waiting),
            others=entry.others,
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
