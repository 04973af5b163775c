"""
The hosts of the fleet as this host hears of them.

Each host counts a beat and tells it, with beats of others that it has heard,
to a bounded number of hosts. A host whose beat stands still for too long is
taken for gone; nothing needs to agree on that. The cost for a host doesn't grow
with the fleet; the time until a lost host is noticed grows with its region::

    view = FleetView(own, seeds=("10.0.0.2",), random=Random())
    for ip in view.next_receivers(now): ...
    view.hear(row, now, direct=True)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

# Between two beats in a small region, and in a large one, in seconds; more hosts
# tell each other more rows at each beat, and less often.
BEAT_S = 0.1
LONGEST_BEAT_S = 0.25
BEAT_PER_HOST_S = 0.004
# A host of a small region that tells nothing for this long is gone; eight beats.
SILENCE_S = 0.8
# Of a larger region, after the time in which so many of its rows should have
# come: with 30 hosts and 2% loss none comes by chance once in 15,000 times.
ROWS_MISSED = 10
# Beats of another region come through fewer hosts and over long ways.
AWAY_SILENCE_S = 3.5
# A host that is gone is tried again for this long, as it may only be cut off.
FORGET_S = 60.0
# Hosts of the own region that are told at each beat; all there are in a small
# region. Of 30 hosts each is heard of once a second.
REGION_RECEIVERS = 3
# Of each other region and among the seeds, at every ``AWAY_EVERY`` beats.
AWAY_RECEIVERS = 1
AWAY_EVERY = 4
# A host that has just started tells seeds and other regions at each beat.
FIRST_BEATS = 15
# Rows of the own region in a message to it, and in one to another region.
NEAR_ROWS = 15
AWAY_ROWS = 10
# Rows of other regions in any message.
OTHER_ROWS = 3


@dataclass(frozen=True, slots=True)
class HostRow:
    """
    What a host says of itself.

    ``start`` is drawn anew by each process, ``beat`` grows while it runs. A
    host that isn't ``ready`` can't serve yet, or takes no new callers any more;
    in the second case it goes on for ``left_s`` after its beat, else that is 0.
    """

    id: str
    instance_id: int
    heartbeat: int
    ip: str
    zone: str
    region: str
    ready: bool = False
    drain_remaining_s: float = 0.0


@dataclass(slots=True)
class _Heard:
    row: HostRow
    at: float


class FleetView:
    """State: the rows of all hosts heard of, and when they last changed."""

    def __init__(self, own: HostRow, seeds: Iterable[str], random: Random) -> None:
        self.local_row = own
        self.seeds = tuple(ip for ip in seeds if ip != own.ip)
        self._random = random
        self._heard: dict[str, _Heard] = {}
        self._beats = 0
        self._near_silence_s = SILENCE_S
        self.heartbeat_interval_s = BEAT_S

    def advance_heartbeat(self, ready: bool, left_s: float = 0.0) -> HostRow:
        """Count a beat of this host and return its row."""
        self._beats += 1
        near = sum(h.row.region == self.local_row.region for h in self._heard.values())
        self.heartbeat_interval_s = choose_beat_s(near + 1)
        self._near_silence_s = choose_silence_s(near + 1)
        self.local_row = replace(
            self.local_row,
            heartbeat=self.local_row.heartbeat + 1,
            ready=ready,
            drain_remaining_s=left_s,
        )
        return self.local_row

    def record_heartbeat(self, row: HostRow, now: float, direct: bool) -> bool:
        """
        Take a row; tell whether it made a host known or live again.

        A row with another start replaces the held one if it comes from the
        host itself, or if the held one has fallen silent: old rows go on being
        told for a while after a restart, but their beat stands still.
        """
        if row.id == self.local_row.id:
            return False
        held = self._heard.get(row.id)
        if held is None:
            self._heard[row.id] = _Heard(row, now)
            return True
        silent = now - held.at > self._silence_s(held.row)
        if row.instance_id != held.row.instance_id:
            if direct or silent:
                held.row, held.at = row, now
                return True
            return False
        if row.heartbeat <= held.row.heartbeat:
            return False
        held.row, held.at = row, now
        return silent

    def discount_pause(self, pause_s: float) -> None:
        """Don't count a pause of this process as silence of the others."""
        for held in self._heard.values():
            held.at += pause_s

    def last_heartbeat_at(self, host: str) -> float:
        """Return when a host was last heard of; minus infinity if never."""
        held = self._heard.get(host)
        return float("-inf") if held is None else held.at

    def live_hosts(self, now: float, region: str | None = None) -> list[HostRow]:
        """Return the other hosts that are heard of, of one region or of all."""
        own = self.local_row.region
        near_since, away_since = now - self._near_silence_s, now - AWAY_SILENCE_S
        return [
            held.row
            for held in self._heard.values()
            if (region is None or held.row.region == region)
            and held.at >= (near_since if held.row.region == own else away_since)
        ]

    def ready_hosts(self, now: float, region: str | None = None) -> list[HostRow]:
        """Return the other hosts that take callers, of one region or of all."""
        return [row for row in self.live_hosts(now, region) if row.ready]

    def draining_hosts(self, now: float, region: str | None = None) -> list[HostRow]:
        """
        Return the other hosts that leave and aren't gone yet, the last first.

        They can pass on requests that end in time, for hosts of other regions.
        """
        ends = [
            (self._heard[row.id].at + row.drain_remaining_s, row)
            for row in self.live_hosts(now, region)
            if not row.ready
        ]
        ends.sort(key=lambda end: -end[0])
        return [row for at, row in ends if at > now]

    def known_hosts(self, region: str) -> list[HostRow]:
        """Return the other hosts of a region that were heard of, gone or not."""
        return [h.row for h in self._heard.values() if h.row.region == region]

    def count_known_hosts(self) -> int:
        """Return the number of hosts, with those gone lately and this one."""
        return len(self._heard) + 1

    def remove_expired(self, now: float) -> list[str]:
        """Forget hosts that have been gone for long; return their ids."""
        old = [host for host, held in self._heard.items() if now - held.at > FORGET_S]
        for host in old:
            del self._heard[host]
        return old

    def next_receivers(self, now: float) -> list[tuple[str, str]]:
        """Return the IPs to tell at this beat, each with its region ('' unknown)."""
        if self._beats % AWAY_EVERY and self._beats > FIRST_BEATS:
            near = self.live_hosts(now, self.local_row.region)
            return self._sample(near, REGION_RECEIVERS)
        regions: dict[str, list[HostRow]] = {}
        for row in self.live_hosts(now):
            regions.setdefault(row.region, []).append(row)
        near = regions.pop(self.local_row.region, [])
        receivers = self._sample(near, REGION_RECEIVERS)
        for rows in regions.values():
            receivers += self._sample(rows, AWAY_RECEIVERS)
        told = {ip for ip, _ in receivers}
        receivers += [(ip, "") for ip in self._find_lost(now) if ip not in told]
        return receivers

    def rows_to_send(self, now: float, region: str) -> list[HostRow]:
        """
        Return rows of other live hosts for a message to a region.

        Hosts of a region tell each other mostly of themselves, since those
        have to notice a loss soonest; others hear more of this region.
        """
        most = NEAR_ROWS if region == self.local_row.region else AWAY_ROWS
        live = self.live_hosts(now)
        near = [row for row in live if row.region == self.local_row.region]
        others = [row for row in live if row.region != self.local_row.region]
        return self._draw(near, most) + self._draw(others, OTHER_ROWS)

    def _find_lost(self, now: float) -> list[str]:
        """Return a seed and a silent host, which may be there again."""
        live = {row.ip for row in self.live_hosts(now)}
        lost = [s for s in self.seeds if s not in live]
        silent = [h.row.ip for h in self._heard.values() if h.row.ip not in live]
        picked = []
        for ips in (lost, silent):
            if ips:
                picked.append(self._random.choice(ips))
        return picked

    def _sample(self, rows: list[HostRow], most: int) -> list[tuple[str, str]]:
        return [(row.ip, row.region) for row in self._draw(rows, most)]

    def _draw(self, rows: list[HostRow], most: int) -> list[HostRow]:
        return self._random.sample(rows, most) if len(rows) > most else rows

    def _silence_s(self, row: HostRow) -> float:
        if row.region != self.local_row.region:
            return AWAY_SILENCE_S
        return self._near_silence_s


def choose_beat_s(hosts: int) -> float:
    """Return the time between two beats of a host in a region of so many."""
    return min(LONGEST_BEAT_S, max(BEAT_S, BEAT_PER_HOST_S * hosts))


def choose_silence_s(hosts: int) -> float:
    """Return the silence that takes a host of a region of so many for gone."""
    told = min(REGION_RECEIVERS, max(1, hosts - 1))
    rows = told * (1 + min(NEAR_ROWS, hosts)) / max(1, hosts - 1)
    rows_per_s = rows / choose_beat_s(hosts)
    return max(SILENCE_S, ROWS_MISSED / rows_per_s)
