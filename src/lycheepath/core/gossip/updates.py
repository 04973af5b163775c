"""
Gossip updates: loads and drains of targets, quota use and quarantines.

An update is a key and two 64-bit words, so that each takes about 25 bytes on
the wire whatever its kind. The typed reports below are packed into updates and
unpacked under the names that the host knows::

    update = pack_target_load(TargetLoad("runner-1", 3, 0, 9000, 40), stamp=1)
    unpack_target_load(update, "runner-1")

Each kind has a priority, a maximum age, a bound on the updates held and a reach.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_16 = 0xFFFF
MAX_32 = 0xFFFFFFFF
MAX_AGE_MS = MAX_32
SAME_OBSERVATION_S = 1.0


class UpdateKind(Enum):
    """The kind of an update."""

    QUARANTINE = 1
    TARGET_LEAVING = 2
    TARGET_LOAD = 3
    QUOTA_USE = 4
    REGION_LOAD = 5


class Reach(Enum):
    """Where updates are sent: to named hosts, the region or the whole fleet."""

    DIRECTED = 0
    REGION = 1
    FLEET = 2


@dataclass(frozen=True, slots=True)
class UpdatePolicy:
    """The bounds of one kind; updates of lower ``priority`` are sent first."""

    priority: int
    max_age_s: float
    max_items: int
    reach: Reach


POLICIES = {
    UpdateKind.QUARANTINE: UpdatePolicy(1, 600.0, 512, Reach.FLEET),
    UpdateKind.TARGET_LEAVING: UpdatePolicy(2, 300.0, 2048, Reach.REGION),
    UpdateKind.QUOTA_USE: UpdatePolicy(4, 10.0, 2048, Reach.DIRECTED),
    UpdateKind.REGION_LOAD: UpdatePolicy(5, 60.0, 512, Reach.FLEET),
    UpdateKind.TARGET_LOAD: UpdatePolicy(6, 10.0, 2048, Reach.DIRECTED),
}


@dataclass(frozen=True, slots=True)
class GossipUpdate:
    """
    One update on the wire.

    ``stamp`` differs between the updates that a host publishes, so that an update
    that arrives again on another path is recognized. ``age_ms`` is the time since
    the observation. ``ttl_s`` shortens the maximum age of the kind.
    """

    kind: UpdateKind
    key: int
    word: int = 0
    extra: int = 0
    stamp: int = 0
    age_ms: int = 0
    ttl_s: int = 0


@dataclass(frozen=True, slots=True)
class HeldUpdate:
    """An update with the local time of its observation and its sender."""

    update: GossipUpdate
    observed_at: float
    source: str


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """A target's load; ``latency_ms`` is a median of recent latencies."""

    target: str
    running: int
    queued: int
    kv_free_tokens: int
    latency_ms: int


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """The tokens and requests of a team at one host in the current window."""

    team: str
    tokens: int
    requests: int


def hash_name(name: str) -> int:
    """Return the 48-bit key that represents ``name`` in updates."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def pack_target_load(load: TargetLoad, stamp: int) -> GossipUpdate:
    """Pack ``load`` in 16-bit numbers, capped; tokens in units of 64."""
    word = (
        min(load.running, MAX_16)
        | min(load.queued, MAX_16) << 16
        | min(load.kv_free_tokens // 64, MAX_16) << 32
        | min(load.latency_ms, MAX_16) << 48
    )
    return GossipUpdate(
        UpdateKind.TARGET_LOAD, hash_name(load.target), word, stamp=stamp
    )


def unpack_target_load(update: GossipUpdate, target: str) -> TargetLoad:
    """Unpack a load of ``target``."""
    word = update.word
    return TargetLoad(
        target,
        running=word & MAX_16,
        queued=word >> 16 & MAX_16,
        kv_free_tokens=(word >> 32 & MAX_16) * 64,
        latency_ms=word >> 48 & MAX_16,
    )


def pack_target_draining(target: str, draining: bool, stamp: int) -> GossipUpdate:
    """Pack whether ``target`` is draining or accepts new work again."""
    return GossipUpdate(
        UpdateKind.TARGET_LEAVING, hash_name(target), int(draining), stamp=stamp
    )


def pack_quota_use(use: QuotaUse, stamp: int) -> GossipUpdate:
    """Pack a team's use at this host."""
    word = min(use.tokens, MAX_32) | min(use.requests, MAX_32) << 32
    return GossipUpdate(UpdateKind.QUOTA_USE, hash_name(use.team), word, stamp=stamp)


