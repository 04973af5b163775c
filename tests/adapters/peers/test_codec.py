from __future__ import annotations

import time
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from lycheepath.adapters.peers.authentication import (
    MAX_DATAGRAM_BYTES,
    AuthenticationError,
    sign,
    verify,
)
from lycheepath.adapters.peers.codec import (
    DecodeError,
    decode_message,
    encode_message,
)
from lycheepath.core.gossip.news import News, NewsKind
from lycheepath.core.gossip.values import ValueDigest
from lycheepath.core.membership.messages import Kind, Message, RegionSummary
from lycheepath.core.membership.model import Member, State
from lycheepath.host.settings import PeerKey

KEYS = (PeerKey("new", b"n" * 32), PeerKey("old", b"o" * 32))
STALL_S = 1.0

names = st.text(
    st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=20
)
numbers_32 = st.integers(0, 2**32 - 1)
numbers_64 = st.integers(0, 2**64 - 1)
addresses = st.sampled_from(["10.0.0.1:7400", "[fd00::1]:7400"])
members = st.builds(
    Member,
    id=names,
    incarnation=numbers_64,
    refutation=numbers_32,
    state=st.sampled_from(State),
    peers_address=addresses,
    callers_address=st.sampled_from(["10.0.0.1:8400", "10.0.0.2:8400", ""]),
    zone=names,
    region=names,
    leaving=st.booleans(),
    accuser=names,
)
messages = st.builds(
    Message,
    kind=st.sampled_from(Kind),
    sender=names,
    incarnation=numbers_64,
    sequence=numbers_64,
    region=names,
    to=names,
    echo=numbers_64,
    cookie=numbers_64,
    subject=names,
    view_hash=numbers_32,
    values_hash=numbers_32,
    bucket_hashes=st.lists(numbers_32, max_size=16).map(tuple),
    last=st.booleans(),
    members=st.lists(members, max_size=3).map(tuple),
    values=st.lists(
        st.builds(ValueDigest, names, numbers_64, st.binary(min_size=16, max_size=16)),
        max_size=2,
    ).map(tuple),
    news=st.lists(
        st.builds(
            News,
            st.sampled_from(NewsKind),
            numbers_64,
            numbers_64,
            numbers_64,
            numbers_32,
            numbers_32,
            st.integers(0, 2**16 - 1),
        ),
        max_size=3,
    ).map(tuple),
    summaries=st.lists(
        st.builds(
            RegionSummary,
            names,
            numbers_32,
            st.lists(names, max_size=2).map(tuple),
            st.lists(names, max_size=2).map(tuple),
            st.lists(names, max_size=2).map(tuple),
            numbers_32,
        ),
        max_size=2,
    ).map(tuple),
)


@settings(deadline=None)
@given(messages)
def test_codec_reads_what_it_wrote(message: Message) -> None:
    assert decode_message(encode_message(message)) == message


def test_codec_keeps_any_message_within_a_datagram() -> None:
    member = Member("a-1" * 20, 1, peers_address="10.0.0.1:1", zone="z" * 60)
    message = Message(Kind.GOSSIP, "a-1", 1, 1, "a", members=(member,) * 100)
    datagram = sign(encode_message(message), KEYS)
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    assert decode_message(verify(datagram, KEYS)).sender == "a-1"


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=1300))
def test_codec_survives_any_bytes(packed: bytes) -> None:
    _decode_within_bounds(packed)


@settings(max_examples=500, deadline=None)
@given(messages, st.data())
def test_codec_survives_damaged_messages(message: Message, data: st.DataObject) -> None:
    packed = bytearray(encode_message(message))
    for _ in range(data.draw(st.integers(1, 6))):
        place = data.draw(st.integers(0, len(packed) - 1))
        packed[place] = data.draw(st.integers(0, 255))
    end = data.draw(st.integers(0, len(packed)))
    _decode_within_bounds(bytes(packed[:end]))


@pytest.mark.parametrize("bomb", [b"\x00\xff" * 570, b"\xff" * 1140, b"\x00" * 1100])
def test_codec_survives_bytes_that_unpack_to_much(bomb: bytes) -> None:
    _decode_within_bounds(bomb)


def _decode_within_bounds(packed: bytes) -> None:
    started = time.perf_counter()
    try:
        message = decode_message(packed)
    except DecodeError:
        pass
    else:
        assert message.sender
    assert time.perf_counter() - started < STALL_S


def test_authentication_accepts_both_keys_and_nothing_else() -> None:
    packed = encode_message(Message(Kind.PING, "a-1", 1, 1, "a"))
    by_new = sign(packed, KEYS)
    by_old = sign(packed, KEYS[1:])
    assert verify(by_new, KEYS) == verify(by_old, KEYS) == packed
    stranger = (PeerKey("stranger", b"s" * 32),)
    changed = bytearray(by_new)
    changed[-1] ^= 1
    wrong = [sign(packed, stranger), bytes(changed), by_new[:10], b"", b"x" * 5000]
    wrong.append(bytes((9,)) + by_new[1:])
    for datagram in wrong:
        with pytest.raises(AuthenticationError):
            verify(datagram, KEYS)
    with pytest.raises(AuthenticationError):
        verify(by_old, KEYS[:1])


def test_codec_leaves_out_what_a_receiver_can_tell() -> None:
    member = Member(
        "a-1", 1, 0, State.ALIVE, "10.0.0.1:7400", "10.0.0.1:8400", "z", "a"
    )
    message = Message(Kind.PING, "a-1", 1, 1, "a", members=(member,))
    longer = replace(
        message, members=(replace(member, callers_address="10.0.0.2:8400", region="b"),)
    )
    assert len(encode_message(message)) < len(encode_message(longer))
    assert decode_message(encode_message(message)).members == (member,)
