"""
What is known of other regions, and whom to ask there.

The contacts of a region are computed from the published list. A contact that
doesn't answer is passed over for the next in the computed order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rendezvous import CONTACTS_PER_REGION, rank_hosts
from .spreading import HeldSummary

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .messages import RegionSummary
    from .model import PublishedHost

MAX_REGIONS = 64


class Regions:
    """The summaries of other regions and the published hosts in them."""

    def __init__(self, own: str, random: Random) -> None:
        self._own = own
        self._random = random
        self._held: dict[str, HeldSummary] = {}
        self._told_at: dict[str, float] = {}
        self._published: dict[str, tuple[PublishedHost, ...]] = {}
        self._hosts: dict[str, PublishedHost] = {}
        self._failures: dict[str, int] = {}

    def publish(self, hosts: Iterable[PublishedHost]) -> None:
        """Take the published hosts of all regions as where to ask."""
        by_region: dict[str, list[PublishedHost]] = {}
        for host in hosts:
            if host.region != self._own:
                by_region.setdefault(host.region, []).append(host)
        self._published = {name: tuple(found) for name, found in by_region.items()}
        self._hosts = {host.id: host for found in by_region.values() for host in found}

    def host(self, host_id: str) -> PublishedHost | None:
        """Return a published host of another region."""
        return self._hosts.get(host_id)

    def summaries(self) -> tuple[HeldSummary, ...]:
        """Return the summaries held, one for each region."""
        return tuple(self._held.values())

    def get(self, region: str) -> HeldSummary | None:
        """Return the summary held of ``region``."""
        return self._held.get(region)

    def names(self) -> tuple[str, ...]:
        """Return the other regions that are known."""
        return tuple(sorted(self._published.keys() | self._held.keys()))

    def put(self, summary: RegionSummary, now: float) -> HeldSummary | None:
        """Hold a newer summary; return it, or None if it isn't newer."""
        if summary.region == self._own or not summary.region:
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

    def must_tell(
        self, region: str, changed: bool, refresh_s: float, now: float
    ) -> bool:
        """Return whether the own region is to hear of ``region`` now."""
        if not changed and now - self._told_at.get(region, -refresh_s) < refresh_s:
            return False
        self._told_at[region] = now
        return True

    def pick_contact(self, region: str) -> tuple[str, str] | None:
        """Return the id and address of whom to ask in ``region``; id may be empty."""
        held = self._held.get(region)
        unfit = {*held.summary.down, *held.summary.leaving} if held else set()
        hosts = {host.id: host for host in self._published.get(region, ())}
        failures = self._failures.get(region, 0)
        count = CONTACTS_PER_REGION + failures
        ranked = rank_hosts(f"contact/{region}", hosts.keys() - unfit, count)
        known = list(held.summary.contacts) if held else []
        if not ranked or (known and failures % 4 == 3):
            return ("", self._random.choice(known)) if known else None
        chosen = hosts[self._random.choice(ranked)]
        return chosen.id, chosen.peers_address

    def note_answer(self, region: str) -> None:
        """A contact of ``region`` answered."""
        self._failures.pop(region, None)

    def note_silence(self, region: str) -> None:
        """A contact of ``region`` did not answer."""
        limit = len(self._published.get(region, ()))
        self._failures[region] = min(self._failures.get(region, 0) + 1, limit)
