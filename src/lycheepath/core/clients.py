"""
The directory of clients with their teams and home regions.

The platform publishes SHA-256 digests of API keys, never the keys.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Client:
    """A caller that the directory lists; ``region`` is its home region."""

    id: str
    team: str
    region: str


@dataclass(frozen=True, slots=True)
class Directory:
    """All clients by the hexadecimal SHA-256 digest of their API key."""

    by_key_digest: Mapping[str, Client]

    def authenticate(self, api_key: str) -> Client | None:
        """Return the client with this API key, or None if there is none."""
        digest = hashlib.sha256(api_key.encode()).hexdigest()
        return self.by_key_digest.get(digest)

    def team_regions(self) -> dict[str, tuple[str, ...]]:
        """Return the home regions of each team's clients, sorted."""
        regions: dict[str, set[str]] = {}
        for client in self.by_key_digest.values():
            regions.setdefault(client.team, set()).add(client.region)
        return {team: tuple(sorted(found)) for team, found in regions.items()}


EMPTY_DIRECTORY = Directory({})


def read_directory(value: Any) -> Directory | str:
    """
    Read the published directory.

    Returns an error message if an entry is malformed: a directory is accepted
    completely or not at all, so that no client is dropped silently.
    """
    if not isinstance(value, dict) or not isinstance(value.get("clients"), list):
        return "the directory must be an object with a list under 'clients'"
    by_key_digest: dict[str, Client] = {}
    for index, entry in enumerate(value["clients"]):
        client = _read_client(entry)
        if client is None:
            return (
                f"/clients/{index}: give id, team, region and key_sha256 (64 hexadecimal "
                "digits)"
            )
        by_key_digest[entry["key_sha256"]] = client
    return Directory(by_key_digest)


def _read_client(entry: Any) -> Client | None:
    if not isinstance(entry, dict):
        return None
    fields = [entry.get(name) for name in ("id", "team", "region", "key_sha256")]
    if not all(isinstance(field, str) and field for field in fields):
        return None
    if len(entry["key_sha256"]) != 64:
        return None
    return Client(entry["id"], entry["team"], entry["region"])
