"""What is known of one caller's request while it is served."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..core.serving.events import EventCutter
from ..core.serving.retries import Tries

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.catalog.model import Route
    from ..core.serving.requests import RequestFacts


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
    is first. ``resort`` says that the answer has begun.
    """

    caller: CallerConnection
    request: ReceivedRequest
    facts: RequestFacts
    route: Route
    service: str
    deadline: float
    number: int
    tries: Tries = field(default_factory=Tries)
    tried: frozenset[str] = frozenset()
    tried_regions: frozenset[str] = frozenset()
    cutter: EventCutter = field(init=False)
    held: HeldAnswer | None = None
    begun: bool = False
    reason: str = ""

    def __post_init__(self) -> None:
        self.cutter = EventCutter(self.facts.last_event_id)

    @property
    def received_at(self) -> float:
        """When the request had been read."""
        return self.request.received_at
