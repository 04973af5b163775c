"""
Sets of hosts computed by rendezvous hashing, without agreement between hosts.

Every host that knows the same list computes the same set. Lists that differ by one
host yield sets that differ by one host at most. Example::

    readers = computed_readers(hosts, zone="accra-a", count=2)
"""

from __future__ import annotations

from hashlib import blake2b
from heapq import nsmallest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .model import PublishedHost

READERS_PER_ZONE = 2
CONTACTS_PER_REGION = 3
POLLERS_PER_TARGET = 2
HOSTS_PER_CELL = 12
JUMP_FACTOR = 2862933555777941757
MASK_64 = (1 << 64) - 1


def rank_hosts(key: str, hosts: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first ``count`` of ``hosts`` in their order for ``key``."""
    return tuple(nsmallest(count, hosts, key=lambda host: _score(key, host)))


def computed_readers(
    hosts: Iterable[PublishedHost], zone: str, count: int = READERS_PER_ZONE
) -> tuple[str, ...]:
    """Return the ids of the hosts that watch the platform for ``zone``."""
    ids = (host.id for host in hosts if host.zone == zone)
    return rank_hosts(f"reader/{zone}", ids, count)


def computed_contacts(
    hosts: Iterable[PublishedHost], region: str, count: int = CONTACTS_PER_REGION
) -> tuple[str, ...]:
    """Return the ids of the hosts that exchange summaries for ``region``."""
    ids = (host.id for host in hosts if host.region == region)
    return rank_hosts(f"contact/{region}", ids, count)


def computed_pollers(
    target: str, hosts: Iterable[str], count: int = POLLERS_PER_TARGET
) -> tuple[str, ...]:
    """Return the ids, among ``hosts``, that poll ``target`` for its load."""
    return rank_hosts(f"poller/{target}", hosts, count)


def computed_cell(
    host: str, hosts: Sequence[str], size: int = HOSTS_PER_CELL
) -> tuple[str, ...]:
    """
    Return the hosts of the cell that ``host`` belongs to, itself included.

    The hosts of a region are split into cells of about ``size`` hosts; the hosts of
    a cell share the same targets and exchange their loads.
    """
    cells = max(1, round(len(hosts) / size))
    cell = _cell_of(host, cells)
    return tuple(other for other in hosts if _cell_of(other, cells) == cell)


def cell_of_target(target: str, host_count: int, size: int = HOSTS_PER_CELL) -> int:
    """Return the number of the cell that serves ``target``."""
    return _cell_of(target, max(1, round(host_count / size)))


def cell_of_host(host: str, host_count: int, size: int = HOSTS_PER_CELL) -> int:
    """Return the number of the cell that ``host`` belongs to."""
    return _cell_of(host, max(1, round(host_count / size)))


def _cell_of(name: str, cells: int) -> int:
    """
    Return a cell by jump consistent hashing.

    It takes one digest, and few names move when the number of cells changes.
    """
    digest = blake2b(name.encode(), digest_size=8).digest()
    key = int.from_bytes(digest, "big")
    cell = 0
    jump = 0
    while jump < cells:
        cell = jump
        key = key * JUMP_FACTOR + 1 & MASK_64
        jump = int((cell + 1) * (1 << 31) / ((key >> 33) + 1))
    return cell


def _score(key: str, host: str) -> bytes:
    return blake2b(f"{key}|{host}".encode(), digest_size=8).digest()
