"""
Hosts that read a store or copy from each other, with faults of both.

A host that hears of changes copies them without the configuration; one that
hears of a newer configuration reads that by itself, or copies everything where
it can't reach the store. Whatever fails on the way, versions never fall, and
once the store answers all hosts hold what it holds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheepath.adapters.copies import Copy, decode_copy, encode_copy
from lycheepath.core.catalog.catalog import LAPSE_GRACE_S, Catalog
from lycheepath.core.catalog.changes import (
    Change,
    Delta,
    Entry,
    Evacuation,
    EvacuationEnded,
    Snapshot,
    TargetRemoved,
)
from lycheepath.core.catalog.freshness import Freshness, Knowledge, News
from lycheepath.core.catalog.model import CallerLimits, Configuration, TargetEntry
from tests.core.randomised import run_machine

HOSTS = 4
TARGETS = strategies.sampled_from(["i-1", "i-2", "i-3"])
ZONES = strategies.sampled_from(["a", "b"])
NUMBERS = strategies.integers(0, HOSTS - 1)


class Host:
    """State: one host's catalog and how fresh it is."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.fresh = Freshness(0.0)

    def knowledge(self, now: float) -> Knowledge:
        catalog = self.catalog
        return Knowledge(
            catalog.version, catalog.history.revision, self.fresh.age_s(now)
        )

    def hear(self, other: Host, now: float) -> News:
        held = Knowledge(self.catalog.version, self.catalog.revision, 0.0)
        return self.fresh.hear(held, other.knowledge(now), now)

    def copy(self, other: Host, now: float, everything: bool) -> None:
        if other.catalog.routes is None:
            return
        held = 0 if everything else self.catalog.revision
        content = other.catalog.history.since(held, other.catalog.revision)
        sent = encode_copy(Copy(content, 0.0), everything)
        content = decode_copy(sent).content
        if isinstance(content, Snapshot):
            self.catalog.replace(content, now, False)
        else:
            self.catalog.apply(content, now, False)


class CopiesMachine(RuleBasedStateMachine):
    """State: the store with its history, and the hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.revision = 1
        self.configuration = Configuration(1, (), {}, CallerLimits())
        self.targets: dict[str, TargetEntry] = {}
        self.zones: set[str] = set()
        self.history: list[tuple[int, Change]] = []
        self.hosts = [Host() for _ in range(HOSTS)]
        self.versions = [0] * HOSTS

    def write(self, change: Change) -> None:
        self.revision += 1
        self.history.append((self.revision, change))

    @rule(name=TARGETS, draining=strategies.booleans())
    def announce(self, name: str, draining: bool) -> None:
        held = self.targets.get(name)
        sequence = held.sequence + 1 if held else 0
        address = "10.0.0.1:80"
        entry = TargetEntry(name, "s", address, "a", 4, draining, 0.0, sequence, 0)
        self.targets[name] = entry
        self.write(entry)

    @rule(name=TARGETS)
    def restart_under_the_same_id(self, name: str) -> None:
        if name in self.targets:
            self.targets[name] = replace(self.targets[name], sequence=0)
            self.write(self.targets[name])

    @rule(name=TARGETS)
    def remove(self, name: str) -> None:
        if self.targets.pop(name, None) is not None:
            self.write(TargetRemoved(name))

    @rule()
    def configure(self) -> None:
        version = self.configuration.version + 3
        self.configuration = replace(self.configuration, version=version)
        self.write(self.configuration)

    @rule(zone=ZONES)
    def evacuate(self, zone: str) -> None:
        if zone in self.zones:
            self.zones.discard(zone)
            self.write(EvacuationEnded(zone))
        else:
            self.zones.add(zone)
            self.write(Evacuation(zone))

    @rule(number=NUMBERS)
    def restart_host(self, number: int) -> None:
        self.hosts[number] = Host()
        self.versions[number] = 0

    @rule(number=NUMBERS)
    def read(self, number: int) -> None:
        catalog = self.hosts[number].catalog
        if catalog.routes is None:
            zones = (Evacuation(zone) for zone in sorted(self.zones))
            entries: tuple[Entry, ...] = (
                self.configuration,
                *self.targets.values(),
                *zones,
            )
            catalog.replace(Snapshot(entries, self.revision), self.now, False)
        else:
            held = catalog.revision
            changes = tuple(c for revision, c in self.history if revision > held)
            catalog.apply(Delta(changes, self.revision), self.now, False)
        self.hosts[number].fresh.note_known(self.now)

    @rule(number=NUMBERS, other=NUMBERS, reachable=strategies.booleans())
    def follow(self, number: int, other: int, reachable: bool) -> None:
        """Hear a beat and act on it; the news may have changed until then."""
        host, teller = self.hosts[number], self.hosts[other]
        self.act(host, teller, host.hear(teller, self.now), reachable)

    @rule(number=NUMBERS, other=NUMBERS, told=strategies.sampled_from(list(News)))
    def follow_late(self, number: int, other: int, told: News) -> None:
        """Act on a beat that came a while ago."""
        self.act(self.hosts[number], self.hosts[other], told, True)

    def act(self, host: Host, teller: Host, news: News, reachable: bool) -> None:
        if news is News.CHANGES:
            host.copy(teller, self.now, everything=False)
        elif news is News.CONFIGURATION and reachable:
            delta = Delta((self.configuration,), host.catalog.revision)
            host.catalog.apply(delta, self.now, False)
        elif news is News.CONFIGURATION:
            host.copy(teller, self.now, everything=True)

    @rule()
    def settle(self) -> None:
        """One host reads, all hear it, again and again: all hold the same."""
        self.read(0)
        self.now += LAPSE_GRACE_S
        for _ in range(3):
            for number in range(HOSTS):
                for other in range(HOSTS):
                    self.follow(number, other, True)
        for host in self.hosts:
            catalog = host.catalog
            catalog.expire(self.now)
            assert catalog.version == self.configuration.version
            assert catalog.evacuated == self.zones
            assert catalog.targets.keys() == self.targets.keys()
            for name, entry in self.targets.items():
                assert replace(catalog.targets[name], sequence=0) == replace(
                    entry, sequence=0
                )

    @invariant()
    def versions_never_fall(self) -> None:
        for number, host in enumerate(self.hosts):
            assert host.catalog.version >= self.versions[number]
            assert host.catalog.version <= self.configuration.version
            self.versions[number] = host.catalog.version


def test_hosts_that_copy_hold_what_the_store_holds() -> None:
    run_machine(CopiesMachine, Counter())
