"""A caller's request and its dispatch to one target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; parts with the same id have the same content."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """
    The size of a prompt and of its answer, in tokens.

    ``parts`` are in the order of the prompt. Requests may share leading parts; the
    last part belongs to this request alone. ``max_answer_tokens`` limits the answer,
    ``expected_answer_tokens`` is the caller's estimate of its length.
    """

    model: str
    tokens: int
    max_answer_tokens: int
    parts: tuple[PromptPart, ...]
    expected_answer_tokens: int | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts that other requests may share: all but the last."""
        return tuple(part.id for part in self.parts[:-1])


class CredentialsKind(Enum):
    """What a request carries to tell whose it is."""

    NONE = "none"
    KEY = "key"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Credentials:
    """The key of a request, as its digest; empty unless it carries one key."""

    kind: CredentialsKind
    digest: str = ""


NO_CREDENTIALS = Credentials(CredentialsKind.NONE)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """
    The parsed headers of a request.

    ``deadline_s`` is how long the caller waits, ``headers`` are those that are passed
    on. A caller that takes up a stream names the last event that it has, and in
    ``resumes`` the id of its request whose answer brought the first one. ``team`` is the
    name that the request states, which only hosts are believed.
    """

    id: str
    host: str
    deadline_s: float | None
    last_event_id: int | None
    prompt: Prompt | None
    headers: tuple[tuple[bytes, bytes], ...]
    resumes: str = ""
    credentials: Credentials = NO_CREDENTIALS
    team: str | None = None

    @property
    def takes_up(self) -> bool:
        """Whether it goes on with a stream of which the caller has a part."""
        return self.last_event_id is not None


@dataclass(frozen=True, slots=True)
class Dispatch:
    """
    One attempt of a request at a target.

    ``left_s`` is the time that the target has for the request. ``priority`` runs from
    0, the highest, to 9. ``last_event_id`` resumes a stream. ``fetch_from`` is the
    address of another target, from which cached parts of the prompt are fetched.
    ``team`` is the name of the team whose request it is, None without one.
    """

    target: str
    left_s: float
    priority: int | None = None
    last_event_id: int | None = None
    fetch_from: str = ""
    team: str | None = None
