"""
Bookings with a deposit, each under an idempotency key.

A caller that doesn't know how its deposit ended resends it under the same key
through another host, for as long as the answer says to come back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from standins.caller import Kind, Outcome

from .deployment import SERVICE

if TYPE_CHECKING:
    from .session import Session

PATH = "/deposits"
PAUSE_S = 0.3
RESENDS = 12
RESEND_PAUSE_S = 0.5


@dataclass(slots=True)
class Bookings:
    """The last outcome of each deposit, and how often it was sent."""

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    stopping: bool = False

    async def run_caller(self, session: Session, name: str) -> None:
        """Make one deposit after another."""
        number = 0
        while not self.stopping:
            await self.deposit(session, f"{name}-deposit-{number}")
            await trio.sleep(PAUSE_S)
            number += 1

    async def deposit(self, session: Session, key: str) -> Outcome:
        """Make one deposit, resending it until it is answered."""
        for _ in range(RESENDS):
            address = await session.choose_host()
            outcome = await self.send(session, key, address)
            if outcome.kind is Kind.BROKEN:
                session.lose_host(outcome.address)
            elif outcome.kind is Kind.WHOLE or not outcome.retry_after_s:
                break
            await trio.sleep(max(RESEND_PAUSE_S, outcome.retry_after_s))
        return outcome

    async def send(self, session: Session, key: str, address: str) -> Outcome:
        """Send a deposit once through one host."""
        self.sent[key] = self.sent.get(key, 0) + 1
        outcome = await session.caller.call_service(
            address,
            SERVICE,
            PATH,
            idempotency_key=key,
            action=key,
            json={"amount": 50, "currency": "GHS"},
        )
        self.outcomes[key] = outcome
        return outcome
