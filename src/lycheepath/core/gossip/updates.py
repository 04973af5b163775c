"""
News that rides the messages: loads, drains, quota use and quarantines.

An item is a key and two 64-bit words, so that each costs about 25 bytes on
the wire whatever it says. The typed reports below are packed into items and
read back by the names that the host knows::

    news = pack_target_load(TargetLoad("runner-1", 3, 0, 9000, 40), stamp=1)
    unpack_target_load(news)

Each kind has a priority, an age after which it is worth nothing, a bound on
the items held and a reach.
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
    """What an item is about."""

    QUARANTINE = 1
    TARGET_LEAVING = 2
    TARGET_LOAD = 3
    QUOTA_USE = 4
    REGION_LOAD = 5


class Reach(Enum):
    """How far news travels: to named hosts, through the region, everywhere."""

    DIRECTED = 0
    REGION = 1
    FLEET = 2


@dataclass(frozen=True, slots=True)
class NewsPolicy:
    """The bounds of one kind; a lower ``priority`` is sent first, shed last."""

    priority: int
    max_age_s: float
    max_items: int
    reach: Reach


POLICIES = {
    UpdateKind.QUARANTINE: NewsPolicy(1, 600.0, 512, Reach.FLEET),
    UpdateKind.TARGET_LEAVING: NewsPolicy(2, 300.0, 2048, Reach.REGION),
    UpdateKind.QUOTA_USE: NewsPolicy(4, 10.0, 2048, Reach.DIRECTED),
    UpdateKind.REGION_LOAD: NewsPolicy(5, 60.0, 512, Reach.FLEET),
    UpdateKind.TARGET_LOAD: NewsPolicy(6, 10.0, 2048, Reach.DIRECTED),
}


@dataclass(frozen=True, slots=True)
class GossipUpdate:
    """
    One item on the wire.

    ``stamp`` is different for each publication of one host, so that an item
    that comes back over another path is known; ``age_ms`` is the time since
    the observation; ``ttl_s`` cuts the kind's own age limit.
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
    """An item with the local time of its observation and who sent it."""

    update: GossipUpdate
    observed_at: float
    source: str


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """A target's load; the latency is a recent median, in milliseconds."""

    target: str
    running: int
    queued: int
    kv_free_tokens: int
    latency_ms: int


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """What a team used at one host in the current window."""

    team: str
    tokens: int
    requests: int


def hash_name(name: str) -> int:
    """Return the 48-bit key that stands for ``name`` in news."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def pack_target_load(load: TargetLoad, stamp: int) -> GossipUpdate:
    """Pack ``load``; numbers beyond 16 bits are cut, tokens count in 64s."""
    word = (
        min(load.running, MAX_16)
        | min(load.queued, MAX_16) << 16
        | min(load.kv_free_tokens // 64, MAX_16) << 32
        | min(load.latency_ms, MAX_16) << 48
    )
    return GossipUpdate(
        UpdateKind.TARGET_LOAD, hash_name(load.target), word, stamp=stamp
    )


def unpack_target_load(news: GossipUpdate, target: str) -> TargetLoad:
    """Read a packed load of ``target``."""
    word = news.word
    return TargetLoad(
        target,
        running=word & MAX_16,
        queued=word >> 16 & MAX_16,
        kv_free_tokens=(word >> 32 & MAX_16) * 64,
        latency_ms=word >> 48 & MAX_16,
    )


def pack_target_draining(target: str, leaving: bool, stamp: int) -> GossipUpdate:
    """Say that ``target`` takes no new work, or takes it again."""
    return GossipUpdate(
        UpdateKind.TARGET_LEAVING, hash_name(target), int(leaving), stamp=stamp
    )


def pack_quota_use(use: QuotaUse, stamp: int) -> GossipUpdate:
    """Pack the use of a team at this host."""
    word = min(use.tokens, MAX_32) | min(use.requests, MAX_32) << 32
    return GossipUpdate(UpdateKind.QUOTA_USE, hash_name(use.team), word, stamp=stamp)


def read_quota_use(news: GossipUpdate, team: str) -> QuotaUse:
    """Read a packed use of ``team``."""
    return QuotaUse(team, news.word & MAX_32, news.word >> 32)


def pack_quarantine(fingerprint: bytes, ttl_s: int, stamp: int) -> GossipUpdate:
    """Pack a convicted request's fingerprint of 16 bytes, for ``ttl_s``."""
    key = int.from_bytes(fingerprint[:8], "big")
    rest = int.from_bytes(fingerprint[8:16], "big")
    return GossipUpdate(
        UpdateKind.QUARANTINE, key, rest, stamp=stamp, ttl_s=min(ttl_s, MAX_16)
    )


