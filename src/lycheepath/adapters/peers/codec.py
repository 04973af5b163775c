"""
Turns the core's messages into packed capnp bytes and back.

The schema is loaded from the package at run time. Reading is bounded in
nesting, in words traversed and in list lengths; whatever is wrong with the
bytes raises ``DecodeError`` and nothing else.
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
TRAVERSAL_WORDS = 8192
NESTING = 8
MAX_ITEMS = 128
MAX_NAMES = 64
MAX_TEXT = 128
MAX_ADDRESSES = 4096
MAX_PORT = 65_535
STATES = tuple(State)
STATE_NUMBERS = {state: state.value for state in State}
KINDS = {kind.value: kind for kind in Kind}
NEWS_KINDS = {kind.value: kind for kind in UpdateKind}

capnp.remove_import_hook()
_SCHEMA: Any = capnp.load(str(resources.files(__package__) / "peers.capnp"))


class DecodeError(ValueError):
    """The bytes are no message of this protocol."""


def encode_message(message: Message) -> bytes:
    """
    Return ``message`` as bytes that fit in a datagram.

    Rumors that don't fit are left out; the core estimates sizes so that this
    is rare.
    """
    packed = _pack(message)
    while len(packed) > MAX_PACKED_BYTES and _item_count(message):
        message = _halve(message)
        packed = _pack(message)
    return packed


def decode_message(packed: bytes) -> Message:
    """Return the message in ``packed``; raises ``DecodeError``."""
    if len(packed) > MAX_PACKED_BYTES:
        raise DecodeError("longer than a datagram may be")
    try:
        reader = _SCHEMA.Message.from_bytes_packed(
            packed, traversal_limit_in_words=TRAVERSAL_WORDS, nesting_limit=NESTING
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
        _write_news(builder, message)
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


def _write_news(builder: Any, message: Message) -> None:
    items = builder.init("news", len(message.news))
    for item, news in zip(items, message.news, strict=True):
        item.kind = news.kind.value
        item.key = news.key
        item.word = news.word
        item.extra = news.extra
        item.stamp = news.stamp
        item.ageMs = news.age_ms
        item.ttlS = news.ttl_s


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
    region = _text(reader.region)
    return Message(
        kind=KINDS[reader.kind],
        sender=_name(reader.sender),
        incarnation=reader.incarnation,
        sequence=reader.sequence,
        region=region,
        to=_text(reader.to),
        echo=reader.echo,
        cookie=reader.cookie,
        subject=_text(reader.subject),
        view_hash=reader.viewHash,
        values_hash=reader.valuesHash,
        bucket_hashes=tuple(_items(reader.bucketHashes, MAX_NAMES)),
        last=reader.last,
        members=tuple(
            _read_member(item, region) for item in _items(reader.members, MAX_ITEMS)
        ),
        values=tuple(_read_value(item) for item in _items(reader.values, MAX_ITEMS)),
        news=tuple(_read_news(item) for item in _items(reader.news, MAX_ITEMS)),
        summaries=tuple(
            _read_summary(item) for item in _items(reader.summaries, MAX_ITEMS)
        ),
    )


def _read_member(reader: Any, region: str) -> Member:
    peers_address = _address(reader.peersAddress)
    return Member(
        id=_name(reader.id),
        incarnation=reader.incarnation,
        refutation=reader.refutation,
        state=STATES[reader.state],
        leaving=reader.leaving,
        peers_address=peers_address,
        callers_address=_address(
            _lengthen_address(reader.callersAddress, peers_address)
        ),
        zone=_text(reader.zone),
        region=_text(reader.region) or (region if peers_address else ""),
        accuser=_text(reader.accuser),
    )


def _read_value(reader: Any) -> ValueDigest:
    digest = bytes(reader.digest)
    if len(digest) != DIGEST_BYTES:
        raise DecodeError("digest of a wrong length")
    return ValueDigest(_name(reader.name), reader.revision, digest)


def _read_news(reader: Any) -> GossipUpdate:
    return GossipUpdate(
        kind=NEWS_KINDS[reader.kind],
        key=reader.key,
        word=reader.word,
        extra=reader.extra,
        stamp=reader.stamp,
        age_ms=reader.ageMs,
        ttl_s=reader.ttlS,
    )


def _read_summary(reader: Any) -> RegionSummary:
    return RegionSummary(
        region=_name(reader.region),
        alive=reader.alive,
        down=tuple(_text(name) for name in _items(reader.down, MAX_NAMES)),
        leaving=tuple(_text(name) for name in _items(reader.leaving, MAX_NAMES)),
        contacts=tuple(_address(name) for name in _items(reader.contacts, MAX_NAMES)),
        age_ms=reader.ageMs,
    )


def _items(items: Any, limit: int) -> Any:
    if len(items) > limit:
        raise DecodeError("list too long")
    return items


def _text(text: str) -> str:
    if len(text) > MAX_TEXT:
        raise DecodeError("text too long")
    return text


@lru_cache(MAX_ADDRESSES)
def _address(text: str) -> str:
    """Return ``text`` if it is empty or an IP number with a port."""
    if not text:
        return text
    ip, _, port = _text(text).rpartition(":")
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise DecodeError("address without a port")
    ip_address(ip.strip("[]"))
    return text


def _name(text: str) -> str:
    if not text:
        raise DecodeError("name missing")
    return _text(text)


def _shorten_address(member: Member) -> str:
    address = member.callers_address
    ip, _, port = address.rpartition(":")
    same = bool(ip) and member.peers_address.rpartition(":")[0] == ip
    return f":{port}" if same else address


def _lengthen_address(address: str, peers_address: str) -> str:
    if not address.startswith(":"):
        return address
    return peers_address.rpartition(":")[0] + address


def _item_count(message: Message) -> int:
    lists = (message.members, message.values, message.news, message.summaries)
    return sum(len(items) for items in lists)


def _halve(message: Message) -> Message:
    return replace(
        message,
        members=message.members[: len(message.members) // 2],
        values=message.values[: (len(message.values) + 1) // 2]
        if len(message.values) > 1
        else (),
        news=message.news[: len(message.news) // 2],
        summaries=message.summaries[: len(message.summaries) // 2],
    )
