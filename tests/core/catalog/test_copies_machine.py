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

from lycheepath.adapters.catalog_copies import (
    CatalogCopy,
    decode_catalog_copy,
    encode_catalog_copy,
)
from lycheepath.core.catalog.catalog import LAPSE_GRACE_S, Catalog
from lycheepath.core.catalog.changes import Delta, Snapshot
from lycheepath.core.catalog.freshness import AvailableUpdate, CatalogStatus, Freshness
from tests.core.catalog.written_store import WrittenStore
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

    def knowledge(self, now: float) -> CatalogStatus:
        catalog = self.catalog
        return CatalogStatus(
            catalog.version, catalog.history.revision, self.fresh.age_s(now)
        )

    def hear(self, other: Host, now: float) -> AvailableUpdate:
        held = CatalogStatus(self.catalog.version, self.catalog.revision, 0.0)
        return self.fresh.apply_status(held, other.knowledge(now), now)

    def copy(self, other: Host, now: float, everything: bool) -> None:
        if other.catalog.routes is None:
            return
        held = 0 if everything else self.catalog.revision
        content = other.catalog.history.since(held, other.catalog.revision)
        sent = encode_catalog_copy(CatalogCopy(content, 0.0), everything)
        content = decode_catalog_copy(sent).content
        if isinstance(content, Snapshot):
            self.catalog.replace(content, now, False)
        else:
            self.catalog.apply(content, now, False)


class CopiesMachine(RuleBasedStateMachine):
    """State: the store and the hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = WrittenStore()
        self.hosts = [Host() for _ in range(HOSTS)]
        self.versions = [0] * HOSTS

    @rule(name=TARGETS, draining=strategies.booleans())
    def announce(self, name: str, draining: bool) -> None:
        self.store.announce(name, draining)

    @rule(name=TARGETS)
    def restart_under_the_same_id(self, name: str) -> None:
        self.store.restart(name)

    @rule(name=TARGETS)
    def remove(self, name: str) -> None:
        self.store.remove(name)

    @rule()
    def configure(self) -> None:
        self.store.configure()

    @rule(zone=ZONES)
    def evacuate(self, zone: str) -> None:
        self.store.evacuate_or_end(zone)

    @rule(number=NUMBERS)
    def restart_host(self, number: int) -> None:
        self.hosts[number] = Host()
        self.versions[number] = 0

    @rule(number=NUMBERS)
    def read(self, number: int) -> None:
        catalog = self.hosts[number].catalog
        if catalog.routes is None:
            catalog.replace(self.store.read_all(), self.now, False)
        else:
            changes = self.store.read_changes(catalog.revision)
            catalog.apply(changes, self.now, False)
        self.hosts[number].fresh.record_current_at(self.now)

    @rule(number=NUMBERS, other=NUMBERS, reachable=strategies.booleans())
    def follow(self, number: int, other: int, reachable: bool) -> None:
        """Hear a beat and act on it; the news may have changed until then."""
        host, teller = self.hosts[number], self.hosts[other]
        self.act(host, teller, host.hear(teller, self.now), reachable)

    @rule(
        number=NUMBERS,
        other=NUMBERS,
        told=strategies.sampled_from(list(AvailableUpdate)),
    )
    def follow_late(self, number: int, other: int, told: AvailableUpdate) -> None:
        """Act on a beat that came a while ago."""
        self.act(self.hosts[number], self.hosts[other], told, True)

    def act(
        self, host: Host, teller: Host, news: AvailableUpdate, reachable: bool
    ) -> None:
        if news is AvailableUpdate.CHANGES:
            host.copy(teller, self.now, everything=False)
        elif news is AvailableUpdate.CONFIGURATION and reachable:
            delta = Delta((self.store.configuration,), host.catalog.revision)
            host.catalog.apply(delta, self.now, False)
        elif news is AvailableUpdate.CONFIGURATION:
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
            assert catalog.version == self.store.version
            assert catalog.evacuated == self.store.zones
            assert catalog.targets.keys() == self.store.targets.keys()
            for name, entry in self.store.targets.items():
                assert replace(catalog.targets[name], sequence=0) == replace(
                    entry, sequence=0
                )

    @invariant()
    def versions_never_fall(self) -> None:
        for number, host in enumerate(self.hosts):
            assert host.catalog.version >= self.versions[number]
            assert host.catalog.version <= self.store.version
            self.versions[number] = host.catalog.version


def test_hosts_that_copy_hold_what_the_store_holds() -> None:
    run_machine(CopiesMachine, Counter())
