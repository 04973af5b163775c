from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from bench.membership.network import fetch_values
from lycheepath.core.gossip.updates import (
    QuotaUse,
    TargetLoad,
    UpdateKind,
    hash_name,
    pack_quarantine,
    pack_quota_use,
    pack_target_draining,
    pack_target_load,
    unpack_quarantine,
    unpack_target_load,
)
from lycheepath.core.gossip.values import ValueDigest
from lycheepath.core.membership.actions import (
    Joined,
    PauseDetected,
    Superseded,
    ValueConflict,
)
from lycheepath.core.membership.model import State

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.membership.network import Network
    from lycheepath.core.membership.messages import Message

    Make = Callable[..., Network]

DEATH_S = 15.0
SPREAD_S = 5.0
REGIONS = {"a1": "a", "b1": "b", "c1": "c"}


def all_live(network: Network) -> bool:
    counts = {node.counters()["members_live"] for node in network.nodes.values()}
    return counts == {len(network.nodes)}


def states_of(network: Network, host_id: str) -> set[State]:
    members = (
        node.member(host_id) for at, node in network.nodes.items() if at != host_id
    )
    return {member.state for member in members if member is not None}


def test_hosts_join_and_see_a_death_and_a_later_start(make_network: Make) -> None:
    network = make_network(9)
    assert network.run(SPREAD_S, lambda: all_live(network))
    victim = "a1-0000"
    network.kill(victim)
    assert network.run(DEATH_S, lambda: states_of(network, victim) == {State.DEAD})
    network.start(victim, incarnation=5000)
    assert network.run(SPREAD_S, lambda: all_live(network))
    seen = {node.member(victim).incarnation for node in network.nodes.values()}  # type: ignore[union-attr]
    assert seen == {5000}


def test_a_host_that_one_peer_cannot_reach_is_not_declared_dead(
    make_network: Make,
) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    network.passes = lambda source, target: (source, target) != ("a1-0000", "a2-0001")
    network.run(2 * DEATH_S)
    assert states_of(network, "a2-0001") == {State.ALIVE}
    counters = network.nodes["a1-0000"].counters()
    assert counters["reached_indirectly"] > 0


def test_a_host_that_hears_nothing_but_is_heard_is_not_trusted_for_ever(
    make_network: Make,
) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    network.passes = lambda source, target: target != "a1-0000"
    assert network.run(DEATH_S, lambda: states_of(network, "a1-0000") == {State.DEAD})
    network.passes = lambda source, target: True
    assert network.run(DEATH_S, lambda: all_live(network))


def test_parts_find_each_other_again_after_a_partition(make_network: Make) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    side = {"a1-0000", "a1-0002", "a1-0004", "a1-0006"}
    network.passes = lambda source, target: (source in side) == (target in side)
    network.run(60.0)
    sizes = {
        host: node.counters()["members_live"] for host, node in network.nodes.items()
    }
    assert {sizes[host] for host in side} == {4}
    network.passes = lambda source, target: True
    assert network.run(30.0, lambda: all_live(network))
    assert {node.local_member.incarnation for node in network.nodes.values()} == set(
        range(1000, 1009)
    )


def test_a_paused_host_distrusts_its_view_and_refutes_the_verdict(
    make_network: Make,
) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    paused = "a1-0000"
    node = network.nodes.pop(paused)
    other = "a2-0001"
    assert network.run(DEATH_S, lambda: states_of(network, paused) == {State.DEAD})
    network.kill(other)
    network.run(DEATH_S)
    network.actions.clear()
    network.resume(paused, node)
    assert network.run(DEATH_S, lambda: all_live(network))
    assert any(isinstance(action, PauseDetected) for _, _, action in network.actions)
    assert node.local_member.refutation > 0
    assert states_of(network, other) == {State.DEAD}


def test_news_that_waited_out_a_pause_is_not_taken_as_fresh(
    make_network: Make,
) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    waiting: list[Message] = []
    network.on_send = waiting.append
    paused = network.nodes.pop("a1-0000")
    load = TargetLoad("runner-1", running=0, queued=0, kv_free_tokens=0, latency_ms=0)
    sender = network.nodes["a2-0001"]
    sender.publish_update(pack_target_load(load, 1), network.now, to=["a1-0000"])
    network.run(5.0)
    waited = [one for one in waiting if one.to == "a1-0000" and one.news]
    assert waited
    for one in waited:
        paused.receive(one, sender.local_member.peers_address, network.now)
    assert not paused.news(UpdateKind.TARGET_LOAD, network.now)
    assert paused.counters()["dropped_while_view_old"] == len(waited)


def test_an_address_that_another_host_took_is_noticed(make_network: Make) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    old = network.hosts["a1-0000"]
    network.kill(old.id)
    network.hosts["a1-9000"] = replace(old, id="a1-9000")
    network.start("a1-9000", incarnation=1)
    assert network.run(DEATH_S, lambda: states_of(network, old.id) == {State.DEAD})
    assert states_of(network, "a1-9000") == {State.ALIVE}
    reused = sum(node.counters()["address_reused"] for node in network.nodes.values())
    assert reused > 0


def test_an_older_process_of_the_same_host_learns_that_it_is_superseded(
    make_network: Make,
) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    older = network.nodes.pop("a1-0000")
    network.run(DEATH_S)
    network.start("a1-0000", incarnation=5000)
    network.run(SPREAD_S)
    network.actions.clear()
    newer = network.nodes["a1-0000"]
    network.resume("a1-0000", older)
    network.run(SPREAD_S)
    found = [action for _, _, action in network.actions if type(action) is Superseded]
    assert found
    assert found[0].incarnation == newer.local_member.incarnation


