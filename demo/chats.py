"""Callers that send streamed and unstreamed chat requests until stopped."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from standins.caller import Kind, Outcome, build_messages

if TYPE_CHECKING:
    from .session import Session

STREAMED, UNSTREAMED = "streamed answer", "whole answer"
MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS = 40, 120
CHAT_PAUSE_S = 0.1
SYSTEM_PROMPT = "You draft wedding day makeup schedules for artists. " * 40


@dataclass(slots=True)
class Chats:
    """The outcomes of all chat requests by the form of their answer."""

    outcomes: dict[str, list[Outcome]] = field(
        default_factory=lambda: {STREAMED: [], UNSTREAMED: []}
    )
    stopping: bool = False

    async def run_caller(self, session: Session, name: str) -> None:
        """Send one chat request after another."""
        number = 0
        while not self.stopping:
            form = UNSTREAMED if number % 3 == 2 else STREAMED
            outcome = await self._send_question(
                session, f"{name} question {number}", form
            )
            self.outcomes[form].append(outcome)
            await self._handle_outcome(session, outcome)
            number += 1

    async def _send_question(
        self, session: Session, question: str, form: str
    ) -> Outcome:
        address = await session.choose_host()
        return await session.caller.ask(
            address,
            build_messages(question, SYSTEM_PROMPT),
            max_tokens=session.randomness.randint(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS),
            stream=form == STREAMED,
        )

    async def _handle_outcome(self, session: Session, outcome: Outcome) -> None:
        if outcome.kind is Kind.BROKEN:
            session.remove_host(outcome.address)
        await trio.sleep(max(CHAT_PAUSE_S, outcome.retry_after_s))
