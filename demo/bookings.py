"""
Bookings with a deposit, each under a ticket or an idempotency key.

A caller that doesn't know how its deposit ended resends it under the same
ticket or key through another host, for as long as the answer says to come
back.
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


@dataclass(frozen=True, slots=True)
class Deposit:
    """One deposit; it has a ticket, or else its name is its idempotency key."""

    name: str
    ticket: str = ""


@dataclass(slots=True)
class Bookings:
    """The last outcome of each deposit, and how often it was sent."""

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    stopping: bool = False

    async def run_caller(self, session: Session, name: str) -> None:
        """Make one deposit after another, each under a ticket."""
        number = 0
        while not self.stopping:
            deposit = await self.prepare(session, f"{name}-deposit-{number}")
            if deposit is not None:
                await self.complete(session, deposit)
            await trio.sleep(PAUSE_S)
            number += 1

    async def prepare(self, session: Session, name: str) -> Deposit | None:
        """Take a ticket for a deposit; None where the host gave none."""
        answer = await session.caller.take_ticket(await session.choose_host(), SERVICE)
        if answer.kind is Kind.WHOLE:
            return Deposit(name, answer.body["ticket"])
        if answer.kind is Kind.BROKEN:
            session.lose_host(answer.address)
        return None

    async def complete(self, session: Session, deposit: Deposit) -> Outcome:
        """Make a deposit, resending it until it is answered."""
        for _ in range(RESENDS):
            address = await session.choose_host()
            outcome = await self.send(session, deposit, address)
            if outcome.kind is Kind.BROKEN:
                session.lose_host(outcome.address)
            elif outcome.kind is Kind.WHOLE or not outcome.retry_after_s:
                break
            await trio.sleep(max(RESEND_PAUSE_S, outcome.retry_after_s))
        return outcome

    async def send(self, session: Session, deposit: Deposit, address: str) -> Outcome:
        """Send a deposit once through one host."""
        name = deposit.name
        self.sent[name] = self.sent.get(name, 0) + 1
        outcome = await session.caller.call_service(
            address,
            SERVICE,
            PATH,
            ticket=deposit.ticket,
            idempotency_key="" if deposit.ticket else name,
            action=name,
            json={"amount": 50, "currency": "GHS"},
        )
        self.outcomes[name] = outcome
        return outcome