def test_a_start_with_a_clock_set_back_raises_its_incarnation_before_it_joins(
    make_network: Make,
) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    network.kill("a1-0000")
    network.actions.clear()
    network.start("a1-0000", incarnation=3)
    assert network.run(SPREAD_S, lambda: all_live(network))
    joined = [
        action
        for _, host_id, action in network.actions
        if isinstance(action, Joined) and host_id == "a1-0000"
    ]
    assert [action.answered for action in joined] == [True]
    assert (
        joined[0].incarnation
        == network.nodes["a1-0000"].local_member.incarnation
        > 1000
    )


def test_a_goodbye_is_known_at_once_and_final(make_network: Make) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    leaver = "a1-0000"
    network.carry_out(leaver, network.nodes[leaver].start_draining(network.now))
    assert network.run(
        SPREAD_S,
        lambda: all(
            node.member(leaver).leaving  # type: ignore[union-attr]
            for node in network.nodes.values()
        ),
    )
    network.carry_out(leaver, network.nodes[leaver].leave(network.now))
    network.kill(leaver)
    assert network.run(SPREAD_S, lambda: states_of(network, leaver) == {State.ENDED})


def test_a_value_reaches_every_region_and_never_falls(make_network: Make) -> None:
    network = make_network(9, REGIONS)
    network.run(SPREAD_S)
    for revision in (3, 7):
        value = ValueDigest("environment/x", revision, bytes([revision]) * 16)
        node = network.nodes["a1-0000"]
        network.carry_out("a1-0000", node.set_value(value, network.now))
        assert network.run(
            SPREAD_S,
            lambda held=value: fetch_values(network, held),  # type: ignore[misc]
        )
    other = ValueDigest("environment/x", 7, b"x" * 16)
    network.nodes["b1-0001"]._state.values._held["environment/x"] = other
    network.nodes["b1-0001"]._state.values.hash = 99
    network.run(SPREAD_S * 4)
    assert any(isinstance(action, ValueConflict) for _, _, action in network.actions)


def test_other_regions_hear_of_a_death_and_of_a_cut(make_network: Make) -> None:
    network = make_network(9, REGIONS)
    network.run(10.0)
    summary = network.nodes["a1-0000"].regions()
    assert {held.summary.region for held in summary} == {"b", "c"}
    network.kill("b1-0001")
    network.run(40.0)
    for host_id in ("a1-0000", "c1-0002"):
        down = {
            held.summary.region: held.summary.down
            for held in network.nodes[host_id].regions()
        }
        assert down["b"] == ("b1-0001",)
    network.passes = lambda source, target: source[0] == target[0]
    network.run(120.0)
    ages = [
        network.now - held.observed_at for held in network.nodes["a1-0000"].regions()
    ]
    assert min(ages) > 100.0
    network.passes = lambda source, target: True
    network.run(60.0)
    ages = [
        network.now - held.observed_at for held in network.nodes["a1-0000"].regions()
    ]
    assert max(ages) < 60.0


def test_news_reaches_whom_it_is_for_and_ages(make_network: Make) -> None:
    network = make_network(9, REGIONS)
    network.run(10.0)
    sender = network.nodes["a1-0000"]
    now = network.now
    load = TargetLoad("runner-1", running=3, queued=2, kv_free_tokens=640, latency_ms=9)
    sender.publish_update(pack_target_load(load, stamp=1), now, to=["a1-0003"])
    sender.publish_update(
        pack_quota_use(QuotaUse("team", 5, 1), 2), now, to=["a1-0003"]
    )
    sender.publish_update(pack_target_draining("runner-2", True, stamp=3), now)
    sender.publish_update(pack_quarantine(b"f" * 16, ttl_s=60, stamp=4), now)
    network.run(SPREAD_S)
    nodes = network.nodes
    (held,) = nodes["a1-0003"].news(UpdateKind.TARGET_LOAD, network.now)
    assert unpack_target_load(held.update, "runner-1") == load
    assert held.update.key == hash_name("runner-1")
    assert network.now - held.observed_at >= SPREAD_S - 0.1
    assert nodes["a1-0003"].news(UpdateKind.QUOTA_USE, network.now)
    assert not nodes["a1-0006"].news(UpdateKind.TARGET_LOAD, network.now)
    assert nodes["a1-0006"].news(UpdateKind.TARGET_LEAVING, network.now)
    assert not nodes["b1-0001"].news(UpdateKind.TARGET_LEAVING, network.now)
    network.run(10.0)
    for node in nodes.values():
        (convicted,) = node.news(UpdateKind.QUARANTINE, network.now)
        assert unpack_quarantine(convicted.update) == b"f" * 16
        assert not node.news(UpdateKind.TARGET_LOAD, network.now)
    network.run(60.0)
    assert not any(
        node.news(UpdateKind.QUARANTINE, network.now) for node in nodes.values()
    )


def test_a_newcomer_hears_the_values_before_it_has_joined(make_network: Make) -> None:
    network = make_network(9)
    network.run(SPREAD_S)
    value = ValueDigest("environment/x", 7, b"d" * 16)
    network.carry_out("a1-0000", network.nodes["a1-0000"].set_value(value, network.now))
    network.run(SPREAD_S, lambda: fetch_values(network, value))
    network.actions.clear()
    network.start("a2-0001", incarnation=9000)
    network.run(SPREAD_S)
    kinds = [
        type(action).__name__ for _, at, action in network.actions if at == "a2-0001"
    ]
    assert kinds.index("ValueLearned") < kinds.index("Joined")
