"""Failures of real processes that communicate over loopback sockets."""

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
CONVERGENCE_TIMEOUT_S = 20.0
DETECTION_TIMEOUT_S = 40.0


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(HOSTS, ZONES) as fleet:
        for host_id in fleet.hosts:
            fleet.start(host_id)
        assert fleet.wait(fleet.all_live, CONVERGENCE_TIMEOUT_S)
        yield fleet


def all_others_observed(
    fleet: Fleet, excluded: str, matches: Callable[[dict[str, Any]], bool]
) -> bool:
    return all(any(map(matches, process.events)) for process in fleet.others(excluded))


def matches_state(host_id: str, state: str) -> Callable[[dict[str, Any]], bool]:
    return lambda event: (
        event["event"] == "member"
        and event["id"] == host_id
        and event["state"] == state
    )


def test_processes_detect_a_kill_and_a_restart(fleet: Fleet) -> None:
    victim = next(iter(fleet.hosts))
    fleet.kill(victim)
    assert fleet.wait(
        lambda: all_others_observed(fleet, victim, matches_state(victim, "DEAD")),
        DETECTION_TIMEOUT_S,
    )
    fleet.start(victim)
    assert fleet.wait(fleet.all_live, CONVERGENCE_TIMEOUT_S)


def test_processes_readmit_a_process_after_a_pause(fleet: Fleet) -> None:
    victim = next(iter(fleet.hosts))
    paused = fleet.running[victim]
    paused.signal(signal.SIGSTOP)
    assert fleet.wait(
        lambda: all_others_observed(fleet, victim, matches_state(victim, "DEAD")),
        DETECTION_TIMEOUT_S,
    )
    paused.signal(signal.SIGCONT)
    assert fleet.wait(fleet.all_live, CONVERGENCE_TIMEOUT_S)
    assert any(event["event"] == "pausedetected" for event in paused.events)
    assert not any(
        matches_state(host_id, "DEAD")(event)
        for host_id in fleet.hosts
        for event in paused.events
    )


def test_processes_tolerate_a_one_way_link_failure_and_a_partition(
    fleet: Fleet,
) -> None:
    first, second, third, *others = fleet.running.values()
    first.tell(do="cut", send=[second.host.peers_address], receive=[])
    third.tell(do="value", name="environment/x", revision=5)
    assert fleet.wait(
        lambda: all_others_observed(
            fleet, third.host.id, lambda e: e.get("revision") == 5
        ),
        CONVERGENCE_TIMEOUT_S,
    )
    assert fleet.all_live()
    addresses = [process.host.peers_address for process in (second, third, *others)]
    first.tell(do="cut", send=addresses, receive=addresses)
    dead = matches_state(first.host.id, "DEAD")
    assert fleet.wait(
        lambda: all_others_observed(fleet, first.host.id, dead), DETECTION_TIMEOUT_S
    )
    first.tell(do="cut", send=[], receive=[])
    assert fleet.wait(fleet.all_live, DETECTION_TIMEOUT_S)


def test_processes_ignore_an_unknown_key_and_malformed_datagrams(fleet: Fleet) -> None:
    victim = next(iter(fleet.hosts))
    fleet.kill(victim)
    impostor = fleet.start(victim, "--key", "another key of a stranger")
    target = fleet.others(victim)[0]
    address = split_address(target.host.peers_address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for size in range(0, 1400, 7):
            sender.sendto(b"\x01" * size, address)
    impostor.tell(do="leaving")
    impostor.tell(do="value", name="environment/x", revision=99)
    dead = matches_state(victim, "DEAD")
    assert fleet.wait(
        lambda: all_others_observed(fleet, victim, dead), DETECTION_TIMEOUT_S
    )
    assert not any(
        event.get("revision") == 99
        for process in fleet.others(victim)
        for event in process.events
    )
    counters = target.ask("stats")["traffic"]
    assert counters["dropped_unauthenticated_tag"] > 0
    assert counters["dropped_unauthenticated_length"] > 0


def test_addresses_are_split_and_joined() -> None:
    for address in ("10.0.0.1:7400", "[fd00::1]:7400"):
        assert join_address(*split_address(address)) == address
    with pytest.raises(ValueError, match="int"):
        split_address("10.0.0.1")