def unpack_quarantine(news: GossipUpdate) -> bytes:
    """Return the fingerprint that a quarantine item names."""
    return news.key.to_bytes(8, "big") + news.word.to_bytes(8, "big")


class NewsTable:
    """The news held; when a kind is full, its oldest item is shed."""

    def __init__(self) -> None:
        self._held: dict[UpdateKind, OrderedDict[tuple[int, int, str], HeldUpdate]] = {
            kind: OrderedDict() for kind in UpdateKind
        }
        self.shed = 0

    def put(self, news: GossipUpdate, source: str, now: float) -> HeldUpdate | None:
        """Hold ``news`` and return it, or None if it tells nothing new."""
        observed_at = now - news.age_ms / 1000
        if now - observed_at >= age_limit(news):
            return None
        held = self._held[news.kind]
        key = _table_key(news, source)
        known = held.get(key)
        if known is not None and _is_old(news, observed_at, known):
            return None
        item = HeldUpdate(news, observed_at, source)
        held[key] = item
        held.move_to_end(key)
        self._shed_oldest(news.kind)
        return item

    def get(self, kind: UpdateKind, key: int, now: float) -> tuple[HeldUpdate, ...]:
        """Return what is held on ``key`` and not yet beyond its age."""
        if kind in (UpdateKind.QUARANTINE, UpdateKind.QUOTA_USE):
            return tuple(item for item in self.all(kind, now) if item.update.key == key)
        item = self._held[kind].get((key, 0, ""))
        if item is None or now - item.observed_at >= age_limit(item.update):
            return ()
        return (item,)

    def all(self, kind: UpdateKind, now: float) -> Iterator[HeldUpdate]:
        """Yield the items of ``kind`` that are not beyond their age."""
        for item in tuple(self._held[kind].values()):
            if now - item.observed_at < age_limit(item.update):
                yield item

    def forget_old(self, now: float) -> None:
        """Drop the items that are beyond their age."""
        for held in self._held.values():
            for key, item in tuple(held.items()):
                if now - item.observed_at >= age_limit(item.update):
                    del held[key]

    def _shed_oldest(self, kind: UpdateKind) -> None:
        held = self._held[kind]
        while len(held) > POLICIES[kind].max_items:
            held.popitem(last=False)
            self.shed += 1


def age_limit(news: GossipUpdate) -> float:
    """Return the age in seconds at which ``news`` is worth nothing."""
    limit = POLICIES[news.kind].max_age_s
    return min(limit, float(news.ttl_s)) if news.ttl_s else limit


def _table_key(news: GossipUpdate, source: str) -> tuple[int, int, str]:
    if news.kind is UpdateKind.QUARANTINE:
        return news.key, news.word, ""
    if news.kind is UpdateKind.QUOTA_USE:
        return news.key, 0, source
    return news.key, 0, ""


def _is_old(news: GossipUpdate, observed_at: float, known: HeldUpdate) -> bool:
    apart_s = abs(observed_at - known.observed_at)
    if news.stamp == known.update.stamp and apart_s < SAME_OBSERVATION_S:
        return True
    return observed_at <= known.observed_at
