"""Callers that chat, streamed and whole, until they are told to stop."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from standins.caller import Kind, Outcome, build_messages

if TYPE_CHECKING:
    from .session import Session

STREAMED, WHOLE = "streamed answer", "whole answer"
SHORTEST_TOKENS, LONGEST_TOKENS = 40, 120
PAUSE_S = 0.1
SYSTEM_PROMPT = "You draft wedding day makeup schedules for artists. " * 40


@dataclass(slots=True)
class Chats:
    """The outcomes of all chats by their form."""

    outcomes: dict[str, list[Outcome]] = field(
        default_factory=lambda: {STREAMED: [], WHOLE: []}
    )
    stopping: bool = False

    async def run_caller(self, session: Session, name: str) -> None:
        """Ask one question after another."""
        number = 0
        while not self.stopping:
            form = WHOLE if number % 3 == 2 else STREAMED
            outcome = await self._ask(session, f"{name} question {number}", form)
            self.outcomes[form].append(outcome)
            await self._follow(session, outcome)
            number += 1

    async def _ask(self, session: Session, question: str, form: str) -> Outcome:
        address = await session.choose_host()
        return await session.caller.ask(
            address,
            build_messages(question, SYSTEM_PROMPT),
            max_tokens=session.randomness.randint(SHORTEST_TOKENS, LONGEST_TOKENS),
            stream=form == STREAMED,
        )

    async def _follow(self, session: Session, outcome: Outcome) -> None:
        if outcome.kind is Kind.BROKEN:
            session.lose_host(outcome.address)
        await trio.sleep(max(PAUSE_S, outcome.retry_after_s))
