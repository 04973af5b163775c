"""
Which hosts a caller should use.

The answer is what balances load, since nothing stands before the hosts. A
team gets the same few hosts of a region from whichever host is asked, ranked
by rendezvous hashing over the published list (shuffle sharding). A host that
leaves or is held for dead is skipped, so that only its own teams move, and
they move to different hosts. Callers of one team get the same set in an order
of their own, so that they spread over it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason
from .rendezvous import combine_hashes, hash_name, rank

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..environment.model import Environment, Host

VALID_S = 30.0
VALID_SPREAD = 0.5
DEGRADED_VALID_S = 5.0
RETRY_AFTER_S = 2.0


class MemberState(Enum):
    """What is known of a host's process."""

    LIVE = "live"
    SUSPECT = "suspect"
    DRAINING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """
    The hosts to use, best first, and how long to keep the answer.

    ``valid_s`` is in seconds and differs between callers, so that they do not
    all ask at once.
    """

    hosts: tuple[str, ...]
    valid_s: float


def hosts_for(
    team: str,
    caller: str,
    region: str,
    environment: Environment,
    members: Mapping[str, MemberState],
) -> HostAnswer | Absent:
    """
    Return the hosts of a region that a caller of a team should use.

    ``region`` is the caller's home, or the region its data is bound to. Hosts
    that ``members`` does not name count as live: a host that knows nobody
    still answers. When no host of the region is left, the answer is
    ``NO_TARGET`` with a time to ask again, never a host elsewhere.
    """
    local = _hosts_in(region, environment)
    if not local:
        return Absent(Reason.RESIDENCY, detail=f"no host in region {region}")
    ranked = rank(team, [host.id for host in local])
    usable = [host for host in ranked if is_usable(host, members)]
    if not usable:
        return Absent(Reason.NO_TARGET, RETRY_AFTER_S, f"no live host in {region}")
    shard = _spread_zones(usable, local, environment.shuffle_hosts)
    hosts = rank(f"{team}/{caller}", shard)
    degraded = len(usable) < len(ranked)
    return HostAnswer(hosts, _valid_s(team, caller, degraded))


def hosts_in_any_region(
    team: str,
    caller: str,
    home: str,
    environment: Environment,
    members: Mapping[str, MemberState],
) -> HostAnswer | Absent:
    """
    Return the hosts for a caller whose data may leave its home region.

    They are those of its home while one is left there. After that the callers
    of a region spread over all other regions, each with an order of its own.
    """
    others = [region.id for region in environment.regions if region.id != home]
    answer = hosts_for(team, caller, home, environment, members)
    for region in rank(f"{team}/{caller}", others):
        if answer:
            break
        answer = hosts_for(team, caller, region, environment, members)
    return answer


def team_hosts(team: str, region: str, environment: Environment) -> tuple[str, ...]:
    """
    Return the published hosts of a team in a region, dead or alive.

    Limits are shared over this set, which depends on the document alone.
    """
    local = _hosts_in(region, environment)
    ranked = rank(team, [host.id for host in local])
    return tuple(_spread_zones(ranked, local, environment.shuffle_hosts))


def is_usable(host: str, members: Mapping[str, MemberState]) -> bool:
    """Tell whether a host may be handed out; an unknown one may."""
    state = members.get(host, MemberState.LIVE)
    return state not in (MemberState.DRAINING, MemberState.DEAD)


def _hosts_in(region: str, environment: Environment) -> list[Host]:
    zones = {zone.id for zone in environment.zones if zone.region == region}
    return [host for host in environment.hosts if host.zone in zones]


def _spread_zones(
    ranked: Sequence[str], local: Sequence[Host], wanted: int
) -> list[str]:
    """Return the first hosts in rank, taking each zone once before any twice."""
    zones = {host.id: host.zone for host in local}
    chosen: list[str] = []
    remaining = list(ranked)
    while remaining and len(chosen) < wanted:
        seen: set[str] = set()
        skipped = []
        for host in remaining:
            if zones[host] in seen or len(chosen) == wanted:
                skipped.append(host)
                continue
            seen.add(zones[host])
            chosen.append(host)
        remaining = skipped
    return chosen


def _valid_s(team: str, caller: str, degraded: bool) -> float:
    base = DEGRADED_VALID_S if degraded else VALID_S
    fraction = combine_hashes(hash_name(team), hash_name(caller)) / 2**64
    return base * (1.0 - VALID_SPREAD / 2 + VALID_SPREAD * fraction)
