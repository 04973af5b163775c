"""
Tracks the targets known to this host, their in-flight requests and their health.

The registry records the requests that this host sends and their outcomes, the
loads that peers report, and what targets announce. Placement estimates are
derived from it::

    registry.record_start(key, target, priority, unread_tokens, now)
    registry.record_events(key, 1, now)
    registry.record_end(key, AttemptOutcome.COMPLETED, now)
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ..catalog.catalog import StateChange, has_restarted, is_new_instance
from ..routing.health import TargetHealth, may_eject
from .accuracy import EstimateErrors
from .availability import Availability, SavedAvailability
from .brittleness import BrittleServices
from .candidates import OwnerRanking
from .cold import ColdRateLimit
from .in_flight import InFlightRequest
from .loads import PeerLoads, TargetLoad
from .outcomes import AttemptOutcome
from .pace import TargetPace
from .paces import Paces
from .prompts import PromptCache
from .region_waits import RegionWaits
from .slowdown import Slowdown
from .speed import SpeedModel

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..catalog.catalog import Catalog
    from ..catalog.model import Service, TargetEntry
    from ..catalog.routes import RouteTable
    from ..serving.requests import PromptPart
    from .accuracy import FirstEventEstimate
    from .pace import PaceReport

# Assumed time between two events of a stream before any has been observed.
INITIAL_EVENT_INTERVAL_S = 0.05
# Weight of one observed gap between events in the moving average; a busy target
# yields some tens of gaps per second.
EVENT_INTERVAL_WEIGHT = 0.02
# Weight of a peer's reported event interval in the moving average.
PEER_EVENT_INTERVAL_WEIGHT = 0.3
# Share of an engine's KV memory assumed to hold cached prompt parts; the rest holds
# running requests.
CACHE_SHARE = 0.85


@dataclass(slots=True, eq=False)
class TargetState:
    """A target's announcement, and what this host has observed of it."""

    entry: TargetEntry
    region: str
    service: Service | None = None
    cache: PromptCache = field(default_factory=PromptCache)
    cold: ColdRateLimit = field(default_factory=ColdRateLimit)
    health: TargetHealth = field(default_factory=TargetHealth)
    requests: dict[int, InFlightRequest] = field(default_factory=dict)
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    availability: Availability = field(default_factory=Availability)
    evacuated: bool = False
    last_contact_at: float = float("-inf")
    event_interval_s: float = INITIAL_EVENT_INTERVAL_S
    slowdown: Slowdown = field(default_factory=Slowdown)
    pace: TargetPace = field(default_factory=TargetPace)

    def set_service(self, service: Service | None) -> None:
        """Apply what the configuration says of the service, which may change."""
        self.service = service
        engine = service.engine if service else None
        self.cache.set_capacity(int(engine.kv_tokens * CACHE_SHARE) if engine else 0)
        self.cold.set_rate(service.cold_per_s if service else 0.0)

    def count_in_flight(self, now: float) -> int:
        """Return the number of in-flight requests, those of peers included."""
        count = sum(request.counts_here(now) for request in self.requests.values())
        return count + self.peer_loads.in_flight

    def count_unread_tokens(self, now: float) -> Counter[int]:
        """Return the prompt tokens still to be read, by request priority."""
        unread_tokens = Counter(self.peer_loads.tokens)
        for request in self.requests.values():
            if request.first_event_at is None and request.counts_here(now):
                unread_tokens[request.priority] += request.unread_tokens
        return unread_tokens

    def count_tokens_ahead(self, priority: int, now: float) -> int:
        """Return the tokens that are read before those of a new request."""
        return sum_tokens_ahead(self.count_unread_tokens(now), priority)

    def report_pace(self, now: float) -> PaceReport:
        """Return what is known of the target's pace."""
        return self.pace.report(self.entry.slots, now)

    def find_oldest_waiting(self, relayed: bool = False) -> InFlightRequest | None:
        """
        Return this host's oldest request that has no event yet, or None.

        With ``relayed``, those that other hosts send to the target count too.
        """
        for request in self.requests.values():
            if request.first_event_at is None and (relayed or not request.relayed):
                return request
        return None

    def describe_trust(self, now: float) -> str:
        """Return the target's trust state for the log."""
        if self.health.is_ejected(now):
            return "ejected"
        if self.health.is_paused(now):
            return "paused"
        return "on probation" if self.health.on_probation else "trusted"

    @property
    def accepts_requests(self) -> bool:
        """Whether neither the operator nor the target has stopped new requests."""
        return not (self.evacuated or self.entry.draining)


