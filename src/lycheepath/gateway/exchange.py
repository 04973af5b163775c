"""What is known of one caller's request while it is served."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.placement.model import NO_PREVIOUS_ATTEMPTS, PreviousAttempts
from ..core.serving.attempts import AttemptCounts
from ..core.serving.events import EventSplitter
from ..core.serving.suspects import fingerprint_request

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.catalog.model import Route
    from ..core.serving.answers import ReportedLoad
    from ..core.serving.requests import RequestHead


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """A target's failure, kept until nothing better is to be had."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(slots=True)
class Exchange:
    """
    State of one request, from its head to the end of its answer.

    ``deadline`` is on the loop's clock: the caller's or the route's, whichever
    is first. ``waited_s`` passed at another host before this one took the
    request, ``committed`` says that the other one sent it before. ``load`` is
    what the last target told of itself, ``added`` are headers for the host that
    relayed the request. ``first_s`` is the time from the request
    to the first event of its answer, ``longest_gap_s`` the longest pause after
    it; ``ended`` says that how the request ended is logged.
    """

    caller: CallerConnection
    request: ReceivedRequest
    facts: RequestHead
    route: Route
    service: str
    deadline: float
    number: int
    tries: AttemptCounts = field(default_factory=AttemptCounts)
    tried: PreviousAttempts = NO_PREVIOUS_ATTEMPTS
    cutter: EventSplitter = field(init=False)
    fingerprint: int = field(init=False)
    held: HeldAnswer | None = None
    load: ReportedLoad | None = None
    reason: str = ""
    waited_s: float = 0.0
    committed: bool = False
    added: tuple[tuple[bytes, bytes], ...] = ()
    first_s: float | None = None
    event_at: float = 0.0
    longest_gap_s: float = 0.0
    ended: bool = False

    def __post_init__(self) -> None:
        self.cutter = EventSplitter(self.facts.last_event_id)
        request = self.request
        self.fingerprint = fingerprint_request(
            request.method, request.target, request.body
        )

    @property
    def begun(self) -> bool:
        """Whether an answer to the caller has begun."""
        return self.caller.answering

    @property
    def received_at(self) -> float:
        """When the request's head came to the first host."""
        return self.request.received_at - self.waited_s

    def note_events(self, now: float) -> None:
        """Note that events of the answer have come."""
        if self.first_s is None:
            self.first_s = now - self.received_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.event_at)
        self.event_at = now
