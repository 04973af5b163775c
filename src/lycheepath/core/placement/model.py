"""Inputs and results of the choice of a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from .accuracy import FirstEventEstimate
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
    A request that is to be placed.

    ``elapsed_s`` is the time since it was received, ``time_left_s`` the time until
    its deadline. ``already_sent`` means that an earlier attempt was made: its caller
    has waited for it and may have received a part of the answer. ``version`` is the
    software version that began its stream; only targets of that version can go on with
    it. It is None if any target may serve the request, and empty if it isn't known.
    ``spare_only`` says that its team has had its share of the room, so that it only gets
    what the others leave.
    ``resumed`` means that the caller has a part of the answer, so its rest is shorter.
    """

    route: Route
    service: str
    prompt: Prompt | None
    elapsed_s: float
    time_left_s: float
    already_sent: bool = False
    version: str | None = None
    spare_only: bool = False
    resumed: bool = False

    def may_go_to(self, version: str) -> bool:
        """Whether a target of this software version can serve the request."""
        return self.version is None or bool(version and version == self.version)

    @property
    def queue(self) -> Queue:
        """The queue that the request waits in."""
        return Queue(self.service, self.route.urgency)


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """
    This host's region and what it knows of the fleet.

    ``remote_rtt_s`` is the round-trip time to each reachable remote region.
    ``cold_sender_counts`` is the number of hosts that share a cold target, this one
    included; a cold target that it doesn't contain is left to other hosts.
    ``closed_services`` are the services without an available target in a region, as
    recently reported by hosts there. ``draining_regions`` are the regions whose hosts
    are all draining. ``unreachable`` are the targets of this region that this host can't
    reach; ``peer_rtt_s`` is the round-trip time to peers that may reach them, None if
    there is no such peer or the request may not be relayed.
    """

    region: str
    remote_rtt_s: Mapping[str, float]
    cold_sender_counts: Mapping[str, int]
    closed_services: frozenset[tuple[str, str]] = frozenset()
    draining_regions: frozenset[str] = frozenset()
    unreachable: frozenset[str] = frozenset()
    peer_rtt_s: float | None = None

    def find_rtt_s(self, target: TargetState) -> float:
        """Return the round-trip time to the host that sends to a target, 0 for this."""
        if target.region != self.region:
            return self.remote_rtt_s.get(target.region, 0.0)
        if target.entry.id in self.unreachable and self.peer_rtt_s is not None:
            return self.peer_rtt_s
        return 0.0


@dataclass(frozen=True, slots=True)
class PreviousAttempts:
    """
    The targets and regions that a request was sent to before.

    ``targets`` and ``regions`` did not answer and are excluded. ``failed`` are targets
    that answered with a failure; another attempt there may succeed.
    """

    targets: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()


NO_PREVIOUS_ATTEMPTS = PreviousAttempts()


@dataclass(frozen=True, slots=True)
class QueriedTargets:
    """
    The targets of this region to compare, with their coordinators' load reports.

    A target without a load report is assumed to have the wait that this host last
    observed in the region.
    """

    targets: Sequence[TargetState]
    load_reports: Mapping[str, TargetLoadReport]


class ExpectedPace(NamedTuple):
    """
    What is expected of a target for the length of an answer.

    ``factor`` is how much longer it takes than its service. ``pause_s`` is the longest
    time between two events of the answer, ``added_pause_s`` what the pauses of each
    stream there exceed a safe time by because of this prompt, and ``streams`` their
    number. ``is_solid`` means that enough was observed to refuse a request. ``token_s`` is
    the time to read a token, ``limit`` the number of requests that the target handles
    well, 0 if it isn't known. It is a named tuple as one is built for each candidate.
    """

    factor: float
    pause_s: float = 0.0
    added_pause_s: float = 0.0
    streams: int = 0
    is_solid: bool = False
    token_s: float = 0.0
    limit: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """
    The chosen target and its estimate.

    ``first_event_s`` is the time to the first event after all queued work.
    ``queued_work_s`` is the part of it spent on that work, ``tokens_ahead`` the number
    of its tokens and ``slot_wait_s`` the wait for a slot. ``remote_rtt_s`` is the
    round-trip time to the host that sends it, 0 if this one does. ``priority`` is sent to
    the target, unless it is None. ``utilization`` is the share of an engine's slots
    in use, ``slowdown`` the target's slowdown that the estimate includes, and
    ``queue`` the queue that the request waits in. ``pace`` is what is expected of the
    target if its service's paces are used, otherwise None.
    """

    target: TargetState
    first_event_s: float
    cached_tokens: int
    remote_rtt_s: float
    fetch_from: str = ""
    queued_work_s: float = 0.0
    tokens_ahead: int | None = None
    slot_wait_s: float = 0.0
    event_interval_s: float = 0.0
    priority: int | None = None
    utilization: float = 0.0
    slowdown: float = 1.0
    queue: Queue = NO_QUEUE
    pace: ExpectedPace | None = None

    @property
    def expected(self) -> FirstEventEstimate:
        """The estimate to compare with the observed time to the first event."""
        return FirstEventEstimate(self.queue, self.first_event_s, self.slowdown)

    @property
    def is_remote(self) -> bool:
        """Whether another host sends the request, of this region or a remote one."""
        return self.remote_rtt_s > 0.0


@dataclass(frozen=True, slots=True)
class ComparedPlacement:
    """
    A placement that was compared with others, for an explanation of the choice.

    ``cost_s`` is its cost to all callers. A ``last_resort`` is used only if there is no
    other; it has no cost.
    """

    placement: Placement
    cost_s: float | None
    last_resort: bool
