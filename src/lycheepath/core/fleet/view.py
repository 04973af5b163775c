"""
This host's view of the other hosts of the fleet, kept by heartbeats.

Each host increments a heartbeat counter and sends it, with the latest counters
received from other hosts, to a bounded number of hosts. A host whose counter has
not advanced within a timeout is considered unreachable; no agreement between hosts
is needed for that. The cost for a host doesn't grow with the fleet; the time until
a lost host is noticed grows with the size of its region::

    view = FleetView(local_row, seeds=("10.0.0.2",), random=Random())
    for ip, region in view.next_receivers(now): ...
    view.record_heartbeat(row, now, direct=True)
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

# Interval between the heartbeats of a host in a small region, in seconds.
MIN_HEARTBEAT_INTERVAL_S = 0.1
# Interval between the heartbeats of a host in a large region, in seconds. Larger
# regions send more rows with each heartbeat, and send less often.
MAX_HEARTBEAT_INTERVAL_S = 0.25
# The heartbeat interval grows by this with each host of the local region.
HEARTBEAT_INTERVAL_PER_HOST_S = 0.004
# A host of a small local region is considered unreachable when its heartbeat has not
# advanced for this long, which is eight heartbeat intervals.
MIN_LOCAL_TIMEOUT_S = 0.8
# A host of a large local region is considered unreachable after the time in which
# this many of its rows should have arrived. With 30 hosts and 2% message loss, missing
# all of them by chance happens once in 15,000 times.
MISSED_ROWS = 10
# Timeout for hosts of remote regions, whose heartbeats arrive through fewer hosts and
# over longer paths.
REMOTE_TIMEOUT_S = 3.5
# An unreachable host is still contacted for this long, as it may only be cut off.
REMOVE_AFTER_S = 60.0
# Hosts of the local region that get each heartbeat; in a small region these are all
# hosts. In a region of 30 hosts, each host's heartbeat arrives once a second.
LOCAL_RECEIVERS = 3
# Number of other hosts in a region up to which receivers are drawn without regard to
# their zones. Traffic between zones is billed, and heartbeats make up most of it.
MAX_UNZONED_HOSTS = 8
# Hosts of the sender's zone that get each heartbeat in a larger region, and how often
# one of another zone gets it too. Rows of all zones travel on within each zone.
ZONE_RECEIVERS = 2
OTHER_ZONE_SHARE = 0.5
# Hosts of each remote region that get every ``REMOTE_HEARTBEATS``-th heartbeat.
REMOTE_RECEIVERS = 1
# One heartbeat in this many also goes to remote regions and to a seed.
REMOTE_HEARTBEATS = 4
# Each of the first heartbeats after the start goes to seeds and remote regions too.
STARTUP_HEARTBEATS = 15
# Rows of the local region in a message to a host of the local region.
LOCAL_ROWS_TO_LOCAL = 15
# Rows of the local region in a message to a host of a remote region.
LOCAL_ROWS_TO_REMOTE = 10
# Rows of remote regions in any message.
REMOTE_ROWS = 3


@dataclass(frozen=True, slots=True)
class HostRow:
    """
    What a host announces about itself.

    ``instance_id`` is drawn at random by each process; ``heartbeat`` grows while it
    runs. A host that isn't ``ready`` either can't serve yet or is draining. A draining
    host keeps serving for ``drain_remaining_s`` seconds after its heartbeat; otherwise
    ``drain_remaining_s`` is 0.
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
class _ReceivedRow:
    row: HostRow
    received_at: float


