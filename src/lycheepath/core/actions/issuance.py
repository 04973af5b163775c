"""
Which host may run actions under a caller's key.

The issuer of a key is computed from the environment document alone, never
from a view of who is alive, so that two hosts with the same document never
disagree::

    issuer = select_issuer(environment, "accra", "brides", "deposits", key)
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .claims import digest_fields

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ..environment.model import Environment

MAX_HASHED_HOSTS = 8192
MAX_LAYOUTS = 4
_MASK = 0xFFFFFFFFFFFFFFFF


def select_issuer(
    environment: Environment, region: str, team: str, service: str, key: str
) -> str | Absent:
    """
    Return the id of the only host that may run the key's action.

    ``region`` is the one that the team is bound to, or its home.
    """
    hosts = list_issuers(environment, region)
    if not hosts:
        return Absent(
            Reason.OWNER_UNREACHABLE, detail=f"no issuer is named in region {region}"
        )
    return max(hosts, key=_scorer(team, service, key))


def previous_issuers_for(
    environment: Environment, region: str, team: str, service: str, key: str
) -> tuple[str, ...]:
    """
    Return the hosts that may have issued the key under ``issuers.previous``.

    A previous host that the document no longer lists may have belonged to
    the region; it counts as a candidate beside the highest listed one.
    """
    regions = map_host_regions(environment)
    previous = [
        host
        for host in environment.issuers.previous
        if regions.get(host, region) == region
    ]
    candidates: list[str] = []
    for host in rank_hosts(previous, team, service, key):
        candidates.append(host)
        if host in regions:
            break
    return tuple(candidates)


def list_issuers(environment: Environment, region: str) -> tuple[str, ...]:
    """List the hosts of ``region`` that share the callers' keys."""
    return _find_layout(environment).issuers.get(region, ())


def list_holders(environment: Environment, host: str) -> tuple[str, ...]:
    """
    List the hosts that may hold a leaving host's claims, best first.

    Only hosts of its own region qualify, since the claims' answers may be
    bound to the region.
    """
    regions = map_host_regions(environment)
    others = [
        other
        for other, region in regions.items()
        if other != host and region == regions.get(host)
    ]
    return rank_hosts(others, "handover", host, "")


def find_unnamed_issuer_changes(
    before: Environment, after: Environment
) -> tuple[str, ...]:
    """
    List the regions whose issuers change without ``issuers.previous``.

    A revision that changes who issues must name the whole set that it
    replaces, else two hosts could run the same key.
    """
    replaced = {
        region.id: set(list_issuers(before, region.id)) for region in before.regions
    }
    named = set(after.issuers.previous)
    return tuple(
        region
        for region, hosts in replaced.items()
        if hosts and hosts != set(list_issuers(after, region)) and not hosts <= named
    )


def map_host_regions(environment: Environment) -> Mapping[str, str]:
    """Map each listed host to its region."""
    return _find_layout(environment).regions


def rank_hosts(
    hosts: Iterable[str], team: str, service: str, key: str
) -> tuple[str, ...]:
    """Order hosts for a key by rendezvous hashing, the highest score first."""
    return tuple(sorted(hosts, key=_scorer(team, service, key), reverse=True))


def _scorer(team: str, service: str, key: str) -> Callable[[str], tuple[int, str]]:
    digest = digest_fields(8, team.encode(), service.encode(), key.encode())
    key_hash = int.from_bytes(digest, "big")
    return lambda host: (_mix(key_hash ^ _hash_host(host)), host)


@lru_cache(maxsize=MAX_HASHED_HOSTS)
def _hash_host(host: str) -> int:
    return int.from_bytes(digest_fields(8, host.encode()), "big")


def _mix(value: int) -> int:
    """Spread a 64-bit value, by the finaliser of SplitMix64."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


@dataclass(frozen=True, slots=True)
class _Layout:
    environment: Environment
    regions: Mapping[str, str]
    issuers: Mapping[str, tuple[str, ...]]


_layouts: deque[_Layout] = deque(maxlen=MAX_LAYOUTS)


def _find_layout(environment: Environment) -> _Layout:
    """Return what is derived from a document, computed once for each."""
    for layout in _layouts:
        if layout.environment is environment:
            return layout
    layout = _build_layout(environment)
    _layouts.appendleft(layout)
    return layout


def _build_layout(environment: Environment) -> _Layout:
    zones = {zone.id: zone.region for zone in environment.zones}
    regions = {host.id: zones.get(host.zone, "") for host in environment.hosts}
    named = set(environment.issuers.hosts)
    issuers: dict[str, tuple[str, ...]] = {}
    for host, region in regions.items():
        if not named or host in named:
            issuers[region] = (*issuers.get(region, ()), host)
    return _Layout(environment, regions, issuers)
