"""
A caller's session: it asks which host to use and moves on when one is lost.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import httpx

if TYPE_CHECKING:
    import random

    from standins.caller import Caller


class NoHostError(Exception):
    """None of the hosts that a caller knows has told which to use."""


@dataclass(slots=True)
class Session:
    """
    One caller and the hosts that it knows.

    ``contacts`` are the addresses that it was given to begin with; it asks
    them which host to use, and uses what it is told.
    """

    caller: Caller
    contacts: list[str]
    randomness: random.Random
    told: list[str] = field(default_factory=list)

    async def choose_host(self) -> str:
        """Return the address of a host to use now."""
        if not self.told:
            self.told = await self._ask_contacts()
        return self.randomness.choice(self.told)

    def lose_host(self, address: str) -> None:
        """Forget a host whose connection broke, and ask again next time."""
        if address in self.contacts and len(self.contacts) > 1:
            self.contacts.remove(address)
        self.told = []

    async def _ask_contacts(self) -> list[str]:
        for address in self.randomness.sample(self.contacts, len(self.contacts)):
            try:
                hosts: list[dict[str, Any]] = await self.caller.find_hosts(address)
            except httpx.HTTPError:
                continue
            if hosts:
                return [host["address"] for host in hosts]
        raise NoHostError(f"none of {self.contacts} told which host to use")
