"""
Authenticates datagrams with keys that the hosts share.

A datagram consists of the version, a keyed BLAKE2b tag and the packed message.
The first key signs; every key is accepted, so that a key can be rotated
without interruption. A message names its sender and its receiver, so the tag
covers both.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...host.settings import PeerKey

VERSION = 1
TAG_BYTES = 16
HEADER_BYTES = 1 + TAG_BYTES
MAX_DATAGRAM_BYTES = 1200
MIN_SECRET_BYTES = 16


class AuthenticationError(ValueError):
    """The datagram was not signed with any of the configured keys."""


def sign(packed: bytes, keys: tuple[PeerKey, ...]) -> bytes:
    """Return the datagram for ``packed``, signed with the first key."""
    return bytes((VERSION,)) + _make_tag(packed, keys[0].secret) + packed


def verify(datagram: bytes, keys: tuple[PeerKey, ...]) -> bytes:
    """Return the packed message; raise ``AuthenticationError`` if invalid."""
    if not HEADER_BYTES < len(datagram) <= MAX_DATAGRAM_BYTES:
        raise AuthenticationError("length")
    if datagram[0] != VERSION:
        raise AuthenticationError("version")
    tag = datagram[1:HEADER_BYTES]
    packed = datagram[HEADER_BYTES:]
    if any(compare_digest(tag, _make_tag(packed, key.secret)) for key in keys):
        return packed
    raise AuthenticationError("tag")


def _make_tag(packed: bytes, secret: bytes) -> bytes:
    key = blake2b(secret, digest_size=32, person=b"lycheepath-peer").digest()
    return blake2b(packed, key=key, digest_size=TAG_BYTES).digest()
