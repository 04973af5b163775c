"""Failures of real processes that talk over real sockets on loopback."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING, Any

import pytest

from bench.membership.fleet import Fleet
from lycheepath.adapters.peers.socket import join_address, split_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ZONES = {"a1": "a", "a2": "a"}
HOSTS = 6
SOON_S = 20.0
VERDICT_S = 40.0


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(HOSTS, ZONES) as fleet:
        for host_id in fleet.hosts:
            fleet.start(host_id)
        assert fleet.wait(fleet.all_live, SOON_S)
        yield fleet


def all_saw(fleet: Fleet, but: str, matches: Callable[[dict[str, Any]], bool]) -> bool:
    return all(any(map(matches, one.events)) for one in fleet.others(but))


def saw_state(host_id: str, state: str) -> Callable[[dict[str, Any]], bool]:
    return lambda event: (
        event["event"] == "member"
        and event["id"] == host_id
        and event["state"] == state
    )


def test_processes_see_a_kill_and_a_restart(fleet: Fleet) -> None:
    victim = next(iter(fleet.hosts))
    fleet.kill(victim)
    assert fleet.wait(
        lambda: all_saw(fleet, victim, saw_state(victim, "DEAD")), VERDICT_S
    )
    fleet.start(victim)
    assert fleet.wait(fleet.all_live, SOON_S)


def test_processes_take_a_stopped_one_back(fleet: Fleet) -> None:
    victim = next(iter(fleet.hosts))
    stopped = fleet.running[victim]
    stopped.signal(signal.SIGSTOP)
    assert fleet.wait(
        lambda: all_saw(fleet, victim, saw_state(victim, "DEAD")), VERDICT_S
    )
    stopped.signal(signal.SIGCONT)
    assert fleet.wait(fleet.all_live, SOON_S)
    assert any(event["event"] == "pausenoticed" for event in stopped.events)
    assert not any(
        saw_state(one, "DEAD")(e) for one in fleet.hosts for e in stopped.events
    )


def test_processes_survive_a_one_way_cut_and_a_partition(fleet: Fleet) -> None:
    first, second, third, *rest = fleet.running.values()
    first.tell(do="cut", send=[second.host.peers_address], receive=[])
    third.tell(do="value", name="environment/x", revision=5)
    assert fleet.wait(
        lambda: all_saw(fleet, third.host.id, lambda e: e.get("revision") == 5), SOON_S
    )
    assert fleet.all_live()
    addresses = [one.host.peers_address for one in (second, third, *rest)]
    first.tell(do="cut", send=addresses, receive=addresses)
    dead = saw_state(first.host.id, "DEAD")
    assert fleet.wait(lambda: all_saw(fleet, first.host.id, dead), VERDICT_S)
    first.tell(do="cut", send=[], receive=[])
    assert fleet.wait(fleet.all_live, VERDICT_S)


def test_processes_ignore_a_stranger_and_garbage(fleet: Fleet) -> None:
    victim = next(iter(fleet.hosts))
    fleet.kill(victim)
    stranger = fleet.start(victim, "--key", "another key of a stranger")
    target = fleet.others(victim)[0]
    address = split_address(target.host.peers_address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as garbage:
        for size in range(0, 1400, 7):
            garbage.sendto(b"\x01" * size, address)
    stranger.tell(do="leaving")
    stranger.tell(do="value", name="environment/x", revision=99)
    dead = saw_state(victim, "DEAD")
    assert fleet.wait(lambda: all_saw(fleet, victim, dead), VERDICT_S)
    assert not any(
        event.get("revision") == 99
        for one in fleet.others(victim)
        for event in one.events
    )
    counters = target.ask("stats")["traffic"]
    assert counters["dropped_unauthenticated_tag"] > 0
    assert counters["dropped_unauthenticated_length"] > 0


def test_addresses_are_split_and_joined() -> None:
    for address in ("10.0.0.1:7400", "[fd00::1]:7400"):
        assert join_address(*split_address(address)) == address
    with pytest.raises(ValueError, match="int"):
        split_address("10.0.0.1")
