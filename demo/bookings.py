"""
Callers that make deposits, each under a ticket or an idempotency key.

A caller that does not know the outcome of its deposit resends it under the same
ticket or key through another host, as long as the answer has a time to retry.
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
DEPOSIT_PAUSE_S = 0.3
MAX_SENDS = 12
RESEND_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class Deposit:
    """A deposit; without a ticket, its name is its idempotency key."""

    name: str
    ticket: str = ""


@dataclass(slots=True)
class Bookings:
    """The last outcome of each deposit and the number of times it was sent."""

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    send_counts: dict[str, int] = field(default_factory=dict)
    stopping: bool = False

    async def run_caller(self, session: Session, name: str) -> None:
        """Make one deposit after another, each under a ticket."""
        number = 0
        while not self.stopping:
            deposit = await self.prepare(session, f"{name}-deposit-{number}")
            if deposit is not None:
                await self.complete(session, deposit)
            await trio.sleep(DEPOSIT_PAUSE_S)
            number += 1

    async def prepare(self, session: Session, name: str) -> Deposit | None:
        """Request a ticket for a deposit; return None if the host issued none."""
        answer = await session.caller.take_ticket(await session.choose_host(), SERVICE)
        if answer.kind is Kind.WHOLE:
            return Deposit(name, answer.body["ticket"])
        if answer.kind is Kind.BROKEN:
            session.remove_host(answer.address)
        return None

    async def complete(self, session: Session, deposit: Deposit) -> Outcome:
        """Send a deposit, at most ``MAX_SENDS`` times, until it is answered."""
        for _ in range(MAX_SENDS):
            address = await session.choose_host()
            outcome = await self.send(session, deposit, address)
            if outcome.kind is Kind.BROKEN:
                session.remove_host(outcome.address)
            elif outcome.kind is Kind.WHOLE or not outcome.retry_after_s:
                break
            await trio.sleep(max(RESEND_PAUSE_S, outcome.retry_after_s))
        return outcome

    async def send(self, session: Session, deposit: Deposit, address: str) -> Outcome:
        """Send a deposit once, through the host at ``address``."""
        name = deposit.name
        self.send_counts[name] = self.send_counts.get(name, 0) + 1
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
