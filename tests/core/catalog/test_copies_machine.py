"""
Hosts that read a store or copy from each other, with failures of both.

A host that receives a status with newer changes copies them without the
configuration. One that receives a status with a newer configuration reads it from the
store, or copies everything if the store is unreachable. The store may be restored from
an older copy. In all cases versions must never decrease, and once the store answers and
what it lost was written again, all hosts must have its content.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lycheepath.adapters.catalog_copies import (
    CatalogCopy,
    decode_catalog_copy,
    encode_catalog_copy,
)
from lycheepath.core.catalog.catalog import Catalog
from lycheepath.core.catalog.changes import Delta, Position, Snapshot
from lycheepath.core.catalog.freshness import AvailableUpdate, CatalogStatus, Freshness
from lycheepath.core.catalog.restores import DOUBT_S
from tests.core.catalog.written_store import StoreCopy, WrittenStore
from tests.core.randomised import run_machine

HOSTS = 4
TARGETS = strategies.sampled_from(["i-1", "i-2", "i-3"])
ZONES = strategies.sampled_from(["a", "b"])
NUMBERS = strategies.integers(0, HOSTS - 1)


class Host:
    """One host's catalog and its freshness."""

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.freshness = Freshness(0.0)

    def status(self, now: float) -> CatalogStatus:
        catalog = self.catalog
        return CatalogStatus(
            catalog.version,
            catalog.history.revision,
            self.freshness.age_s(now),
            catalog.era,
        )

    def apply_status_of(self, other: Host, now: float) -> AvailableUpdate:
        catalog = self.catalog
        local = CatalogStatus(catalog.version, catalog.revision, 0.0, catalog.era)
        return self.freshness.apply_status(local, other.status(now), now)

    def copy(self, other: Host, now: float, everything: bool) -> None:
        if other.catalog.routes is None:
            return
        local = Position(0, 0) if everything else self.catalog.position
        if other.catalog.position <= local:
            return
        content = other.catalog.history.since(local, other.catalog.position)
        sent = encode_catalog_copy(CatalogCopy(content, 0.0), everything)
        content = decode_catalog_copy(sent).content
        if isinstance(content, Snapshot):
            self.catalog.replace(content, now, False)
        else:
            self.catalog.apply(content, now, False)


class CopiesMachine(RuleBasedStateMachine):
    """The store and the hosts."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = WrittenStore()
        self.hosts = [Host() for _ in range(HOSTS)]
        self.versions = [0] * HOSTS
        self.copies: list[StoreCopy] = []
        self.lost: StoreCopy | None = None

    @rule()
    def copy_the_store(self) -> None:
        self.copies.append(self.store.make_copy())

    @precondition(lambda self: self.copies)
    @rule()
    def restore_the_store(self) -> None:
        """Restore the last copy; what was written in between is written again later."""
        self.write_again()
        self.lost = self.store.restore(self.copies.pop())
        self.copies.clear()

    @rule()
    def write_again(self) -> None:
        if self.lost is not None:
            self.store.write_again(self.lost)
            self.lost = None

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
        if catalog.routes is None or catalog.era != self.store.era:
            catalog.replace(self.store.read_all(), self.now, False)
        else:
            changes = self.store.read_changes(catalog.revision)
            catalog.apply(changes, self.now, False)
        self.hosts[number].freshness.record_current_at(self.now)

    @rule(number=NUMBERS, other=NUMBERS, reachable=strategies.booleans())
    def follow(self, number: int, other: int, reachable: bool) -> None:
        """Receive a heartbeat and act on it; the peer may have changed until then."""
        host, peer = self.hosts[number], self.hosts[other]
        self.act(host, peer, host.apply_status_of(peer, self.now), reachable)

    @rule(
        number=NUMBERS,
        other=NUMBERS,
        reported=strategies.sampled_from(list(AvailableUpdate)),
    )
    def follow_late(self, number: int, other: int, reported: AvailableUpdate) -> None:
        """Act on a heartbeat that was received a while ago."""
        self.act(self.hosts[number], self.hosts[other], reported, True)

    def act(
        self, host: Host, peer: Host, update: AvailableUpdate, reachable: bool
    ) -> None:
        if update is AvailableUpdate.CHANGES:
            host.copy(peer, self.now, everything=False)
        elif update is AvailableUpdate.CONFIGURATION and reachable:
            catalog = host.catalog
            delta = Delta((self.store.configuration,), catalog.revision, catalog.era)
            catalog.apply(delta, self.now, False)
            if self.store.version < peer.catalog.version:
                host.copy(peer, self.now, everything=True)
        elif update is AvailableUpdate.CONFIGURATION:
            host.copy(peer, self.now, everything=True)

    @rule()
    def settle(self) -> None:
        """One host reads, and the others copy until all have the same content."""
        self.write_again()
        self.read(0)
        for _ in range(3):
            for number in range(HOSTS):
                for other in range(HOSTS):
                    self.follow(number, other, True)
        self.now += DOUBT_S
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
    def versions_never_decrease(self) -> None:
        for number, host in enumerate(self.hosts):
            assert host.catalog.version >= self.versions[number]
            highest = max(self.store.version, self.lost.version if self.lost else 0)
            assert host.catalog.version <= highest
            self.versions[number] = host.catalog.version


def test_hosts_that_copy_have_the_content_of_the_store() -> None:
    run_machine(CopiesMachine, Counter())
