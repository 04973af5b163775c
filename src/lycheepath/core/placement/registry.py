"""
The targets as this host knows them: what is under way there, and how it goes.

The book records what this host sends and what comes of it, what peers tell of
their own sending, and what targets report. Estimates follow from these::

    book.started(key, target, urgency, tokens, now)
    book.next_events(key, 1, now)
    book.ended(key, Ending.WHOLE, now)
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from ..catalog.catalog import StateChange, has_restarted, is_new_instance
from ..routing.health import TargetHealth, may_eject
from .accuracy import EstimateErrors
from .candidates import Owners
from .closures import Closure, PartedClosures
from .cold import ColdGate
from .loads import PeerLoads, TargetLoad
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
    from .accuracy import Expected

# A relayed request is told of by the hosts of the other region after this long.
RELAYED_S = 0.6
# Between two events of a stream, before any was seen.
FIRST_EVENT_S = 0.05
# Weight of one more gap; some tens of them are seen a second on a busy target.
EVENT_STEP = 0.02
# Weight of a peer's word on the pace of a target's streams.
PEER_EVENT_STEP = 0.3
# Part of an engine's memory that is taken for cached parts; the rest holds
# what runs.
CACHE_SHARE = 0.85


class AttemptOutcome(Enum):
    """What became of a request that was sent to a target."""

    COMPLETED = "whole"
    FAILED = "failed"
    INVALID = "wrong"
    REFUSED = "refused"
    NOT_RUN = "not-run"
    REPLACED = "replaced"
    TIMED_OUT = "silent"
    UNDETERMINED = "left"


@dataclass(slots=True)
class Flight:
    """
    A request under way at a target.

    ``tokens`` are those of its prompt that the target has to read, ``ahead``
    what had to be read before it. ``placed_at_once`` says that a place was free
    for it, so that the time to its first event tells how fast the target reads.
    ``expected`` is what was expected of it when it was sent.
    """

    target: TargetState
    sent_at: float
    urgency: int
    tokens: int
    ahead: int
    first_at: float | None = None
    event_at: float | None = None
    relayed: bool = False
    placed_at_once: bool = True
    expected: Expected | None = None

    def counts(self, now: float) -> bool:
        """Whether nobody else tells of the request yet."""
        return not self.relayed or now - self.sent_at < RELAYED_S


@dataclass(slots=True, eq=False)
class TargetState:
    """One target: its announcement and what this host makes of it."""

    entry: TargetEntry
    region: str
    service: Service | None
    cache: PromptCache
    cold: ColdGate
    health: TargetHealth = field(default_factory=TargetHealth)
    flights: dict[int, Flight] = field(default_factory=dict)
    peers: PeerLoads = field(default_factory=PeerLoads)
    availability: Closure = field(default_factory=Closure)
    evacuated: bool = False
    last_contact_at: float = float("-inf")
    event_s: float = FIRST_EVENT_S
    pace: Slowdown = field(default_factory=Slowdown)

    def count_in_flight(self, now: float) -> int:
        """Return the requests under way here, those of peers included."""
        count = sum(flight.counts(now) for flight in self.flights.values())
        return count + self.peers.in_flight

    def count_unread(self, now: float) -> Counter[int]:
        """Return the tokens still to be read, by the urgency of their requests."""
        unread = Counter(self.peers.tokens)
        for flight in self.flights.values():
            if flight.first_at is None and flight.counts(now):
                unread[flight.urgency] += flight.tokens
        return unread

    def count_ahead(self, urgency: int, now: float) -> int:
        """Return the tokens that are read before those of a new request."""
        return sum_ahead(self.count_unread(now), urgency)

    def oldest_waiting(self) -> Flight | None:
        """Return the request sent from here that has waited longest for a sign."""
        for flight in self.flights.values():
            if flight.first_at is None and not flight.relayed:
                return flight
        return None

    def describe_trust(self, now: float) -> str:
        """Return in a word how the target is thought of."""
        if self.health.is_ejected(now):
            return "ejected"
        if now < self.health.paused_until:
            return "paused"
        return "on probation" if self.health.on_probation else "trusted"

    @property
    def open(self) -> bool:
        """Whether the operator and the target let new requests come."""
        return not (self.evacuated or self.entry.draining)


class TargetRegistry:
    """
    State: all targets, and the requests that this host has under way.

    ``notes`` are changed beliefs about targets that nobody has logged yet. Until
    ``blind_until`` nothing is learned of speeds, since a host that has just started
    doesn't know what its answers waited for.
    """

    def __init__(self) -> None:
        self.targets: dict[str, TargetState] = {}
        self.speeds: dict[str, SpeedModel] = {}
        self.state_changes: list[StateChange] = []
        self._by_service: dict[str, list[TargetState]] = {}
        self._by_region: dict[tuple[str, str], list[TargetState]] = {}
        self._routes: RouteTable | None = None
        self._flights: dict[int, Flight] = {}
        self.region_waits = RegionWaits()
        self.errors = EstimateErrors()
        self.unsynchronized_until = float("-inf")
        self.owners = Owners()
        self._parted = PartedClosures()

    def update(
        self, catalog: Catalog, zone_regions: Mapping[str, str], now: float
    ) -> None:
        """Bring the book in line with the catalog; other knowledge is kept."""
        services = catalog.routes.configuration.services if catalog.routes else {}
        for target in self.targets.keys() - catalog.targets.keys():
            state = self.targets.pop(target)
            self._parted.keep(state.entry, state.availability, now)
        for entry in catalog.targets.values():
            region = zone_regions.get(entry.zone, "")
            self._put(entry, region, services.get(entry.service), now)
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
            self.owners.forget()

    def is_blind(self, now: float) -> bool:
        """Whether this host may not know yet what others have under way."""
        return now < self.unsynchronized_until

    def of_service(self, service: str) -> list[TargetState]:
        """Return the targets of a service, whatever their condition."""
        return self._by_service.get(service, [])

    def has_targets(self, service: str, homes: frozenset[str]) -> bool:
        """Whether a target of a service is known, in some regions if any are named."""
        targets = self.of_service(service)
        return any(not homes or target.region in homes for target in targets)

    def in_region(self, service: str, region: str) -> list[TargetState]:
        """Return the targets of a service in one region."""
        return self._by_region.get((service, region), [])

    def find_first_urgency(self, service: str, urgency: int) -> int:
        """Return the urgency of a service's most urgent route, at most ``urgency``."""
        if self._routes is None:
            return urgency
        return self._routes.first_urgency(service, urgency)

    def speed(self, service: str) -> SpeedModel:
        """Return what is learned of the speed of a service's targets."""
        model = self.speeds.get(service)
        if model is None:
            model = self.speeds[service] = SpeedModel()
        return model

    def record_start(
        self,
        key: int,
        target: TargetState,
        urgency: int,
        tokens: int,
        now: float,
        ahead: int | None = None,
        placed_at_once: bool = True,
        expected: Expected | None = None,
    ) -> None:
        """
        Note that a request is being sent.

        ``ahead`` are the tokens read before it as its target's keeper said;
        without it they are those that this host knows of.
        """
        target.cold.sent(now)
        if ahead is None:
            ahead = target.count_ahead(urgency, now)
        flight = Flight(
            target,
            now,
            urgency,
            tokens,
            ahead,
            placed_at_once=placed_at_once,
            expected=expected,
        )
        target.flights[key] = flight
        self._flights[key] = flight

    def record_relay(
        self,
        key: int,
        target: TargetState,
        urgency: int,
        tokens: int,
        now: float,
        expected: Expected | None = None,
    ) -> None:
        """Note that a request goes to a target through a host of its region."""
        flight = Flight(
            target, now, urgency, tokens, 0, relayed=True, expected=expected
        )
        target.flights[key] = flight
        self._flights[key] = flight

    def record_prompt_parts(
        self, target: TargetState, parts: Iterable[PromptPart]
    ) -> None:
        """Note that a target reads the shared parts of a prompt."""
        target.cache.use(parts)

    def record_events(self, key: int, count: int, now: float) -> TargetState | None:
        """
        Note that a target has sent events of an answer, the first or more.

        Return the target if they are the first of a request sent from here: it
        has read the prompt.
        """
        flight = self._flights.get(key)
        if flight is None:
            return None
        before, flight.event_at = flight.event_at, now
        target = flight.target
        if flight.relayed:
            if flight.first_at is None:
                flight.first_at = now
                self._observe_error(flight, now)
            return None
        target.last_contact_at = now
        if flight.first_at is not None:
            if before is not None:
                gap_s = (now - before) / max(1, count)
                target.event_s += EVENT_STEP * (gap_s - target.event_s)
            return None
        flight.first_at = now
        self._observe_error(flight, now)
        target.health.record_contact()
        if flight.placed_at_once and not self.is_blind(flight.sent_at):
            speed = self.speed(target.entry.service)
            took_s = max(0.0, now - flight.sent_at - target.event_s)
            speed.observe_read(took_s, flight.tokens + flight.ahead)
        return target

    def record_end(self, key: int, ending: AttemptOutcome, now: float) -> None:
        """Note what became of a request."""
        flight = self._flights.pop(key, None)
        if flight is None:
            return
        target = flight.target
        target.flights.pop(key, None)
        before = target.describe_trust(now)
        self._judge(target, flight, ending, now)
        after = target.describe_trust(now)
        if before != after:
            detail = f"{before} to {after} after {ending.value}"
            self.state_changes.append(
                StateChange("target-trust", target.entry.id, detail)
            )

    def _judge(
        self, target: TargetState, flight: Flight, ending: AttemptOutcome, now: float
    ) -> None:
        """Let an ending change what is thought of a target's health."""
        health = target.health
        if ending is AttemptOutcome.COMPLETED:
            health.record_success()
            target.last_contact_at = now
            if flight.first_at is None:
                self._observe_error(flight, now)
            began_s = (flight.first_at or now) - flight.sent_at
            speed = self.speed(target.entry.service)
            speed.observe_whole(began_s, now - flight.sent_at)
        elif ending is AttemptOutcome.REPLACED:
            if target.availability.note_gone(now):
                self._note(target, "target-replaced", target.entry.address)
        elif ending is AttemptOutcome.REFUSED:
            health.record_refusal(now)
            target.cold.doubt(now)
        elif ending in (
            AttemptOutcome.FAILED,
            AttemptOutcome.INVALID,
            AttemptOutcome.TIMED_OUT,
        ):
            wrong = ending is AttemptOutcome.INVALID
            if health.record_failure(wrong) and self._may_eject(target, now):
                health.eject(now)

    def apply_peer_load(
        self, host: str, target_id: str, load: TargetLoad, now: float
    ) -> None:
        """Take what a peer has under way at a target; it replaces the last."""
        target = self.targets.get(target_id)
        if target is None:
            return
        target.peers.put(host, load, now)
        if load.in_flight:
            target.event_s += PEER_EVENT_STEP * (load.event_interval_s - target.event_s)

    def remove_peer(self, host: str) -> None:
        """Forget what a peer has under way; it is gone."""
        for target in self.targets.values():
            target.peers.drop(host)

    def expire_peer_loads(self, now: float) -> None:
        """Forget what peers told that have been silent for long."""
        for target in self.targets.values():
            target.peers.expire(now)

    def record_draining(self, target_id: str, now: float) -> None:
        """Note that a target said in an answer that it leaves."""
        target = self.targets.get(target_id)
        if target is not None and target.availability.note_leaving(now):
            self._note(target, "target-leaving", "by its own word")

    def record_busy(self, target_id: str, wait_s: float, now: float) -> None:
        """Note that a target wants nothing from this host for a time."""
        target = self.targets.get(target_id)
        if target is not None and target.availability.note_busy(wait_s, now):
            self._note(target, "target-busy", f"for {wait_s:.3f} s")

    def apply_gone_report(self, target_id: str, now: float) -> None:
        """Take a peer's word that a target leaves or has gone."""
        target = self.targets.get(target_id)
        if target is not None and target.availability.hear_gone(now):
            self._note(target, "target-gone-by-peer", target.entry.address)

    def list_gone_targets(self, now: float, within_s: float) -> tuple[str, ...]:
        """
        Return the targets that this host lately saw leaving or gone, for peers.

        What peers told isn't passed on, or it would go around for ever.
        """
        return tuple(
            target.entry.id
            for target in self.targets.values()
            if now - target.availability.witnessed_at < within_s
        )

    def local_load(self, target: TargetState) -> TargetLoad:
        """Return what this host has under way at a target, for its keeper."""
        flights = [f for f in target.flights.values() if not f.relayed]
        tokens: Counter[int] = Counter()
        for flight in flights:
            if flight.first_at is None and flight.tokens:
                tokens[flight.urgency] += flight.tokens
        return TargetLoad(len(flights), tokens, round(target.event_s, 4))

    def list_targets_in_use(self) -> list[TargetState]:
        """Return the targets at which this host has requests under way."""
        return [target for target in self.targets.values() if target.flights]

    def _put(
        self, entry: TargetEntry, region: str, service: Service | None, now: float
    ) -> None:
        known = self.targets.get(entry.id)
        if known is None:
            engine = service.engine if service else None
            capacity = int(engine.kv_tokens * CACHE_SHARE) if engine else 0
            cold = ColdGate(service.cold_per_s if service else 0.0)
            state = TargetState(entry, region, service, PromptCache(capacity), cold)
            state.availability = self._parted.take(entry)
            self.targets[entry.id] = state
        else:
            state = known
        if has_restarted(state.entry, entry):
            state.cache.clear()
            state.health = TargetHealth()
            state.peers.clear()
            state.pace = Slowdown()
            if is_new_instance(state.entry, entry):
                state.availability = Closure()
        if known is None or entry is not known.entry:
            # What is announced counts once, from when it came.
            state.cold.announce(entry.cold_s, now)
        state.entry = entry
        state.region = region
        state.service = service

    def _observe_error(self, flight: Flight, now: float) -> None:
        expected = flight.expected
        if expected is None or self.is_blind(flight.sent_at):
            return
        target = flight.target
        seen_s = now - flight.sent_at
        self.errors.observe(expected, target.region, seen_s, now)
        if not flight.relayed:
            target.pace.observe(expected.first_s / expected.pace, seen_s, now)

    def _note(self, target: TargetState, event: str, detail: str) -> None:
        self.state_changes.append(StateChange(event, target.entry.id, detail))

    def _may_eject(self, target: TargetState, now: float) -> bool:
        alike = [t for t in self.of_service(target.entry.service) if t.open]
        ejected = sum(t.health.is_ejected(now) for t in alike if t is not target)
        return may_eject(ejected, len(alike))


def sum_ahead(unread: Mapping[int, int], urgency: int) -> int:
    """Return the tokens that are read before those of an urgency."""
    return sum(tokens for held, tokens in unread.items() if held <= urgency)
