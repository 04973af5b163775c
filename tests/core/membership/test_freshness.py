from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from hypothesis import given, settings, strategies as st

from lycheepath.core.gossip.updates import UpdateKind, pack_target_draining
from lycheepath.core.membership.freshness import (
    WINDOW_BITS,
    FreshSenders,
    ReplayWindow,
)
from lycheepath.core.membership.messages import Kind, Message
from lycheepath.core.membership.model import Member, State
from lycheepath.core.membership.node import Membership
from lycheepath.core.membership.options import Options

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.membership.network import Network


@settings(deadline=None)
@given(st.lists(st.integers(1, 3 * WINDOW_BITS), max_size=200))
def test_window_takes_each_sequence_once(sequences: list[int]) -> None:
    window = ReplayWindow(incarnation=1, sequence=0)
    taken = [sequence for sequence in sequences if window.accept(sequence)]
    assert len(taken) == len(set(taken))
    assert not window.accept(0)


def test_cookies_prove_one_incarnation_for_a_bounded_time() -> None:
    fresh = FreshSenders(Random(1))
    cookie = fresh.make_cookie("a-1", 7, now=100.0)
    assert fresh.check_cookie("a-1", 7, cookie, now=115.0)
    assert not fresh.check_cookie("a-1", 8, cookie, now=115.0)
    assert not fresh.check_cookie("a-2", 7, cookie, now=115.0)
    assert not fresh.check_cookie("a-1", 7, cookie, now=200.0)
    assert not fresh.check_cookie("a-1", 7, 0, now=115.0)


def test_windows_are_bounded_in_number() -> None:
    fresh = FreshSenders(Random(1), limit=10)
    for number in range(100):
        fresh.open(f"a-{number}", 1, 1)
    assert len(fresh) == 10


def test_captured_messages_change_nothing_when_replayed(
    make_network: Callable[..., Network],
) -> None:
    """Replays all messages to all hosts, one that never saw them included."""
    network = make_network(9)
    captured: list[Message] = []
    network.on_send = captured.append
    network.run(10.0)
    sender = network.nodes["a1-0000"]
    sender.publish_update(pack_target_draining("runner-1", True, stamp=1), network.now)
    leaver = "a1-0002"
    network.carry_out(leaver, network.nodes[leaver].leave(network.now))
    network.run(20.0)
    network.on_send = lambda message: None
    sender.publish_update(pack_target_draining("runner-1", False, stamp=2), network.now)
    network.start(leaver, incarnation=9000)
    network.start("a2-0001", incarnation=9001)
    network.run(10.0)
    assert any(message.news for message in captured)
    for message in captured:
        source = network.hosts[message.sender].peers_address
        for node in network.nodes.values():
            node.receive(message, source, network.now)
    for node in network.nodes.values():
        member = node.member(leaver)
        assert member is not None
        assert (member.state, member.incarnation) == (State.ALIVE, 9000)
        (held,) = node.news(UpdateKind.TARGET_LEAVING, network.now)
        assert held.update.word == 0


def test_messages_without_proof_teach_nothing() -> None:
    own = Member("a-1", 5, peers_address="10.0.0.1:7400", region="a")
    node = Membership(own, Options(), Random(1), 0.0)
    node.start((), (), 0.0)
    forged = Member("a-2", 9, peers_address="10.0.0.2:7400", region="a")
    for kind in Kind:
        message = Message(
            kind, "a-2", 9, 1, "a", to="a-1", echo=77, members=(forged,), last=True
        )
        node.receive(message, "10.0.0.9:7400", 0.1)
    assert [member.id for member in node.members()] == ["a-1"]
    assert node.counters()["dropped_unproven"] > 0
