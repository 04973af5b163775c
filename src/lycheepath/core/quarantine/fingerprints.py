"""
Fingerprints of requests, by which hosts recognise a repeated request.

A fingerprint is keyed, so that it reveals nothing about the request without
the hosts' keys, and differs for each region scope, so that the record of a
bound request can't be matched outside its region.
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
    Return the fingerprints of a request, one for each accepted key.

    Records are written under the first; a record under any of them applies, so
    that a key rotation loses no record. ``scope`` is the region to which the
    request is bound, or ``UNBOUND_SCOPE``. ``content`` is the input of the target
    in canonical form, for example the messages as sorted JSON, without
    parameters that don't affect the result, such as the streaming flag.
    """
    digest = blake2b(content, person=b"quarantine").digest()
    text = b"\0".join((_CONTEXT, scope.encode(), model.encode(), digest))
    return tuple(
        hmac.digest(key.secret, text, "sha256")[:FINGERPRINT_BYTES] for key in keys
    )
