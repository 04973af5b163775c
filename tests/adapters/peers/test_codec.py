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
from lycheepath.core.membership.messages import Kind, Message
from lycheepath.core.membership.model import Member, State
from lycheepath.host.settings import PeerKey

from .strategies import messages

KEYS = (PeerKey("new", b"n" * 32), PeerKey("old", b"o" * 32))
MAX_DECODE_S = 1.0


@settings(deadline=None)
@given(messages)
def test_codec_decodes_what_it_encoded(message: Message) -> None:
    assert decode_message(encode_message(message)) == message


def test_codec_keeps_long_message_within_a_datagram() -> None:
    member = Member("a-1" * 20, 1, peers_address="10.0.0.1:1", zone="z" * 60)
    message = Message(Kind.GOSSIP, "a-1", 1, 1, "a", members=(member,) * 100)
    datagram = sign(encode_message(message), KEYS)
    assert len(datagram) <= MAX_DATAGRAM_BYTES
    assert decode_message(verify(datagram, KEYS)).sender == "a-1"


@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=1300))
def test_codec_bounds_decoding_of_arbitrary_bytes(packed: bytes) -> None:
    _decode_within_bounds(packed)


@settings(max_examples=500, deadline=None)
@given(messages, st.data())
def test_codec_bounds_decoding_of_corrupted_messages(
    message: Message, data: st.DataObject
) -> None:
    packed = bytearray(encode_message(message))
    for _ in range(data.draw(st.integers(1, 6))):
        index = data.draw(st.integers(0, len(packed) - 1))
        packed[index] = data.draw(st.integers(0, 255))
    end = data.draw(st.integers(0, len(packed)))
    _decode_within_bounds(bytes(packed[:end]))


@pytest.mark.parametrize("packed", [b"\x00\xff" * 570, b"\xff" * 1140, b"\x00" * 1100])
def test_codec_bounds_decoding_of_bytes_that_unpack_to_many(packed: bytes) -> None:
    _decode_within_bounds(packed)


def _decode_within_bounds(packed: bytes) -> None:
    started = time.perf_counter()
    try:
        message = decode_message(packed)
    except DecodeError:
        pass
    else:
        assert message.sender
    assert time.perf_counter() - started < MAX_DECODE_S


def test_authentication_accepts_both_keys_and_nothing_else() -> None:
    packed = encode_message(Message(Kind.PING, "a-1", 1, 1, "a"))
    by_new = sign(packed, KEYS)
    by_old = sign(packed, KEYS[1:])
    assert verify(by_new, KEYS) == verify(by_old, KEYS) == packed
    unknown_key = (PeerKey("stranger", b"s" * 32),)
    changed = bytearray(by_new)
    changed[-1] ^= 1
    rejected = [
        sign(packed, unknown_key),
        bytes(changed),
        by_new[:10],
        b"",
        b"x" * 5000,
    ]
    rejected.append(bytes((9,)) + by_new[1:])
    for datagram in rejected:
        with pytest.raises(AuthenticationError):
            verify(datagram, KEYS)
    with pytest.raises(AuthenticationError):
        verify(by_old, KEYS[:1])


def test_codec_omits_fields_that_the_receiver_can_derive() -> None:
    member = Member(
        "a-1", 1, 0, State.ALIVE, "10.0.0.1:7400", "10.0.0.1:8400", "z", "a"
    )
    message = Message(Kind.PING, "a-1", 1, 1, "a", members=(member,))
    longer = replace(
        message, members=(replace(member, callers_address="10.0.0.2:8400", region="b"),)
    )
    assert len(encode_message(message)) < len(encode_message(longer))
    assert decode_message(encode_message(message)).members == (member,)
