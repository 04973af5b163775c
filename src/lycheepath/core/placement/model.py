"""What a choice of a target is made of, and what it comes to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .accuracy import Expected
from .region_waits import NO_QUEUE, Queue

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from ..catalog.model import Route
    from ..serving.requests import Prompt
    from .load_reports import TargetLoadReport
    from .registry import TargetState


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """
    A request as the choice sees it; ``elapsed_s`` since it came.

    ``committed`` says that it was sent before: its caller has waited, and may
    have a part of the answer.
    """

    route: Route
    service: str
    prompt: Prompt | None
    elapsed_s: float
    left_s: float
    committed: bool = False

    @property
    def queue(self) -> Queue:
        """The requests that wait as this one does."""
        return Queue(self.service, self.route.urgency)


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """
    Where this host stands.

    ``away_s`` is the time to and from each other region that can be reached.
    ``cold_senders`` are the hosts that share a cold target with this one; cold
    targets that it doesn't name are left to others. ``closed`` are services
    that have no open target in a region, as hosts there said a moment ago.
    ``leaving`` are regions whose hosts all leave.
    """

    region: str
    remote_rtt_s: Mapping[str, float]
    cold_senders: Mapping[str, int]
    closed: frozenset[tuple[str, str]] = frozenset()
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PreviousAttempts:
    """
    Where a request was sent before.

    ``targets`` and ``regions`` did not answer and are left out; ``failed`` are
    targets that answered with a failure, which the next answer need not be.
    """

    targets: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()


NO_PREVIOUS_ATTEMPTS = PreviousAttempts()


@dataclass(frozen=True, slots=True)
class QueriedTargets:
    """
    The targets of this region that a choice looks at, with their keepers' quotes.

    A target without a quote is taken to be as loaded as this host last found the
    region.
    """

    targets: Sequence[TargetState]
    quotes: Mapping[str, TargetLoadReport]


@dataclass(frozen=True, slots=True)
class Placement:
    """
    The chosen target with the estimate that decided.

    ``first_s`` is the time to the first event behind all work that is there;
    ``ahead_s`` of it is that work, ``ahead`` the tokens of it and
    ``place_s`` the wait for a place. ``away_s`` is the time to another region and
    back, 0 for this one. ``urgency`` is what the target is told, None for nothing,
    ``fill`` the part of an engine's places that is taken. ``pace`` is how much
    longer than others of its service the target was taken to need, ``queue`` the
    requests that wait as this one does.
    """

    target: TargetState
    first_event_s: float
    cached_tokens: int
    remote_rtt_s: float
    fetch_from: str = ""
    ahead_s: float = 0.0
    tokens_ahead: int | None = None
    slot_wait_s: float = 0.0
    event_interval_s: float = 0.0
    priority: int | None = None
    fill: float = 0.0
    pace: float = 1.0
    queue: Queue = NO_QUEUE

    @property
    def expected(self) -> Expected:
        """What is expected of the request once it is sent."""
        return Expected(self.queue, self.first_event_s, self.pace)

    @property
    def is_remote(self) -> bool:
        """Whether the target is in another region."""
        return self.remote_rtt_s > 0.0