class TargetRegistry:
    """
    The known targets and this host's in-flight requests.

    ``state_changes`` are changes of targets' states that haven't been logged yet.
    Until ``unsynchronized_until`` no speeds are learned, because a host that has just
    started doesn't know what load its requests waited behind.
    """

    def __init__(self) -> None:
        self.targets: dict[str, TargetState] = {}
        self.speeds: dict[str, SpeedModel] = {}
        self.paces = Paces()
        self.state_changes: list[StateChange] = []
        self._by_service: dict[str, list[TargetState]] = {}
        self._by_region: dict[tuple[str, str], list[TargetState]] = {}
        self._routes: RouteTable | None = None
        self._requests: dict[int, InFlightRequest] = {}
        self.brittle_services = BrittleServices()
        self.region_waits = RegionWaits()
        self.estimate_errors = EstimateErrors()
        self.unsynchronized_until = float("-inf")
        self.owner_ranking = OwnerRanking()
        self._saved = SavedAvailability()

    def update(
        self, catalog: Catalog, zone_regions: Mapping[str, str], now: float
    ) -> None:
        """Apply the catalog; what was observed of known targets is kept."""
        services = catalog.routes.configuration.services if catalog.routes else {}
        for target in self.targets.keys() - catalog.targets.keys():
            state = self.targets.pop(target)
            self._saved.save(state.entry, state.availability, now, bool(state.requests))
        for entry in catalog.targets.values():
            region = zone_regions.get(entry.zone, "")
            self._put_target(entry, region, services.get(entry.service), now)
            self.targets[entry.id].evacuated = entry.zone in catalog.evacuated
        self._routes = catalog.routes
        self._by_service = {}
        by_region: dict[tuple[str, str], list[TargetState]] = {}
        for state in self.targets.values():
            service = state.entry.service
            self._by_service.setdefault(service, []).append(state)
            by_region.setdefault((service, state.region), []).append(state)
        if by_region != self._by_region:
            self._by_region = by_region
            self.owner_ranking.clear()

    def is_unsynchronized(self, now: float) -> bool:
        """Whether the load of peers may not be known yet."""
        return now < self.unsynchronized_until

    def list_service_targets(self, service: str) -> list[TargetState]:
        """Return all targets of a service, whatever their state."""
        return self._by_service.get(service, [])

    def has_targets(self, service: str, homes: frozenset[str]) -> bool:
        """Whether a service has a target, in ``homes`` unless it is empty."""
        targets = self.list_service_targets(service)
        return any(not homes or target.region in homes for target in targets)

    def list_region_targets(self, service: str, region: str) -> list[TargetState]:
        """Return the targets of a service in one region."""
        return self._by_region.get((service, region), [])

    def find_highest_priority(self, service: str, priority: int) -> int:
        """Return the highest priority among a service's routes and ``priority``."""
        if self._routes is None:
            return priority
        return self._routes.highest_priority(service, priority)

    def speed(self, service: str) -> SpeedModel:
        """Return the speed model of a service's targets."""
        model = self.speeds.get(service)
        if model is None:
            model = self.speeds[service] = SpeedModel()
        return model

    def record_start(
        self,
        key: int,
        target: TargetState,
        priority: int,
        unread_tokens: int,
        now: float,
        tokens_ahead: int | None = None,
        slot_was_free: bool = True,
        expected: FirstEventEstimate | None = None,
    ) -> None:
        """
        Record that a request is being sent.

        ``tokens_ahead`` are the tokens read before it according to the target's
        coordinator; if None, those known to this host are counted.
        """
        target.cold.record_send(now)
        if tokens_ahead is None:
            tokens_ahead = target.count_tokens_ahead(priority, now)
        request = InFlightRequest(
            target,
            now,
            priority,
            unread_tokens,
            tokens_ahead,
            slot_was_free=slot_was_free,
            expected=expected,
        )
        target.requests[key] = request
        self._requests[key] = request

    def record_relay(
        self,
        key: int,
        target: TargetState,
        priority: int,
        unread_tokens: int,
        now: float,
        expected: FirstEventEstimate | None = None,
    ) -> None:
        """Record that a request is relayed to a target by a host of its region."""
        request = InFlightRequest(
            target, now, priority, unread_tokens, 0, relayed=True, expected=expected
        )
        target.requests[key] = request
        self._requests[key] = request

    def record_prompt_parts(
        self, target: TargetState, parts: Iterable[PromptPart]
    ) -> None:
        """Record that a target reads the parts of a prompt."""
        target.cache.use(parts)

    def record_events(self, key: int, count: int, now: float) -> TargetState | None:
        """
        Record events of an answer.

        Return the target if they are the first events of a request that this host
        sent to it directly: the target has read the prompt.
        """
        request = self._requests.get(key)
        if request is None:
            return None
        before, request.last_event_at = request.last_event_at, now
        target = request.target
        if request.relayed:
            if request.first_event_at is None:
                request.first_event_at = now
                self._observe_estimate_error(request, now)
            return None
        target.last_contact_at = now
        target.health.record_activity()
        if request.first_event_at is not None:
            if before is not None:
                self.paces.observe_gap(request, now - before, count, now)
                gap_s = (now - before) / max(1, count)
                target.event_interval_s += EVENT_INTERVAL_WEIGHT * (
                    gap_s - target.event_interval_s
                )
            return None
        request.first_event_at = now
        self._observe_estimate_error(request, now)
        target.health.record_contact()
        service = target.entry.service
        if not self.is_unsynchronized(request.sent_at):
            highest = self.find_highest_priority(service, request.priority)
            is_first = request.priority <= highest
            self.paces.observe_first_event(request, is_first, now)
        if request.slot_was_free and not self.is_unsynchronized(request.sent_at):
            speed = self.speed(service)
            took_s = max(0.0, now - request.sent_at - target.event_interval_s)
            speed.observe_read(took_s, request.unread_tokens + request.tokens_ahead)
        return target

    def record_relayed_answer(self, key: int, now: float) -> None:
        """Record that the answer to a relayed request is complete."""
        request = self._requests.get(key)
        if request is not None:
            speed = self.speed(request.target.entry.service)
            speed.observe_relayed_answer(now - request.sent_at)

    def find_request(self, key: int) -> InFlightRequest | None:
        """Return an in-flight request of this host, or None."""
        return self._requests.get(key)

    def record_end(self, key: int, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of a request."""
        request = self._requests.pop(key, None)
        if request is None:
            return
        target = request.target
        target.requests.pop(key, None)
        before = target.describe_trust(now)
        self._update_health(target, request, outcome, now)
        after = target.describe_trust(now)
        if before != after:
            detail = f"{before} to {after} after {outcome.value}"
            self.state_changes.append(
                StateChange("target-trust", target.entry.id, detail)
            )

    def _update_health(
        self,
        target: TargetState,
        request: InFlightRequest,
        outcome: AttemptOutcome,
        now: float,
    ) -> None:
        """Update a target's health from the outcome of a request."""
        health = target.health
        if outcome is AttemptOutcome.COMPLETED:
            health.record_success()
            target.last_contact_at = now
            if request.first_event_at is None:
                self._observe_estimate_error(request, now)
            began_s = (request.first_event_at or now) - request.sent_at
            speed = self.speed(target.entry.service)
            speed.observe_answer(began_s, now - request.sent_at)
        elif outcome is AttemptOutcome.REPLACED:
            if target.availability.record_gone(now):
                self._record_change(target, "target-replaced", target.entry.address)
        elif outcome is AttemptOutcome.REFUSED:
            health.record_refusal(now)
            target.cold.assume_cold(now)
        elif outcome in (
            AttemptOutcome.FAILED,
            AttemptOutcome.INVALID,
            AttemptOutcome.TIMED_OUT,
        ):
            invalid = outcome is AttemptOutcome.INVALID
            if health.record_failure(invalid) and self._may_eject(target, now):
                health.eject(now)

    def apply_peer_load(
        self, host: str, target_id: str, load: TargetLoad, now: float
    ) -> None:
        """Replace the load that a peer has at a target."""
        target = self.targets.get(target_id)
        if target is None:
            return
        started = load.in_flight - target.peer_loads.count(host)
        target.availability.room.confirm(host, started)
        target.peer_loads.put(host, load, now)
        self.paces.apply_peer_load(target, load, now)
        if load.in_flight:
            target.event_interval_s += PEER_EVENT_INTERVAL_WEIGHT * (
                load.event_interval_s - target.event_interval_s
            )

    def remove_peer(self, host: str) -> None:
        """Remove the load of a peer that is unreachable."""
        for target in self.targets.values():
            target.peer_loads.remove(host)

    def expire_peer_loads(self, now: float) -> None:
        """Remove loads that peers haven't reported again in time."""
        for target in self.targets.values():
            target.peer_loads.expire(now)

    def record_draining(self, target_id: str, now: float) -> None:
        """Record that a target, listed or not, announced that it is draining."""
        target = self.targets.get(target_id)
        availability = target.availability if target else self._saved.find(target_id)
        if availability is not None and availability.record_draining(now):
            self.state_changes.append(
                StateChange("target-leaving", target_id, "by its own word")
            )

    def record_busy(self, target_id: str, wait_s: float, now: float) -> None:
        """Record that a target refuses this host's requests for ``wait_s`` seconds."""
        target = self.targets.get(target_id)
        if target is not None and target.availability.record_refusal(wait_s, now):
            self._record_change(target, "target-busy", f"for {wait_s:.3f} s")

    def apply_gone_report(self, target_id: str, now: float) -> None:
        """Apply a peer's report that a target is draining or gone."""
        target = self.targets.get(target_id)
        if target is not None and target.availability.apply_gone_report(now):
            self._record_change(target, "target-gone-by-peer", target.entry.address)

    def list_gone_targets(self, now: float, within_s: float) -> tuple[str, ...]:
        """
        Return the targets that this host itself recently saw draining or gone.

        They are reported to peers. Reports of peers aren't passed on, as they would
        circulate forever.
        """
        return tuple(
            target.entry.id
            for target in self.targets.values()
            if now - target.availability.observed_at < within_s
        )

    def local_load(self, target: TargetState) -> TargetLoad:
        """Return this host's load at a target, to report to its coordinator."""
        requests = [r for r in target.requests.values() if not r.relayed]
        tokens: Counter[int] = Counter()
        for request in requests:
            if request.first_event_at is None and request.unread_tokens:
                tokens[request.priority] += request.unread_tokens
        return TargetLoad(len(requests), tokens, round(target.event_interval_s, 4))

    def take_load(self, target: TargetState, now: float) -> TargetLoad:
        """Return this host's load at a target, and its pace since the last report."""
        load = self.local_load(target)
        pace = target.pace.untold.take(now)
        return load if pace is None else replace(load, pace=pace)

    def list_targets_in_use(self) -> list[TargetState]:
        """Return the targets that have in-flight requests of this host."""
        return [target for target in self.targets.values() if target.requests]

    def _put_target(
        self, entry: TargetEntry, region: str, service: Service | None, now: float
    ) -> None:
        known = self.targets.get(entry.id)
        if known is None:
            state = TargetState(entry, region)
            state.availability = self._saved.restore(entry)
            self.targets[entry.id] = state
        else:
            state = known
        if has_restarted(state.entry, entry):
            state.cache.clear()
            state.health = TargetHealth()
            state.peer_loads.clear()
            state.slowdown = Slowdown()
            state.pace.clear()
            if is_new_instance(state.entry, entry):
                state.availability = Availability()
                # The announcement says whether it is cold.
                state.cold.end_assumption()
        if known is None or entry is not known.entry:
            # Each announcement counts once, from its arrival: a repeated update with
            # the same entry must not extend the cold period.
            state.cold.apply_announcement(entry.cold_s, now)
        state.entry = entry
        state.region = region
        state.set_service(service)

    def _observe_estimate_error(self, request: InFlightRequest, now: float) -> None:
        expected = request.expected
        if expected is None or self.is_unsynchronized(request.sent_at):
            return
        target = request.target
        observed_s = now - request.sent_at
        self.estimate_errors.observe(expected, target.region, observed_s, now)
        if not request.relayed:
            usual_s = expected.first_event_s / expected.slowdown
            target.slowdown.observe(usual_s, observed_s, now)
            if request.first_event_at is None:
                self.paces.observe_answer(request, usual_s, observed_s, now)

    def _record_change(self, target: TargetState, event: str, detail: str) -> None:
        self.state_changes.append(StateChange(event, target.entry.id, detail))

    def _may_eject(self, target: TargetState, now: float) -> bool:
        service_targets = [
            t
            for t in self.list_service_targets(target.entry.service)
            if t.accepts_requests
        ]
        ejected = sum(
            t.health.is_ejected(now) for t in service_targets if t is not target
        )
        return may_eject(ejected, len(service_targets))


def sum_tokens_ahead(unread_tokens: Mapping[int, int], priority: int) -> int:
    """Return the tokens that are read before those of a request of ``priority``."""
    return sum(tokens for held, tokens in unread_tokens.items() if held <= priority)
