"""
Which host may run actions under a caller's key.

The issuer of a key is computed from the environment document alone, never
from a view of who is alive, so that two hosts with the same document never
disagree::

    issuer = issuer_for(environment, "accra", "brides", "deposits", key)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .claims import digest_fields

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..environment.model import Environment

_SCORE_BYTES = 8


def issuer_for(
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
    return rank_hosts(hosts, team, service, key)[0]


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
    named = environment.issuers.hosts
    regions = map_host_regions(environment)
    return tuple(
        host
        for host, host_region in regions.items()
        if host_region == region and (not named or host in named)
    )


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


def map_host_regions(environment: Environment) -> dict[str, str]:
    """Map each listed host to its region."""
    zones = {zone.id: zone.region for zone in environment.zones}
    return {host.id: zones.get(host.zone, "") for host in environment.hosts}


def rank_hosts(
    hosts: Iterable[str], team: str, service: str, key: str
) -> tuple[str, ...]:
    """Order hosts for a key by rendezvous hashing, the highest score first."""
    fields = (team.encode(), service.encode(), key.encode())
    return tuple(
        sorted(
            hosts,
            key=lambda host: (
                digest_fields(_SCORE_BYTES, host.encode(), *fields),
                host,
            ),
            reverse=True,
        )
    )
