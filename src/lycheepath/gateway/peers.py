"""Tells the other hosts of this one, and hears of them, by datagrams."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import trio

from ..adapters.beats import (
    Beat,
    BeatError,
    decode_fields,
    encode_beat,
    read_fields,
)
from ..adapters.events import record_event
from ..adapters.questions import MessageError, decode_message, is_message
from ..core.fleet.view import FleetView, HostRow

if TYPE_CHECKING:
    from .node import GatewayNode

# A loop that wakes later than this was stopped, not busy.
PAUSE_S = 1.0
RECEIVE_BYTES = 65_536
# What broke off is told for some beats, so that one lost datagram matters little.
SUSPECT_TOLD_S = 0.5
MOST_SUSPECTS = 16
# In a region of 30 hosts nearly all have heard of it by then.
GONE_TOLD_S = 2.0
# Between two looks for what peers told that has become too old, in seconds.
EXPIRE_S = 1.0


class Peers:
    """State: the socket, and the view of the fleet."""

    def __init__(self, node: GatewayNode) -> None:
        self._node = node
        settings = node.settings
        own = HostRow(
            settings.host,
            node.random.getrandbits(53),
            0,
            settings.ip,
            settings.zone,
            settings.region,
        )
        seeds = [seed.ip for seed in settings.seeds]
        self.view = FleetView(own, seeds, node.random)
        self._live: dict[str, HostRow] = {}
        self._expired_at = node.now()
        self._socket: trio.socket.SocketType | None = None

    async def run(self) -> None:
        """Tell and hear until cancelled."""
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as plain:
            await plain.bind((self._node.settings.ip, self._node.settings.peer_port))
            self._socket = plain
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._tell)
                    nursery.start_soon(self._hear, plain)
            finally:
                self._socket = None

    def count_near(self) -> int:
        """Return the number of live hosts of this region, this one included."""
        return len(self._live) + 1

    async def send_to(self, host: str, data: bytes) -> None:
        """Send a datagram to a host of this region, if it is known."""
        row = self._live.get(host)
        if row is not None:
            await self._send(data, row.ip)

    async def tell_leaving(self) -> None:
        """Tell all hosts of the region at once that this one takes no new callers."""
        own = self.view.advance_heartbeat(False, self._node.left_s())
        data = encode_beat(Beat(own, ()))
        for row in list(self._live.values()):
            await self._send(data, row.ip)

    async def _send(self, data: bytes, ip: str) -> None:
        if self._socket is None:
            return
        try:
            await self._socket.sendto(data, (ip, self._node.settings.peer_port))
        except OSError as error:
            self._node.metrics.count("beats_unsent_total", reason=str(error.errno))

    async def _tell(self) -> None:
        node = self._node
        woken = node.now()
        while True:
            await trio.sleep(self.view.heartbeat_interval_s)
            now = node.now()
            if now - woken > PAUSE_S:
                self.view.discount_pause(now - woken)
                record_event("paused", for_s=round(now - woken, 3))
            woken = now
            self.view.advance_heartbeat(node.ready, node.left_s())
            await self._send_beats(now)
            self._note_changes(now)

    async def _send_beats(self, now: float) -> None:
        node = self._node
        view = self.view
        own = view.local_row
        suspects = tuple(
            (number, tuple(targets))
            for number, targets in node.suspects.list_recent(now, SUSPECT_TOLD_S)
        )[:MOST_SUSPECTS]
        common = (
            suspects,
            node.book.list_gone_targets(now, GONE_TOLD_S),
            node.store.knowledge(now),
        )
        near = away = b""
        for ip, region in view.next_receivers(now):
            if region == own.region:
                if not near:
                    rows = tuple(view.rows_to_send(now, own.region))
                    near = encode_beat(Beat(own, rows, {}, *common))
                data = near
            else:
                if not away:
                    rows = tuple(view.rows_to_send(now, region))
                    waits = node.book.region_waits.local_waits(now)
                    away = encode_beat(Beat(own, rows, waits, *common))
                data = away
            await self._send(data, ip)

    async def _hear(self, plain: trio.socket.SocketType) -> None:
        node = self._node
        while True:
            try:
                data, _ = await plain.recvfrom(RECEIVE_BYTES)
                await self._take(read_fields(data), node.now())
            except (BeatError, MessageError):
                node.metrics.count("beats_unreadable_total")
            except OSError as error:
                node.metrics.count("beats_unreceived_total", reason=str(error.errno))

    async def _take(self, fields: list[Any], now: float) -> None:
        if is_message(fields[0]):
            await self._node.keeping.hear(decode_message(fields))
        else:
            self._take_beat(decode_fields(fields), now)

    def _take_beat(self, beat: Beat, now: float) -> None:
        node = self._node
        self.view.record_heartbeat(beat.sender, now, direct=True)
        for row in beat.rows:
            self.view.record_heartbeat(row, now, direct=False)
        node.store.hear(beat.sender, beat.knowledge, now)
        if beat.sender.region != self.view.local_row.region:
            for queue, wait_s in beat.waits.items():
                node.book.region_waits.apply_report(
                    beat.sender.region, queue, wait_s, now
                )
        for number, targets in beat.suspects:
            for target_id in targets:
                node.suspects.record_disconnect(number, target_id, now)
        for target_id in beat.gone:
            node.book.apply_gone_report(target_id, now)

    def _note_changes(self, now: float) -> None:
        """Take up which hosts of the region are live, and log who came or went."""
        own = self.view.local_row
        live = {row.id: row for row in self.view.live_hosts(now, own.region)}
        for host in live.keys() - self._live.keys():
            record_event("host-live", subject=host, hosts=len(live) + 1)
        for host in self._live.keys() - live.keys():
            record_event("host-silent", subject=host, hosts=len(live) + 1)
            self._node.book.remove_peer(host)
        self._live = live
        rows = [*live.values(), own]
        # Hosts that leave pass requests on while their region has no other.
        keepers = [row for row in rows if row.ready] or [
            r for r in rows if r.drain_remaining_s
        ]
        self._node.keeping.keepers.set_hosts(row.id for row in keepers)
        if now - self._expired_at >= EXPIRE_S:
            self._expired_at = now
            self.view.remove_expired(now)
            self._node.book.expire_peer_loads(now)