class FleetView:
    """State: the latest row of each known host, and when it last advanced."""

    def __init__(
        self, local_row: HostRow, seeds: Iterable[str], random: Random
    ) -> None:
        self.local_row = local_row
        self.seeds = tuple(ip for ip in seeds if ip != local_row.ip)
        self._random = random
        self._received: dict[str, _ReceivedRow] = {}
        self._heartbeats = 0
        self._local_timeout_s = MIN_LOCAL_TIMEOUT_S
        self.heartbeat_interval_s = MIN_HEARTBEAT_INTERVAL_S

    def advance_heartbeat(self, ready: bool, drain_remaining_s: float = 0.0) -> HostRow:
        """Advance this host's heartbeat and return its row."""
        self._heartbeats += 1
        others = sum(
            r.row.region == self.local_row.region for r in self._received.values()
        )
        self.heartbeat_interval_s = choose_heartbeat_interval_s(others + 1)
        self._local_timeout_s = choose_local_timeout_s(others + 1)
        self.local_row = replace(
            self.local_row,
            heartbeat=self.local_row.heartbeat + 1,
            ready=ready,
            drain_remaining_s=drain_remaining_s,
        )
        return self.local_row

    def record_heartbeat(self, row: HostRow, now: float, direct: bool) -> bool:
        """
        Record a received row; return whether its host is new or reachable again.

        ``direct`` says that the row came from its host rather than through another.
        A row with another ``instance_id`` replaces the held one if it is direct, or if
        the held one has timed out: other hosts keep forwarding rows of the previous
        process for a while after a restart, but their heartbeat no longer advances.
        """
        if row.id == self.local_row.id:
            return False
        held = self._received.get(row.id)
        if held is None:
            self._received[row.id] = _ReceivedRow(row, now)
            return True
        timed_out = now - held.received_at > self._timeout_s(held.row)
        if row.instance_id != held.row.instance_id:
            if direct or timed_out:
                held.row, held.received_at = row, now
                return True
            return False
        if row.heartbeat <= held.row.heartbeat:
            return False
        held.row, held.received_at = row, now
        return timed_out

    def discount_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the time without heartbeats."""
        for held in self._received.values():
            held.received_at += pause_s

    def last_heartbeat_at(self, host: str) -> float:
        """Return when a host's heartbeat last advanced; minus infinity if never."""
        held = self._received.get(host)
        return float("-inf") if held is None else held.received_at

    def live_hosts(self, now: float, region: str | None = None) -> list[HostRow]:
        """Return the other reachable hosts, of one region or of all."""
        local_region = self.local_row.region
        local_since, remote_since = (
            now - self._local_timeout_s,
            now - REMOTE_TIMEOUT_S,
        )
        return [
            held.row
            for held in self._received.values()
            if (region is None or held.row.region == region)
            and held.received_at
            >= (local_since if held.row.region == local_region else remote_since)
        ]

    def ready_hosts(self, now: float, region: str | None = None) -> list[HostRow]:
        """Return the other hosts that accept callers, of one region or of all."""
        return [row for row in self.live_hosts(now, region) if row.ready]

    def draining_hosts(self, now: float, region: str | None = None) -> list[HostRow]:
        """
        Return the other hosts that are draining, the one that ends last first.

        They can relay requests that end in time, on behalf of hosts of other regions.
        """
        ends = [
            (self._received[row.id].received_at + row.drain_remaining_s, row)
            for row in self.live_hosts(now, region)
            if not row.ready
        ]
        ends.sort(key=lambda end: -end[0])
        return [row for end_at, row in ends if end_at > now]

    def find_host(self, host: str) -> HostRow | None:
        """Return the row of a known host, reachable or not, or None."""
        held = self._received.get(host)
        return None if held is None else held.row

    def known_hosts(self, region: str) -> list[HostRow]:
        """Return the other known hosts of a region, reachable or not."""
        return [
            held.row for held in self._received.values() if held.row.region == region
        ]

    def list_known(self) -> list[HostRow]:
        """Return the other known hosts of all regions, reachable or not."""
        return [held.row for held in self._received.values()]

    def count_known_hosts(self) -> int:
        """Return the number of known hosts, unreachable ones and this one included."""
        return len(self._received) + 1

    def remove_expired(self, now: float) -> list[str]:
        """Remove hosts that have long been unreachable; return their ids."""
        expired = [
            host
            for host, held in self._received.items()
            if now - held.received_at > REMOVE_AFTER_S
        ]
        for host in expired:
            del self._received[host]
        return expired

    def next_receivers(self, now: float) -> list[tuple[str, str]]:
        """
        Return the receivers of this heartbeat as pairs of IP and region.

        The region is empty where it is unknown.
        """
        if self._heartbeats % REMOTE_HEARTBEATS and (
            self._heartbeats > STARTUP_HEARTBEATS
        ):
            local = self.live_hosts(now, self.local_row.region)
            return self._sample_local_receivers(local)
        regions: dict[str, list[HostRow]] = {}
        for row in self.live_hosts(now):
            regions.setdefault(row.region, []).append(row)
        local = regions.pop(self.local_row.region, [])
        receivers = self._sample_local_receivers(local)
        for rows in regions.values():
            receivers += self._sample_receivers(rows, REMOTE_RECEIVERS)
        chosen = {ip for ip, _ in receivers}
        receivers += [
            (ip, "") for ip in self._pick_unreachable(now) if ip not in chosen
        ]
        return receivers

    def rows_to_send(self, now: float, region: str) -> list[HostRow]:
        """
        Return rows of other reachable hosts for a message to a region.

        Messages within a region carry more of its rows, since its hosts have to
        notice a lost host first; messages to remote regions carry fewer.
        """
        local_rows = (
            LOCAL_ROWS_TO_LOCAL
            if region == self.local_row.region
            else LOCAL_ROWS_TO_REMOTE
        )
        live = self.live_hosts(now)
        local = [row for row in live if row.region == self.local_row.region]
        remote = [row for row in live if row.region != self.local_row.region]
        return self._sample(local, local_rows) + self._sample(remote, REMOTE_ROWS)

    def _pick_unreachable(self, now: float) -> list[str]:
        """Return one seed and one host without heartbeats, to contact them again."""
        live = {row.ip for row in self.live_hosts(now)}
        seeds = [ip for ip in self.seeds if ip not in live]
        timed_out = [
            held.row.ip for held in self._received.values() if held.row.ip not in live
        ]
        picked = []
        for ips in (seeds, timed_out):
            if ips:
                picked.append(self._random.choice(ips))
        return picked

    def _sample_local_receivers(self, rows: list[HostRow]) -> list[tuple[str, str]]:
        """Return receivers of the local region, in a large one mostly of this zone."""
        zone = self.local_row.zone
        same_zone = [row for row in rows if row.zone == zone]
        others = [row for row in rows if row.zone != zone]
        is_small = len(rows) <= MAX_UNZONED_HOSTS or len(same_zone) < ZONE_RECEIVERS
        if is_small or not others:
            return self._sample_receivers(rows, LOCAL_RECEIVERS)
        receivers = self._sample_receivers(same_zone, ZONE_RECEIVERS)
        if self._random.random() < OTHER_ZONE_SHARE:
            receivers += self._sample_receivers(
                others, LOCAL_RECEIVERS - ZONE_RECEIVERS
            )
        return receivers

    def _sample_receivers(
        self, rows: list[HostRow], limit: int
    ) -> list[tuple[str, str]]:
        return [(row.ip, row.region) for row in self._sample(rows, limit)]

    def _sample(self, rows: list[HostRow], limit: int) -> list[HostRow]:
        return self._random.sample(rows, limit) if len(rows) > limit else rows

    def _timeout_s(self, row: HostRow) -> float:
        if row.region != self.local_row.region:
            return REMOTE_TIMEOUT_S
        return self._local_timeout_s


def choose_heartbeat_interval_s(hosts: int) -> float:
    """Return the interval between heartbeats in a region of ``hosts`` hosts."""
    return min(
        MAX_HEARTBEAT_INTERVAL_S,
        max(MIN_HEARTBEAT_INTERVAL_S, HEARTBEAT_INTERVAL_PER_HOST_S * hosts),
    )


def choose_local_timeout_s(hosts: int) -> float:
    """Return the time without heartbeats after which a local host is unreachable."""
    receivers = min(LOCAL_RECEIVERS, max(1, hosts - 1))
    rows = receivers * (1 + min(LOCAL_ROWS_TO_LOCAL, hosts)) / max(1, hosts - 1)
    rows_per_s = rows / choose_heartbeat_interval_s(hosts)
    return max(MIN_LOCAL_TIMEOUT_S, MISSED_ROWS / rows_per_s)
