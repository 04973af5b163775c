"""
The session of a caller, which looks up its hosts and replaces lost ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import httpx

if TYPE_CHECKING:
    import random

    from standins.caller import Caller


class NoHostError(Exception):
    """No contact of a caller returned a host to use."""


@dataclass(slots=True)
class Session:
    """
    A caller and the hosts that it knows.

    ``contacts`` are the addresses that it starts with and queries for the hosts
    to use; ``hosts`` are the addresses of the last answer.
    """

    caller: Caller
    contacts: list[str]
    randomness: random.Random
    hosts: list[str] = field(default_factory=list)

    async def choose_host(self) -> str:
        """Return the address of a host to use; raises NoHostError if there is none."""
        if not self.hosts:
            self.hosts = await self._query_contacts()
        return self.randomness.choice(self.hosts)

    def remove_host(self, address: str) -> None:
        """Remove a host whose connection failed; the contacts are queried next time."""
        if address in self.contacts and len(self.contacts) > 1:
            self.contacts.remove(address)
        self.hosts = []

    async def _query_contacts(self) -> list[str]:
        for address in self.randomness.sample(self.contacts, len(self.contacts)):
            try:
                found: list[dict[str, Any]] = await self.caller.find_hosts(address)
            except httpx.HTTPError:
                continue
            if found:
                return [host["address"] for host in found]
        raise NoHostError(f"none of {self.contacts} returned a host to use")
