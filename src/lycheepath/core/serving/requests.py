"""A caller's request and its dispatch to one target, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, the same wherever its id is the same."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """
    What a generation reads and may write, in tokens.

    ``parts`` are in the prompt's order; requests share leading parts, the last
    is the request's own. ``expected_answer_tokens`` is the caller's guess.
    """

    model: str
    tokens: int
    max_answer_tokens: int
    parts: tuple[PromptPart, ...]
    expected_answer_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class RequestHead:
    """
    What a request's headers say.

    ``deadline_s`` is how long the caller waits, ``headers`` what is passed on.
    """

    id: str
    host: str
    deadline_s: float | None
    last_event_id: int | None
    prompt: Prompt | None
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """
    One sending of a request to one target.

    ``left_s`` is the time in which the target may work. ``priority`` runs from
    0, the most urgent, to 9. ``last_event_id`` resumes a stream. ``fetch_from``
    is another target, from which cached parts of the prompt are fetched.
    """

    target: str
    left_s: float
    priority: int | None = None
    last_event_id: int | None = None
    fetch_from: str = ""
