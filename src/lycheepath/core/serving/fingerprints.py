"""Names what requests share that may end the targets which serve them."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Longest id of a part that is named as it is; longer ones are replaced by a digest.
MAX_PART_LENGTH = 32
DIGEST_BYTES = 12
PART, REQUEST = "part", "request"


def list_features(
    method: bytes, target: bytes, body: bytes, shared_parts: Sequence[str]
) -> tuple[str, ...]:
    """
    Return the features of a request: itself, and the shared parts of its prompt.

    A request that is sent again has the same features, whatever its id. The last part of its
    prompt doesn't count, since it may be new each time::

        list_features(b"POST", b"/chat", b"...", ["5c1e07a2"])
        ("part 5c1e07a2", "request 0f62...")
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in (method, target, body, *(part.encode() for part in shared_parts)):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    parts = (f"{PART} {_shorten(part)}" for part in shared_parts)
    return (*parts, f"{REQUEST} {digest.hexdigest()}")


def _shorten(part: str) -> str:
    if len(part) <= MAX_PART_LENGTH:
        return part
    return blake2b(part.encode(), digest_size=DIGEST_BYTES).hexdigest()
