"""Strategies for messages that a peer with a valid key could send."""

from __future__ import annotations

from hypothesis import strategies as st

from lycheepath.core.gossip.updates import GossipUpdate, UpdateKind
from lycheepath.core.gossip.values import ValueDigest
from lycheepath.core.membership.messages import Kind, Message, RegionSummary
from lycheepath.core.membership.model import Member, State

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
            GossipUpdate,
            st.sampled_from(UpdateKind),
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
            st.lists(addresses, max_size=2).map(tuple),
            numbers_32,
        ),
        max_size=2,
    ).map(tuple),
)
