"""
Fingerprints of requests, by which hosts recognise a request again.

A fingerprint is keyed, so that it tells nothing about the request to anyone
without the hosts' keys, and differs for each region scope, so that the record
of a bound request means nothing outside its region.
"""

from __future__ import annotations

import hmac
from hashlib import blake2b
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...host.settings import PeerKey

Fingerprint: TypeAlias = bytes

FINGERPRINT_BYTES = 16
UNBOUND_SCOPE = ""
_CONTEXT = b"lycheepath quarantine 1\0"


def make_fingerprints(
    keys: Sequence[PeerKey], scope: str, model: str, content: bytes
) -> tuple[Fingerprint, ...]:
    """
    Make the fingerprints of a request, one for each accepted key.

    The first is used in records; a record under any of them applies, so that
    nothing is lost during a key rotation. ``scope`` is the region to which
    the request is bound, or ``EVERYWHERE``. ``content`` is what the target
    works on in canonical form, for example the messages as sorted JSON, and
    leaves out what a caller varies freely, such as the streaming flag.
    """
    digest = blake2b(content, person=b"quarantine").digest()
    text = b"\0".join((_CONTEXT, scope.encode(), model.encode(), digest))
    return tuple(
        hmac.digest(key.secret, text, "sha256")[:FINGERPRINT_BYTES] for key in keys
    )
