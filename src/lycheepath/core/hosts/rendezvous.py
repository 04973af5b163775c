"""
Rendezvous hashing: every process ranks the same nodes alike without asking.

The weight of a node for a key depends on these two alone, so a node that
leaves moves only its own keys, and they spread over all the others::

    rank("team-a", ("host-1", "host-2", "host-3"))[:2]
"""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_MASK = (1 << 64) - 1
_MULTIPLIER_1 = 0xBF58476D1CE4E5B9
_MULTIPLIER_2 = 0x94D049BB133111EB


@lru_cache(maxsize=65_536)
def hash_name(name: str) -> int:
    """Return the 64-bit hash of a name, the same in every process."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


def combine_hashes(left: int, right: int) -> int:
    """Return a 64-bit hash of two 64-bit hashes."""
    value = (left ^ (right * _MULTIPLIER_1)) & _MASK
    value = ((value ^ (value >> 30)) * _MULTIPLIER_1) & _MASK
    value = ((value ^ (value >> 27)) * _MULTIPLIER_2) & _MASK
    return value ^ (value >> 31)


def rank(key: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Return the nodes in falling order of their weight for the key."""
    seed = hash_name(key)
    return tuple(
        sorted(
            nodes,
            key=lambda node: (combine_hashes(seed, hash_name(node)), node),
            reverse=True,
        )
    )