def unpack_quota_use(update: GossipUpdate, team: str) -> QuotaUse:
    """Unpack the use of ``team``."""
    return QuotaUse(team, update.word & MAX_32, update.word >> 32)


def pack_quarantine(fingerprint: bytes, ttl_s: int, stamp: int) -> GossipUpdate:
    """Pack the 16-byte fingerprint of a quarantined request, for ``ttl_s``."""
    key = int.from_bytes(fingerprint[:8], "big")
    word = int.from_bytes(fingerprint[8:16], "big")
    return GossipUpdate(
        UpdateKind.QUARANTINE, key, word, stamp=stamp, ttl_s=min(ttl_s, MAX_16)
    )


def unpack_quarantine(update: GossipUpdate) -> bytes:
    """Unpack the fingerprint of a quarantined request."""
    return update.key.to_bytes(8, "big") + update.word.to_bytes(8, "big")


class UpdateTable:
    """The held updates; when a kind is full, its oldest update is shed."""

    def __init__(self) -> None:
        self._held: dict[UpdateKind, OrderedDict[tuple[int, int, str], HeldUpdate]] = {
            kind: OrderedDict() for kind in UpdateKind
        }
        self.shed = 0

    def put(self, update: GossipUpdate, source: str, now: float) -> HeldUpdate | None:
        """Store ``update`` and return it, or None if it is expired or not newer."""
        observed_at = now - update.age_ms / 1000
        if now - observed_at >= expiry_age_s(update):
            return None
        held = self._held[update.kind]
        key = _table_key(update, source)
        known = held.get(key)
        if known is not None and _is_old(update, observed_at, known):
            return None
        item = HeldUpdate(update, observed_at, source)
        held[key] = item
        held.move_to_end(key)
        self._shed_oldest(update.kind)
        return item

    def get(self, kind: UpdateKind, key: int, now: float) -> tuple[HeldUpdate, ...]:
        """Return the held updates for ``key`` that haven't expired."""
        if kind in (UpdateKind.QUARANTINE, UpdateKind.QUOTA_USE):
            return tuple(item for item in self.all(kind, now) if item.update.key == key)
        item = self._held[kind].get((key, 0, ""))
        if item is None or now - item.observed_at >= expiry_age_s(item.update):
            return ()
        return (item,)

    def all(self, kind: UpdateKind, now: float) -> Iterator[HeldUpdate]:
        """Yield the held updates of ``kind`` that haven't expired."""
        for item in tuple(self._held[kind].values()):
            if now - item.observed_at < expiry_age_s(item.update):
                yield item

    def remove_expired(self, now: float) -> None:
        """Remove the expired updates."""
        for held in self._held.values():
            for key, item in tuple(held.items()):
                if now - item.observed_at >= expiry_age_s(item.update):
                    del held[key]

    def _shed_oldest(self, kind: UpdateKind) -> None:
        held = self._held[kind]
        while len(held) > POLICIES[kind].max_items:
            held.popitem(last=False)
            self.shed += 1


def expiry_age_s(update: GossipUpdate) -> float:
    """Return the age in seconds at which ``update`` expires."""
    limit = POLICIES[update.kind].max_age_s
    return min(limit, float(update.ttl_s)) if update.ttl_s else limit


def _table_key(update: GossipUpdate, source: str) -> tuple[int, int, str]:
    if update.kind is UpdateKind.QUARANTINE:
        return update.key, update.word, ""
    if update.kind is UpdateKind.QUOTA_USE:
        return update.key, 0, source
    return update.key, 0, ""


def _is_old(update: GossipUpdate, observed_at: float, known: HeldUpdate) -> bool:
    apart_s = abs(observed_at - known.observed_at)
    if update.stamp == known.update.stamp and apart_s < SAME_OBSERVATION_S:
        return True
    return observed_at <= known.observed_at
