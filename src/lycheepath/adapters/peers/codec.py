"""
Encodes the core's messages as packed capnp bytes and decodes them.

The schema is loaded from the package at run time. Decoding is bounded in
nesting, in words traversed and in list lengths. Malformed bytes raise
``DecodeError`` and no other exception.
"""

from __future__ import annotations

from dataclasses import replace
from functools import lru_cache
from importlib import resources
from ipaddress import ip_address
from typing import Any

import capnp

from ...core.gossip.updates import GossipUpdate, UpdateKind
from ...core.gossip.values import DIGEST_BYTES, ValueDigest
from ...core.membership.messages import Kind, Message, RegionSummary
from ...core.membership.model import Member, State

MAX_PACKED_BYTES = 1160
MAX_TRAVERSAL_WORDS = 8192
MAX_NESTING = 8
MAX_RECORDS_PER_LIST = 128
MAX_SCALARS_PER_LIST = 64
MAX_TEXT_CHARS = 128
ADDRESS_CACHE_ENTRIES = 4096
MAX_PORT = 65_535
STATES = tuple(State)
STATE_NUMBERS = {state: state.value for state in State}
KINDS = {kind.value: kind for kind in Kind}
UPDATE_KINDS = {kind.value: kind for kind in UpdateKind}

capnp.remove_import_hook()
_SCHEMA: Any = capnp.load(str(resources.files(__package__) / "peers.capnp"))


class DecodeError(ValueError):
    """The bytes are not a valid message of this protocol."""


def encode_message(message: Message) -> bytes:
    """
    Return ``message`` as packed bytes that fit in a datagram.

    Records that don't fit are omitted; the core estimates sizes so that this
    is rare.
    """
    packed = _pack(message)
    while len(packed) > MAX_PACKED_BYTES and _count_records(message):
        message = _drop_half(message)
        packed = _pack(message)
    return packed


def decode_message(packed: bytes) -> Message:
    """Return the message in ``packed``; raise ``DecodeError`` if malformed."""
    if len(packed) > MAX_PACKED_BYTES:
        raise DecodeError("message exceeds the size of a datagram")
    try:
        reader = _SCHEMA.Message.from_bytes_packed(
            packed,
            traversal_limit_in_words=MAX_TRAVERSAL_WORDS,
            nesting_limit=MAX_NESTING,
        )
        return _read_message(reader)
    except DecodeError:
        raise
    except (capnp.KjException, ValueError, KeyError, IndexError, MemoryError) as error:
        raise DecodeError(type(error).__name__) from error


def _pack(message: Message) -> bytes:
    builder = _SCHEMA.Message.new_message(
        kind=message.kind.value,
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
        region=message.region,
        echo=message.echo,
        cookie=message.cookie,
        viewHash=message.view_hash,
        valuesHash=message.values_hash,
        last=message.last,
    )
    if message.to:
        builder.to = message.to
    if message.subject:
        builder.subject = message.subject
    if message.bucket_hashes:
        builder.bucketHashes = list(message.bucket_hashes)
    if message.members:
        _write_members(builder, message)
    if message.values:
        _write_values(builder, message)
    if message.news:
        _write_updates(builder, message)
    if message.summaries:
        _write_summaries(builder, message)
    packed: bytes = builder.to_bytes_packed()
    return packed


def _write_members(builder: Any, message: Message) -> None:
    items = builder.init("members", len(message.members))
    for item, member in zip(items, message.members, strict=True):
        item.id = member.id
        item.incarnation = member.incarnation
        item.refutation = member.refutation
        item.state = STATE_NUMBERS[member.state]
        item.leaving = member.leaving
        if member.peers_address:
            item.peersAddress = member.peers_address
            item.callersAddress = _shorten_address(member)
            item.zone = member.zone
        if member.region and member.region != message.region:
            item.region = member.region
        if member.accuser:
            item.accuser = member.accuser


def _write_values(builder: Any, message: Message) -> None:
    items = builder.init("values", len(message.values))
    for item, value in zip(items, message.values, strict=True):
        item.name = value.name
        item.revision = value.revision
        item.digest = value.digest


def _write_updates(builder: Any, message: Message) -> None:
    items = builder.init("news", len(message.news))
    for item, update in zip(items, message.news, strict=True):
        item.kind = update.kind.value
        item.key = update.key
        item.word = update.word
        item.extra = update.extra
        item.stamp = update.stamp
        item.ageMs = update.age_ms
        item.ttlS = update.ttl_s


def _write_summaries(builder: Any, message: Message) -> None:
    items = builder.init("summaries", len(message.summaries))
    for item, summary in zip(items, message.summaries, strict=True):
        item.region = summary.region
        item.alive = summary.alive
        item.ageMs = summary.age_ms
        if summary.down:
            item.down = list(summary.down)
        if summary.leaving:
            item.leaving = list(summary.leaving)
        if summary.contacts:
            item.contacts = list(summary.contacts)


