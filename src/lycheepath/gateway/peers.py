"""Sends heartbeats to the other hosts and receives theirs, as datagrams."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import trio

from ..adapters.cold_messages import decode_cold_report, is_cold_report
from ..adapters.crash_messages import decode_crash_report, is_crash_report
from ..adapters.events import record_event
from ..adapters.grant_messages import decode_grant_message, is_grant_message
from ..adapters.heartbeats import (
    BeatError,
    Heartbeat,
    decode_heartbeat_fields,
    encode_heartbeat,
    parse_datagram,
)
from ..adapters.limit_messages import decode_limit_message, is_limit_message
from ..adapters.load_messages import MessageError, decode_message, is_load_message
from ..adapters.loop_delay import HELD_UP_S
from ..adapters.origin_messages import decode_origin_message, is_origin_message
from ..adapters.team_limit_messages import (
    decode_team_limit_message,
    is_team_limit_message,
)
from ..adapters.view_messages import decode_view_message, is_view_message
from ..core.fleet.view import FleetView, HostRow
from .team_limits import FleetHosts

if TYPE_CHECKING:
    from .node import GatewayNode

# If the sender wakes up this much late, the process was paused rather than busy.
PROCESS_PAUSE_S = 1.0
RECEIVE_BYTES = 65_536
# Time for which a draining or replaced target is repeated in heartbeats. In a region
# of 30 hosts nearly all hosts have received it by then.
GONE_REPORT_S = 2.0
# Part of the region's hosts from which on the others are taken for ended. If fewer are
# reachable, the rest may serve without this host's knowledge.
ENOUGH_PRESENCE = 0.85
# Interval at which outdated reports of peers are removed.
EXPIRY_INTERVAL_S = 1.0


class Peers:
    """State: the UDP socket and the view of the fleet."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        settings = node.settings
        local_row = HostRow(
            settings.host,
            node.random.getrandbits(53),
            0,
            settings.ip,
            settings.zone,
            settings.region,
        )
        seeds = [seed.ip for seed in settings.seeds]
        self.view = FleetView(local_row, seeds, node.random)
        self._live: dict[str, HostRow] = {}
        self._expired_at = node.now()
        self._socket: trio.socket.SocketType | None = None

    async def run(self) -> None:
        """Send and receive datagrams until cancelled."""
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            await udp_socket.bind(
                (self._node.settings.ip, self._node.settings.peer_port)
            )
            self._socket = udp_socket
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_sender)
                    nursery.start_soon(self._run_receiver, udp_socket)
            finally:
                self._socket = None

    def count_local_hosts(self) -> int:
        """Return the number of live hosts of the local region, with this one."""
        return len(self._live) + 1

    def list_local_hosts(self) -> list[str]:
        """Return the other live hosts of the local region."""
        return list(self._live)

    async def send_to(self, host: str, data: bytes) -> None:
        """Send a datagram to a host of the local region, if it is live."""
        row = self._live.get(host)
        if row is not None:
            await self._send(data, row.ip)

    async def send_to_row(self, row: HostRow, data: bytes) -> None:
        """Send a datagram to a host of any region."""
        await self._send(data, row.ip)

    async def send_to_any(self, host: str, data: bytes) -> None:
        """Send a datagram to a host of any region, if it is known."""
        row = self.view.find_host(host)
        if row is not None:
            await self.send_to_row(row, data)

    async def announce_shutdown(self) -> None:
        """Announce to all hosts of the region that this one takes no new callers."""
        local_row = self.view.advance_heartbeat(False, self._node.remaining_s())
        data = encode_heartbeat(Heartbeat(local_row, ()))
        for row in list(self._live.values()):
            await self._send(data, row.ip)

    async def _send(self, data: bytes, ip: str) -> None:
        if self._socket is None:
            return
        try:
            await self._socket.sendto(data, (ip, self._node.settings.peer_port))
        except OSError as error:
            self._node.metrics.count("beats_unsent_total", reason=str(error.errno))

    async def _run_sender(self) -> None:
        node = self._node
        woken_at = node.now()
        while True:
            node.loop_delay.expect(node.now() + self.view.heartbeat_interval_s)
            await trio.sleep(self.view.heartbeat_interval_s)
            now = node.now()
            self._record_delay(node.loop_delay.record(now))
            if now - woken_at > PROCESS_PAUSE_S:
                record_event("paused", for_s=round(now - woken_at, 3))
            woken_at = now
            node.links.update(now)
            self.view.advance_heartbeat(node.serving, node.remaining_s())
            node.containment.update(now)
            await node.versions.run_due(now)
            await self._send_heartbeats(now)
            found = self._update_live_hosts(now)
            if found:
                await node.permits.tell_hosts(found)
                await node.grants.tell_hosts(found)
                await node.cold_checks.tell_hosts(found)

    def _record_delay(self, late_s: float) -> None:
        self._node.metrics.record_ms("loop_delay_ms", late_s * 1000.0)
        if late_s > HELD_UP_S:
            # Heartbeats that arrived meanwhile haven't been read yet.
            self.view.discount_pause(late_s)
            record_event("held-up", for_s=round(late_s, 3))

    async def _send_heartbeats(self, now: float) -> None:
        node = self._node
        view = self.view
        local_row = view.local_row
        common = (
            node.registry.list_gone_targets(now, GONE_REPORT_S),
            node.store.catalog_status(now),
        )
        local_data = remote_data = b""
        receivers = view.next_receivers(now)
        for ip, region in receivers:
            if region == local_row.region:
                if not local_data:
                    rows = tuple(view.rows_to_send(now, local_row.region))
                    local_data = encode_heartbeat(
                        Heartbeat(local_row, rows, {}, *common)
                    )
                data = local_data
            else:
                if not remote_data:
                    rows = tuple(view.rows_to_send(now, region))
                    waits = node.registry.region_waits.local_waits(now)
                    remote_data = encode_heartbeat(
                        Heartbeat(local_row, rows, waits, *common)
                    )
                data = remote_data
            await self._send(data, ip)
        await self._send_evidence(receivers, now)

    async def _send_evidence(
        self, receivers: list[tuple[str, str]], now: float
    ) -> None:
        """Send evidence on crashes: the new to all, all of it to one of each region."""
        containment = self._node.containment
        new_evidence = containment.write_new_evidence(now)
        if new_evidence:
            for ip, _ in receivers:
                await self._send(new_evidence, ip)
        last_of_regions = {region: ip for ip, region in receivers}
        due = [
            ip
            for region, ip in last_of_regions.items()
            if containment.start_full_report(region, now)
        ]
        all_evidence = containment.write_all_evidence(now) if due else b""
        if all_evidence:
            for ip in due:
                await self._send(all_evidence, ip)

    async def _send_all_evidence(self, host: HostRow, now: float) -> None:
        """Send evidence on crashes to a host that has started or was out of reach."""
        data = self._node.containment.write_all_evidence(now)
        if data:
            await self.send_to_row(host, data)

    async def _run_receiver(self, udp_socket: trio.socket.SocketType) -> None:
        node = self._node
        while True:
            try:
                data, _ = await udp_socket.recvfrom(RECEIVE_BYTES)
                await self._handle_datagram(parse_datagram(data), node.now())
            except (BeatError, MessageError):
                node.metrics.count("beats_unreadable_total")
            except OSError as error:
                node.metrics.count("beats_unreceived_total", reason=str(error.errno))

    async def _handle_datagram(self, fields: list[Any], now: float) -> None:
        if is_load_message(fields[0]):
            await self._node.coordination.handle_message(decode_message(fields))
        elif is_limit_message(fields[0]):
            await self._node.permits.handle_message(decode_limit_message(fields))
        elif is_team_limit_message(fields[0]):
            message = decode_team_limit_message(fields)
            await self._node.team_limits.handle_message(message)
        elif is_grant_message(fields[0]):
            await self._node.grants.handle_message(decode_grant_message(fields))
        elif is_origin_message(fields[0]):
            await self._node.versions.handle_message(decode_origin_message(fields))
        elif is_view_message(fields[0]):
            await self._node.view_proofs.handle_message(decode_view_message(fields))
        elif is_cold_report(fields[0]):
            self._node.cold_checks.handle_report(decode_cold_report(fields))
        elif is_crash_report(fields[0]):
            self._node.containment.apply_report(decode_crash_report(fields))
        else:
            await self._apply_heartbeat(decode_heartbeat_fields(fields), now)

    async def _apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        node = self._node
        if self.view.record_heartbeat(heartbeat.sender, now, direct=True):
            await self._send_all_evidence(heartbeat.sender, now)
        for row in heartbeat.rows:
            self.view.record_heartbeat(row, now, direct=False)
        node.view_proofs.proof.require(heartbeat.catalog_status.version)
        node.store.apply_peer_status(heartbeat.sender, heartbeat.catalog_status, now)
        if heartbeat.sender.region != self.view.local_row.region:
            for queue, wait_s in heartbeat.waits.items():
                node.registry.region_waits.apply_report(
                    heartbeat.sender.region, queue, wait_s, now
                )
        for target_id in heartbeat.gone_targets:
            node.registry.apply_gone_report(target_id, now)

    def _update_live_hosts(self, now: float) -> set[str]:
        """Update the live hosts of the region, log changes; return the new ones."""
        local_row = self.view.local_row
        live = {row.id: row for row in self.view.live_hosts(now, local_row.region)}
        found = live.keys() - self._live.keys()
        for host in found:
            record_event("host-live", subject=host, hosts=len(live) + 1)
        for host in self._live.keys() - live.keys():
            record_event("host-silent", subject=host, hosts=len(live) + 1)
            self._node.registry.remove_peer(host)
        self._live = live
        rows = [*live.values(), local_row]
        # Draining hosts coordinate targets only while the region has no ready host.
        coordinating = [row for row in rows if row.ready] or [
            r for r in rows if r.drain_remaining_s
        ]
        hosts = [row.id for row in coordinating]
        self._node.coordination.coordinators.set_hosts(hosts)
        self._node.permits.coordinators.set_hosts(hosts)
        self._node.grants.set_hosts(hosts)
        self._node.team_limits.set_hosts(self._find_fleet_hosts(hosts, now))
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self.view.remove_expired(now)
            self._node.registry.expire_peer_loads(now)
        return found

    def _find_fleet_hosts(self, coordinating: list[str], now: float) -> FleetHosts:
        """Return the hosts of all regions that may coordinate the limits of teams."""
        local_region = self.view.local_row.region
        remote: dict[str, list[str]] = {
            region: [] for region in self._list_regions() if region != local_region
        }
        for row in self.view.ready_hosts(now):
            if row.region != local_region:
                remote[row.region].append(row.id)
        known = {
            row.id
            for row in self.view.known_hosts(local_region)
            # A host that has announced its end isn't only out of reach.
            if row.id in self._live or row.ready
        }
        presence = (len(self._live) + 1) / (len(known) + 1)
        return FleetHosts(
            tuple(sorted(coordinating)) or (self.view.local_row.id,),
            {region: tuple(hosts) for region, hosts in remote.items()},
            1.0 if presence >= ENOUGH_PRESENCE else presence,
        )

    def _list_regions(self) -> set[str]:
        """Return the regions that have hosts, or may have while a seed is unknown."""
        settings = self._node.settings
        rows = self.view.list_known()
        regions = {row.region for row in rows}
        if not {row.ip for row in rows}.issuperset(self.view.seeds):
            regions |= set(settings.zone_regions.values())
        return regions
