"""
The remote regions: their summaries and their contacts.

The contacts of a region are computed from the published hosts. If a contact doesn't
answer, the next one in the computed order is used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .dissemination import HeldSummary
from .rendezvous import CONTACTS_PER_REGION, rank_hosts

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .messages import RegionSummary
    from .model import PublishedHost

MAX_REGIONS = 64


class Regions:
    """The summaries of remote regions and the published hosts in them."""

    def __init__(self, local_region: str, random: Random) -> None:
        self._local_region = local_region
        self._random = random
        self._held: dict[str, HeldSummary] = {}
        self._announced_at: dict[str, float] = {}
        self._published: dict[str, tuple[PublishedHost, ...]] = {}
        self._hosts: dict[str, PublishedHost] = {}
        self._failures: dict[str, int] = {}

    def set_published_hosts(self, hosts: Iterable[PublishedHost]) -> None:
        """Set the published hosts of all regions, from which contacts are chosen."""
        by_region: dict[str, list[PublishedHost]] = {}
        for host in hosts:
            if host.region != self._local_region:
                by_region.setdefault(host.region, []).append(host)
        self._published = {name: tuple(found) for name, found in by_region.items()}
        self._hosts = {host.id: host for found in by_region.values() for host in found}

    def published_host(self, host_id: str) -> PublishedHost | None:
        """Return a published host of a remote region."""
        return self._hosts.get(host_id)

    def summaries(self) -> tuple[HeldSummary, ...]:
        """Return the summaries held, one for each region."""
        return tuple(self._held.values())

    def get(self, region: str) -> HeldSummary | None:
        """Return the held summary of ``region``."""
        return self._held.get(region)

    def names(self) -> tuple[str, ...]:
        """Return the names of the known remote regions."""
        return tuple(sorted(self._published.keys() | self._held.keys()))

    def put(self, summary: RegionSummary, now: float) -> HeldSummary | None:
        """Store a summary and return it, or None if it isn't newer."""
        if summary.region == self._local_region or not summary.region:
            return None
        observed_at = now - summary.age_ms / 1000
        known = self._held.get(summary.region)
        if known is not None and observed_at <= known.observed_at + 1.0:
            return None
        if known is None and len(self._held) >= MAX_REGIONS:
            return None
        held = HeldSummary(summary, observed_at)
        self._held[summary.region] = held
        return held

    def must_announce(
        self, region: str, changed: bool, refresh_s: float, now: float
    ) -> bool:
        """Return whether to announce ``region`` in the local region now."""
        if not changed and now - self._announced_at.get(region, -refresh_s) < refresh_s:
            return False
        self._announced_at[region] = now
        return True

    def pick_contact(self, region: str) -> tuple[str, str] | None:
        """Return id and address of a contact in ``region``; the id may be empty."""
        held = self._held.get(region)
        excluded = {*held.summary.down, *held.summary.leaving} if held else set()
        hosts = {host.id: host for host in self._published.get(region, ())}
        failures = self._failures.get(region, 0)
        count = CONTACTS_PER_REGION + failures
        ranked = rank_hosts(f"contact/{region}", hosts.keys() - excluded, count)
        known = list(held.summary.contacts) if held else []
        if not ranked or (known and failures % 4 == 3):
            return ("", self._random.choice(known)) if known else None
        chosen = hosts[self._random.choice(ranked)]
        return chosen.id, chosen.peers_address

    def record_answer(self, region: str) -> None:
        """Reset the failures of ``region``, as a contact of it has answered."""
        self._failures.pop(region, None)

    def record_timeout(self, region: str) -> None:
        """Count a contact of ``region`` that did not answer in time."""
        limit = len(self._published.get(region, ()))
        self._failures[region] = min(self._failures.get(region, 0) + 1, limit)
