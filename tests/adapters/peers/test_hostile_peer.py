"""
Guards against arbitrary messages from a peer that has a valid key.

They must neither crash a host nor make it send to malformed addresses.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from hypothesis import given, settings, strategies as st

from lycheepath.adapters.peers.codec import (
    DecodeError,
    decode_message,
    encode_message,
)
from lycheepath.adapters.peers.socket import split_address
from lycheepath.core.membership.actions import SendMessage, Superseded
from lycheepath.core.membership.model import Member
from lycheepath.core.membership.node import Membership
from lycheepath.core.membership.options import Options

from .strategies import messages

if TYPE_CHECKING:
    from lycheepath.core.membership.messages import Message

LOCAL_MEMBER = Member("a-1", 5, peers_address="127.0.0.1:1", zone="z", region="a")
MAX_INCARNATION = 2**64 - 1
MAX_REFUTATION = 2**32 - 1
ADDRESSES = {
    ("127.0.0.1", 1),
    ("127.0.0.1", 9),
    ("10.0.0.1", 7400),
    ("fd00::1", 7400),
}
extremes = st.builds(
    replace,
    st.sampled_from(
        [LOCAL_MEMBER, replace(LOCAL_MEMBER, id="a-2"), replace(LOCAL_MEMBER, id="a-3")]
    ),
    incarnation=st.sampled_from([0, 4, 5, 6, MAX_INCARNATION]),
    refutation=st.sampled_from([0, 1, MAX_REFUTATION]),
    peers_address=st.sampled_from(["127.0.0.1:9", "nowhere:99999", "x", ":::", ""]),
    leaving=st.booleans(),
)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(messages, st.lists(extremes, max_size=3)), max_size=8),
    st.booleans(),
)
def test_hostile_peer_neither_crashes_a_host_nor_adds_invalid_addresses(
    sent_messages: list[tuple[Message, list[Member]]], joined: bool
) -> None:
    node = Membership(LOCAL_MEMBER, Options(), Random(1), 0.0)
    actions = node.start((), (), 0.0)
    state = node._state
    state.joined = joined
    state.fresh.open("a-2", 1, 0)
    for number, (message, members) in enumerate(sent_messages):
        sent = replace(
            message,
            sender="a-2",
            incarnation=1,
            sequence=number + 1,
            region="a",
            to="a-1",
            members=(*message.members, *members),
        )
        now = 0.3 * (number + 1)
        with suppress(DecodeError):
            received = decode_message(encode_message(sent))
            actions += node.receive(received, "127.0.0.1:9", now)
        actions += node.tick(now)
    actions += node.tick(9.0)
    for action in actions:
        if isinstance(action, SendMessage):
            encode_message(action.message)
            ip, port = split_address(action.address)
            assert (ip, port) in ADDRESSES
        assert not isinstance(action, Superseded) or joined
    assert node.local_member.id == "a-1"
