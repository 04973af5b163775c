"""
Digests of the values that the platform publishes.

Messages carry only the name, the revision and the digest; the content is fetched
from a peer that holds it. A held revision never decreases.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

from ..membership.errors import RevisionFellError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class ValueDigest:
    """A value's name, its revision and the BLAKE2b digest of its content."""

    name: str
    revision: int
    digest: bytes


def digest_content(content: bytes) -> bytes:
    """Return the digest that identifies ``content`` between hosts."""
    return blake2b(content, digest_size=DIGEST_BYTES).digest()


class ValueTable:
    """The values that this host holds."""

    def __init__(self) -> None:
        self._held: dict[str, ValueDigest] = {}
        self.hash = 0

    def __iter__(self) -> Iterator[ValueDigest]:
        return iter(tuple(self._held.values()))

    def get(self, name: str) -> ValueDigest | None:
        """Return the digest held under ``name``."""
        return self._held.get(name)

    def put(self, value: ValueDigest) -> bool:
        """
        Store ``value``; return whether that changed anything.

        Raises ``RevisionFellError`` if a higher revision, or different content under
        the same one, is held.
        """
        held = self._held.get(value.name)
        if held == value:
            return False
        if held is not None and value.revision < held.revision:
            raise RevisionFellError(
                f"{value.name}: held revision {held.revision} is above {value.revision}"
            )
        if held is not None and value.revision == held.revision:
            raise RevisionFellError(
                f"{value.name}: content differs at revision {held.revision}"
            )
        self._held[value.name] = value
        self.hash = _hash_values(self._held.values())
        return True


def _hash_values(values: Iterable[ValueDigest]) -> int:
    mixed = 0
    for value in values:
        raw = f"{value.name}|{value.revision}|".encode() + value.digest
        mixed ^= int.from_bytes(blake2b(raw, digest_size=4).digest(), "big")
    return mixed
