"""
Decides which requests a draining host still admits.

Its in-flight requests are cut off when it ends, so it refuses at once any request
that would not be complete by then. In the first seconds, callers can't know that the
host is draining, and an answer that will probably be complete is worth more to them
than a retry. Later requests are admitted with a safety factor::

    placed = admit_while_draining(request, placed, left_s=4.0, draining_s=3.5)

An estimate is no bound. The answer to a later request that could outlast this host isn't
begun before it is whole. Streams, whose callers would wait for the first event until then,
are left to another host of the region if one accepts callers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..catalog.model import RouteKind
from ..reasons import Absent, Reason
from .refusals import MIN_RETRY_AFTER_S
from .silence import SOUND_SILENCE_S

if TYPE_CHECKING:
    from ..serving.requests import Prompt
    from .model import Placement, PlacementRequest
    from .registry import TargetState

# Time in seconds within which callers learn from the directory that a host is draining:
# the longest time that they cache an answer, plus what is in transit then.
DRAIN_NOTICE_S = 3.0
# Safety factor of estimates; answers seldom take longer by more than this.
SLOW_FACTOR = 1.5
# Time kept free before SIGKILL for writing the last log lines.
FINAL_LOG_S = 0.5
# Time kept free before that for the final answers to requests that didn't end in time.
FINAL_ANSWERS_S = 0.3
# Last share of the grace, the only one in which answers may be cut off.
FINAL_SHARE = 1 / 6


@dataclass(frozen=True, slots=True)
class DrainEnds:
    """
    When a drain ends, on the loop's clock, in seconds.

    Requests without an answer get a failure at ``fails_at``. Answers that have begun
    can't be replaced by one, and are cut off at ``cuts_at``.
    """

    fails_at: float
    cuts_at: float


def plan_ends(signalled_at: float, noticed_at: float, grace_s: float) -> DrainEnds:
    """
    Return when a drain ends whose signal came between two times.

    A failure has to be out before SIGKILL, which counts from the earlier time. Answers
    aren't cut off before the last share of the grace, which counts from the later one,
    though a process that was held up for longer is killed first::

        plan_ends(9.0, 10.0, grace_s=8.0)  # fails_at 16.2, cuts_at 16.67
    """
    cuts_at = signalled_at + grace_s - FINAL_LOG_S
    fails_at = cuts_at - FINAL_ANSWERS_S
    earliest_cut_at = noticed_at + (1.0 - FINAL_SHARE) * grace_s
    return DrainEnds(fails_at, max(cuts_at, earliest_cut_at))


def admit_while_draining(
    request: PlacementRequest,
    placed: Placement,
    left_s: float,
    draining_s: float,
    longest_wait_s: float = 0.0,
    others_serve: bool = False,
) -> Placement | Absent:
    """
    Return a placement, or a refusal if its answer would be cut off.

    ``left_s`` is the time until the host ends, ``draining_s`` the time since it began
    to drain, ``longest_wait_s`` how long the target has let another request wait: the
    estimate may be of a time when it was faster. ``others_serve`` says that another host
    of this region accepts callers. A late stream has to end in time though its target falls
    silent for a moment.
    """
    is_stream = request.route.kind is RouteKind.STREAM
    must_be_whole = needs_whole_answer(request, left_s, draining_s)
    if must_be_whole and is_stream and others_serve and not request.already_sent:
        detail = f"another host can finish a stream, this one leaves in {left_s:.1f} s"
        return Absent(Reason.DRAINING, MIN_RETRY_AFTER_S, detail)
    ends_s = max(estimate_end_s(request.prompt, placed), longest_wait_s)
    if draining_s > DRAIN_NOTICE_S:
        silent_s = SOUND_SILENCE_S if is_stream else 0.0
        ends_s = max(SLOW_FACTOR * ends_s, ends_s + silent_s)
    if ends_s <= left_s:
        return placed
    detail = f"the answer takes {ends_s:.1f} s, this host leaves in {left_s:.1f} s"
    return Absent(Reason.DRAINING, MIN_RETRY_AFTER_S, detail)


def needs_whole_answer(
    request: PlacementRequest,
    left_s: float,
    draining_s: float,
    relayed: bool = False,
    others_resume: bool = False,
) -> bool:
    """
    Whether an answer may be begun only once it is whole.

    A request whose deadline comes before this host's end can't be cut off by that. Hosts
    that relay requests hear of the drain at once; what may be resumed they continue, if
    ``others_resume``: other hosts that are ready serve its service.
    """
    if request.time_left_s <= left_s:
        return False
    resumed = request.route.resumable and others_resume
    return draining_s > DRAIN_NOTICE_S or (relayed and not resumed)


def find_longest_wait_s(target: TargetState, now: float) -> float:
    """Return how long this host's oldest request without an event waits at a target."""
    request = target.find_oldest_waiting(relayed=True)
    return 0.0 if request is None else now - request.sent_at


def estimate_end_s(prompt: Prompt | None, placed: Placement) -> float:
    """Return the time until an answer of the maximum length ends."""
    service = placed.target.service
    if prompt is None or service is None or service.engine is None:
        return placed.first_event_s
    events = prompt.max_answer_tokens / service.engine.event_tokens
    return placed.first_event_s + events * placed.event_interval_s
