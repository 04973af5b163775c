"""
Connects several memberships in one process by a simulated network.

Time is virtual. Each message is encoded, signed, verified and decoded as on the
wire, so that bytes and CPU time are realistic. It arrives after a delay, or is
lost at random or dropped by the ``passes`` predicate. Tests can skip the encoding.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from lycheepath.adapters.peers.authentication import sign, verify
from lycheepath.adapters.peers.codec import decode_message, encode_message
from lycheepath.core.membership.actions import Action, SendMessage, ValueAnnounced
from lycheepath.core.membership.model import Member, PublishedHost
from lycheepath.core.membership.node import Membership
from lycheepath.core.membership.options import Options
from lycheepath.host.settings import PeerKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheepath.core.gossip.values import ValueDigest
    from lycheepath.core.membership.messages import Message

TICK_S = 0.1
KEYS = (PeerKey("bench", b"a key of the benchmarks"),)
IP_UDP_BYTES = 28


@dataclass(slots=True)
class Traffic:
    """The datagrams and bytes that one host sent and received."""

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0


@dataclass
class Network:
    """A simulated network: its hosts, messages in flight and virtual time."""

    hosts: dict[str, PublishedHost]
    random: Random
    options: Options = field(default_factory=Options)
    loss: float = 0.0
    delay_s: float = 0.001
    encodes: bool = True
    passes: Callable[[str, str], bool] = lambda source, target: True
    on_send: Callable[[Message], None] = lambda message: None
    now: float = 1000.0
    nodes: dict[str, Membership] = field(default_factory=dict)
    traffic: dict[str, Traffic] = field(default_factory=dict)
    actions: list[tuple[float, str, Action]] = field(default_factory=list)
    bytes_by_kind: Counter[str] = field(default_factory=Counter)
    _queue: list[tuple[float, int, str, str, Message | bytes]] = field(
        default_factory=list
    )
    _ticks: list[tuple[float, int, str]] = field(default_factory=list)
    _sequence: count[int] = field(default_factory=count)
    _addresses: dict[str, str] = field(default_factory=dict)

    def start(self, host_id: str, incarnation: int, at: float | None = None) -> None:
        """Start a process on a host, replacing a running one."""
        now = self.now if at is None else at
        host = self.hosts[host_id]
        member = Member(
            id=host.id,
            incarnation=incarnation,
            peers_address=host.peers_address,
            callers_address=host.callers_address,
            zone=host.zone,
            region=host.region,
        )
        random = Random(self.random.getrandbits(64))
        node = Membership(member, self.options, random, now)
        self.nodes[host_id] = node
        self._addresses[host.peers_address] = host_id
        self.traffic.setdefault(host_id, Traffic())
        self.carry_out(host_id, node.start((), self.hosts.values(), now))
        heappush(
            self._ticks, (now + random.random() * TICK_S, next(self._sequence), host_id)
        )

    def kill(self, host_id: str) -> None:
        """Kill a process without notice to its peers."""
        self.nodes.pop(host_id, None)

    def resume(self, host_id: str, node: Membership) -> None:
        """Resume a process that had been paused."""
        self.nodes[host_id] = node
        heappush(self._ticks, (self.now, next(self._sequence), host_id))

    def carry_out(self, host_id: str, actions: list[Action]) -> None:
        """Send the messages among a host's actions and record the other actions."""
        for action in actions:
            if isinstance(action, SendMessage):
                self._send(host_id, action)
            else:
                self.actions.append((self.now, host_id, action))

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance the virtual time, at most until ``until`` holds; return if it did."""
        end = self.now + seconds
        checked = self.now
        while True:
            at = min(
                self._queue[0][0] if self._queue else end,
                self._ticks[0][0] if self._ticks else end,
            )
            if at >= end:
                self.now = end
                return until is not None and until()
            self.now = at
            self._step()
            if until is not None and self.now - checked >= TICK_S:
                checked = self.now
                if until():
                    return True

    def _step(self) -> None:
        if self._queue and self._queue[0][0] <= self.now:
            _, _, source, target, message = heappop(self._queue)
            self._deliver(source, target, message)
            return
        _, _, host_id = heappop(self._ticks)
        node = self.nodes.get(host_id)
        if node is None:
            return
        self.carry_out(host_id, node.tick(self.now))
        heappush(self._ticks, (self.now + TICK_S, next(self._sequence), host_id))

    def _send(self, host_id: str, action: SendMessage) -> None:
        self.on_send(action.message)
        payload: Message | bytes = action.message
        size = 0
        if self.encodes:
            payload = sign(encode_message(action.message), KEYS)
            size = len(payload) + IP_UDP_BYTES
        traffic = self.traffic[host_id]
        traffic.sent_datagrams += 1
        traffic.sent_bytes += size
        self.bytes_by_kind[action.message.kind.name] += size
        target = self._addresses.get(action.address)
        if target is None or self.random.random() < self.loss:
            return
        if not self.passes(host_id, target):
            return
        at = self.now + self.delay_s * (0.5 + self.random.random())
        heappush(self._queue, (at, next(self._sequence), host_id, target, payload))
        received = self.traffic[target]
        received.received_datagrams += 1
        received.received_bytes += size

    def _deliver(self, source: str, target: str, payload: Message | bytes) -> None:
        node = self.nodes.get(target)
        if node is None or not self.passes(source, target):
            return
        address = self.hosts[source].peers_address
        if isinstance(payload, bytes):
            payload = decode_message(verify(payload, KEYS))
        self.carry_out(target, node.receive(payload, address, self.now))


def make_hosts(count: int, zones: dict[str, str]) -> dict[str, PublishedHost]:
    """Return ``count`` hosts spread over ``zones``, which maps zones to regions."""
    names = sorted(zones)
    hosts = {}
    for number in range(count):
        zone = names[number % len(names)]
        ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        host_id = f"{zone}-{number:04d}"
        hosts[host_id] = PublishedHost(
            host_id, f"{ip}:7400", f"{ip}:8400", zone, zones[zone]
        )
    return hosts


def fetch_values(network: Network, value: ValueDigest) -> bool:
    """Store announced values at each host; return whether all hold ``value``."""
    for _, host_id, action in network.actions:
        if isinstance(action, ValueAnnounced) and host_id in network.nodes:
            _store_value(network, host_id, action.value)
    network.actions[:] = [
        item for item in network.actions if not isinstance(item[2], ValueAnnounced)
    ]
    return all(value in node.values() for node in network.nodes.values())


def _store_value(network: Network, host_id: str, value: ValueDigest) -> None:
    node = network.nodes[host_id]
    held = {item.name: item.revision for item in node.values()}
    if held.get(value.name, -1) < value.revision:
        network.carry_out(host_id, node.set_value(value, network.now))
