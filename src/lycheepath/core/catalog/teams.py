"""
The teams of a configuration, and whose key a request carries.

Keys are kept as digests only, so that no log line, copy or dump can show one. A look-up
costs the same for any number of teams::

    table = TeamTable(configuration.teams)
    team = table.find_by_key(digest_key(b"jbvk9m68"))
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@dataclass(frozen=True, slots=True)
class TeamLimit:
    """
    The limit of a team over all hosts together.

    ``rate`` is per second and ``burst`` the size of the bucket, both in tokens if
    ``counts_tokens``, else in requests. A request that doesn't state its tokens costs
    ``plain_tokens``.
    """

    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: float = 0.0


@dataclass(frozen=True, slots=True)
class Team:
    """
    A team and the digests of its keys.

    ``urgency`` takes precedence over that of routes, unless it is None. Requests are
    bound to ``home_regions`` unless it is empty. ``limit`` is None without one.
    """

    name: str
    key_digests: tuple[str, ...]
    urgency: int | None = None
    home_regions: frozenset[str] = frozenset()
    limit: TeamLimit | None = None


class TeamTable:
    """The teams of one configuration by key digest and by name."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self._by_name = {team.name: team for team in teams}
        self._by_digest = {
            digest: team
            for team in self._by_name.values()
            for digest in team.key_digests
        }

    def __iter__(self) -> Iterator[Team]:
        return iter(self._by_name.values())

    def find_by_key(self, digest: str) -> Team | None:
        """Return the team that holds the key with a digest, or None."""
        return self._by_digest.get(digest)

    def find(self, name: str) -> Team | None:
        """Return the team with a name, or None."""
        return self._by_name.get(name)


def digest_key(key: bytes) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal."""
    return hashlib.sha256(key).hexdigest()


def find_cost(limit: TeamLimit, tokens: int | None) -> float:
    """
    Return what a request costs.

    ``tokens`` is the sum of its prompt and its longest answer, None if it states none.
    """
    if not limit.counts_tokens:
        return 1.0
    return limit.plain_tokens if tokens is None else max(1.0, float(tokens))


def find_tokens(limit: TeamLimit | None, tokens: int | None) -> float:
    """Return the tokens of a request, as a limit counts them if it counts tokens."""
    if limit is not None and limit.counts_tokens:
        return find_cost(limit, tokens)
    return float(tokens or 0)