def _read_message(reader: Any) -> Message:
    region = _check_text(reader.region)
    return Message(
        kind=KINDS[reader.kind],
        sender=_check_name(reader.sender),
        incarnation=reader.incarnation,
        sequence=reader.sequence,
        region=region,
        to=_check_text(reader.to),
        echo=reader.echo,
        cookie=reader.cookie,
        subject=_check_text(reader.subject),
        view_hash=reader.viewHash,
        values_hash=reader.valuesHash,
        bucket_hashes=tuple(_check_length(reader.bucketHashes, MAX_SCALARS_PER_LIST)),
        last=reader.last,
        members=tuple(
            _read_member(item, region)
            for item in _check_length(reader.members, MAX_RECORDS_PER_LIST)
        ),
        values=tuple(
            _read_value(item)
            for item in _check_length(reader.values, MAX_RECORDS_PER_LIST)
        ),
        news=tuple(
            _read_update(item)
            for item in _check_length(reader.news, MAX_RECORDS_PER_LIST)
        ),
        summaries=tuple(
            _read_summary(item)
            for item in _check_length(reader.summaries, MAX_RECORDS_PER_LIST)
        ),
    )


def _read_member(reader: Any, region: str) -> Member:
    peers_address = _check_address(reader.peersAddress)
    return Member(
        id=_check_name(reader.id),
        incarnation=reader.incarnation,
        refutation=reader.refutation,
        state=STATES[reader.state],
        leaving=reader.leaving,
        peers_address=peers_address,
        callers_address=_check_address(
            _lengthen_address(reader.callersAddress, peers_address)
        ),
        zone=_check_text(reader.zone),
        region=_check_text(reader.region) or (region if peers_address else ""),
        accuser=_check_text(reader.accuser),
    )


def _read_value(reader: Any) -> ValueDigest:
    digest = bytes(reader.digest)
    if len(digest) != DIGEST_BYTES:
        raise DecodeError("digest has the wrong length")
    return ValueDigest(_check_name(reader.name), reader.revision, digest)


def _read_update(reader: Any) -> GossipUpdate:
    return GossipUpdate(
        kind=UPDATE_KINDS[reader.kind],
        key=reader.key,
        word=reader.word,
        extra=reader.extra,
        stamp=reader.stamp,
        age_ms=reader.ageMs,
        ttl_s=reader.ttlS,
    )


def _read_summary(reader: Any) -> RegionSummary:
    return RegionSummary(
        region=_check_name(reader.region),
        alive=reader.alive,
        down=tuple(
            _check_text(name)
            for name in _check_length(reader.down, MAX_SCALARS_PER_LIST)
        ),
        leaving=tuple(
            _check_text(name)
            for name in _check_length(reader.leaving, MAX_SCALARS_PER_LIST)
        ),
        contacts=tuple(
            _check_address(name)
            for name in _check_length(reader.contacts, MAX_SCALARS_PER_LIST)
        ),
        age_ms=reader.ageMs,
    )


def _check_length(items: Any, limit: int) -> Any:
    if len(items) > limit:
        raise DecodeError("list exceeds its length limit")
    return items


def _check_text(text: str) -> str:
    if len(text) > MAX_TEXT_CHARS:
        raise DecodeError("text exceeds its length limit")
    return text


@lru_cache(ADDRESS_CACHE_ENTRIES)
def _check_address(text: str) -> str:
    """Return ``text`` if it is empty or an IP address with a port."""
    if not text:
        return text
    ip, _, port = _check_text(text).rpartition(":")
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise DecodeError("address without a valid port")
    ip_address(ip.strip("[]"))
    return text


def _check_name(text: str) -> str:
    if not text:
        raise DecodeError("required name is empty")
    return _check_text(text)


def _shorten_address(member: Member) -> str:
    address = member.callers_address
    ip, _, port = address.rpartition(":")
    same = bool(ip) and member.peers_address.rpartition(":")[0] == ip
    return f":{port}" if same else address


def _lengthen_address(address: str, peers_address: str) -> str:
    if not address.startswith(":"):
        return address
    return peers_address.rpartition(":")[0] + address


def _count_records(message: Message) -> int:
    lists = (message.members, message.values, message.news, message.summaries)
    return sum(len(items) for items in lists)


def _drop_half(message: Message) -> Message:
    return replace(
        message,
        members=message.members[: len(message.members) // 2],
        values=message.values[: (len(message.values) + 1) // 2]
        if len(message.values) > 1
        else (),
        news=message.news[: len(message.news) // 2],
        summaries=message.summaries[: len(message.summaries) // 2],
    )
