"""State of one caller's request while it is served."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.placement.model import NO_PREVIOUS_ATTEMPTS, PreviousAttempts
from ..core.serving.attempts import AttemptCounts
from ..core.serving.events import EventSplitter
from ..core.serving.fingerprints import list_features
from .withholding import WithheldAnswer

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.catalog.model import Route
    from ..core.catalog.teams import Team
    from ..core.limits.buffers import BufferBudget
    from ..core.reasons import Absent
    from ..core.serving.answers import AnswerHead
    from ..core.serving.requests import RequestHead
    from .team_limits import Admission


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """A target's failure answer, kept in case no other attempt succeeds."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(slots=True)
class Exchange:
    """
    State of one request, from its head to the end of its answer.

    ``deadline`` is the earlier of the caller's and the route's deadline, on the
    loop's clock. ``waited_s`` is the time that the request spent at another host
    before this one received it, ``lookup_s`` the time that hosts took to tell what
    began the stream that it takes up; ``committed`` says that the other host has sent
    it to a target before. ``failed_answer`` is the last failure answer of a target.
    ``cutter`` is that of the attempt whose events were passed on last.
    ``first_event_s`` is the time from the request to the first event of its answer,
    ``longest_gap_s`` the longest pause between two events. ``outcome_logged`` says
    that the outcome of the request has been logged. ``on_trial`` says that it tries a
    blocked part of its prompt. ``version`` is the software version that began its
    stream (None: no event was passed on yet, empty: unknown). ``relayed`` says that
    another host received it, ``reports_silence`` that this host is told when its
    target is silent. ``started_head`` is the head of the stream that was started.
    ``tried_hosts`` are the hosts that it was relayed to. ``no_place`` says why there
    was no other target when the request was given up. ``withheld`` is the answer that is
    held back until it is whole, None if it is passed on as it comes; ``undeliverable`` says
    that the caller may not read it in time. ``team`` is the team whose request it is, None
    if the configuration knows no teams or the request is anonymous. ``placed_at`` is when
    the request of a team was first placed, ``admission`` what was charged to its limit.
    ``held_back`` says that the team has had its share of the room, and when to return.
    """

    caller: CallerConnection
    request: ReceivedRequest
    request_head: RequestHead
    route: Route
    service: str
    deadline: float
    number: int
    attempts: AttemptCounts = field(default_factory=AttemptCounts)
    previous_attempts: PreviousAttempts = NO_PREVIOUS_ATTEMPTS
    cutter: EventSplitter = field(init=False)
    features: tuple[str, ...] = field(init=False)
    failed_answer: FailedAnswer | None = None
    reason: str = ""
    waited_s: float = 0.0
    lookup_s: float = 0.0
    committed: bool = False
    first_event_s: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    outcome_logged: bool = False
    on_trial: bool = False
    version: str | None = None
    relayed: bool = False
    reports_silence: bool = False
    started_head: AnswerHead | None = None
    no_place: str = ""
    undeliverable: bool = False
    tried_hosts: set[str] = field(default_factory=set)
    withheld: WithheldAnswer | None = None
    team: Team | None = None
    placed_at: float | None = None
    held_back: Absent | None = None
    admission: Admission | None = None

    def __post_init__(self) -> None:
        self.cutter = EventSplitter(self.request_head.last_event_id)
        request = self.request
        self.features = list_features(
            request.method, request.target, request.body, self.shared_parts
        )

    @property
    def stream(self) -> str:
        """The request that brought the first event, the id of the stream over tries."""
        head = self.request_head
        return head.resumes if head.takes_up and head.resumes else head.id

    @property
    def team_name(self) -> str | None:
        """The name of the team whose request it is, or None."""
        return None if self.team is None else self.team.name

    @property
    def tokens(self) -> int | None:
        """The tokens of the prompt and of its longest answer, None without a prompt."""
        prompt = self.request_head.prompt
        return None if prompt is None else prompt.tokens + prompt.max_answer_tokens

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts of the prompt that other requests may share."""
        prompt = self.request_head.prompt
        return prompt.shared_parts if prompt else ()

    @property
    def own_part(self) -> str:
        """The id of the last part of the prompt, which is the request's own."""
        prompt = self.request_head.prompt
        return prompt.parts[-1].id if prompt and prompt.parts else ""

    @property
    def answer_started(self) -> bool:
        """Whether the answer to the caller has been started."""
        return self.caller.answer_started

    @property
    def answer_begun(self) -> bool:
        """Whether a target has begun the answer, passed on or withheld."""
        return self.started_head is not None or self.answer_started

    def withhold_answer(self, buffers: BufferBudget) -> None:
        """Hold the answer back until it is whole, unless it has been started."""
        if self.withheld is None and not self.answer_started:
            self.withheld = WithheldAnswer(buffers)

    def release(self) -> None:
        """Give back the memory of an answer that was withheld and not passed on."""
        if self.withheld is not None:
            self.withheld.release()

    @property
    def received_at(self) -> float:
        """When the first host received the head of the request."""
        return self.request.received_at - self.waited_s

    def find_placing_wait_s(self, now: float) -> float:
        """
        Return the time that placing counts towards the request's objective.

        A lookup isn't counted: refused for it, the caller would only wait again.
        """
        return now - self.received_at - self.lookup_s

    def record_events(self, now: float) -> None:
        """Record the time at which events of the answer arrived."""
        if self.first_event_s is None:
            self.first_event_s = now - self.received_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now
