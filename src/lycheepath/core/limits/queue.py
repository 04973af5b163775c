"""
The queue of one host for requests whose targets are full, fair between teams.

Within a priority, teams are served by start-time fair queueing over tokens: a
team that sends too many requests gets the share of its weight, and the others don't
wait behind it. The queue is bounded in time: a request that would wait past its
deadline or past ``MAX_WAIT_S`` is refused on arrival with a time to retry, and one
whose deadline has passed is returned as expired instead of served. While a team's
oldest request has waited longer than ``CHEAPEST_FIRST_AFTER_S``, its cheapest request
is served first: as the cost counts only tokens that no cache holds, conversations
in progress are completed and the caches of the runners stay useful. For the same
reason a new request to a full queue evicts a much more expensive request of its own
team.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_WAIT_S = 1.0
CHEAPEST_FIRST_AFTER_S = 0.5
RATE_WINDOW_S = 0.5
EVICTION_FACTOR = 1.25
MIN_RETRY_AFTER_S = 0.5
PRIORITIES = 10
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request; times are in seconds of the monotonic clock."""

    id: str
    team: str
    cost_tokens: float
    priority: int
    deadline: float
    queued_at: float


@dataclass(slots=True)
class _TeamQueue:
    requests: deque[QueuedRequest] = field(default_factory=deque)
    finish_tag: float = 0.0


class FairQueue:
    """State: one queue per team and priority, and the virtual time."""

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self._weights = weights or {}
        self._queues: tuple[dict[str, _TeamQueue], ...] = tuple(
            {} for _ in range(PRIORITIES)
        )
        self._virtual_time = 0.0
        self._evicted: list[QueuedRequest] = []
        self._queued_tokens = [0.0] * PRIORITIES
        self._tokens_per_s = 0.0
        self._served_tokens = 0.0
        self._rate_since = float("-inf")

    def __len__(self) -> int:
        """Return the number of queued requests and of evicted ones to answer."""
        queues = (queue for queues in self._queues for queue in queues.values())
        return sum(len(queue.requests) for queue in queues) + len(self._evicted)

    def push(self, request: QueuedRequest, now: float) -> QueuedRequest | Absent:
        """Queue a request, or refuse it at once with a time to retry."""
        wait = self.estimate_wait(request.team, request.priority)
        if wait > MAX_WAIT_S or now + wait > request.deadline:
            if self._evict_costlier(request):
                return self._append(request)
            after = max(MIN_RETRY_AFTER_S, wait - MAX_WAIT_S)
            return Absent(Reason.OVERLOADED, after, "the queue is full")
        return self._append(request)

    def pop(self, now: float) -> tuple[QueuedRequest | None, tuple[QueuedRequest, ...]]:
        """
        Return the next request, and the requests that expired or were evicted.

        The expired and evicted ones must be answered at once. The next one must be
        passed to ``record_dispatch`` or to ``requeue``.
        """
        expired = self._remove_expired(now)
        for priority, queues in enumerate(self._queues):
            request = self._pop_queue(queues, now)
            if request is not None:
                self._queued_tokens[priority] -= request.cost_tokens
                return request, expired
        return None, expired

    def record_dispatch(self, request: QueuedRequest, now: float) -> None:
        """Record that a popped request was sent to a target."""
        elapsed = now - self._rate_since
        self._served_tokens += request.cost_tokens
        if elapsed < RATE_WINDOW_S:
            return
        if elapsed < RATE_WINDOW_S + MAX_WAIT_S:
            self._tokens_per_s = self._served_tokens / elapsed
        self._rate_since = now
        self._served_tokens = 0.0

    def requeue(self, request: QueuedRequest) -> None:
        """Put a popped request that got no target at the front of its queue."""
        queues = self._queues[request.priority]
        queue = queues.setdefault(request.team, _TeamQueue())
        weight = self._weights.get(request.team, DEFAULT_WEIGHT)
        queue.finish_tag -= request.cost_tokens / weight
        queue.requests.appendleft(request)
        self._queued_tokens[request.priority] += request.cost_tokens

    def cancel(self, request_id: str) -> bool:
        """Remove a request whose caller disconnected; return whether it was queued."""
        for priority, queues in enumerate(self._queues):
            for queue in queues.values():
                for request in queue.requests:
                    if request.id == request_id:
                        queue.requests.remove(request)
                        self._queued_tokens[priority] -= request.cost_tokens
                        return True
        return False

    def estimate_wait(self, team: str, priority: int) -> float:
        """Return the seconds that a new request of a team is expected to wait."""
        if self._tokens_per_s <= 0.0:
            return 0.0
        higher_priority = sum(self._queued_tokens[:priority])
        queues = self._queues[priority]
        queue = queues.get(team)
        team_tokens = sum(item.cost_tokens for item in queue.requests) if queue else 0.0
        others = self._queued_tokens[priority] - team_tokens
        competing = max(1, sum(bool(item.requests) for item in queues.values()))
        ahead = higher_priority + min(others, team_tokens * competing) + team_tokens
        return ahead / self._tokens_per_s

    def _append(self, request: QueuedRequest) -> QueuedRequest:
        queues = self._queues[request.priority]
        queue = queues.setdefault(request.team, _TeamQueue())
        if not queue.requests:
            queue.finish_tag = max(queue.finish_tag, self._virtual_time)
        queue.requests.append(request)
        self._queued_tokens[request.priority] += request.cost_tokens
        return request

    def _evict_costlier(self, request: QueuedRequest) -> bool:
        """Evict a request of the same team that is much more expensive."""
        queue = self._queues[request.priority].get(request.team)
        if queue is None or not queue.requests:
            return False
        costliest = max(queue.requests, key=lambda item: item.cost_tokens)
        if costliest.cost_tokens <= EVICTION_FACTOR * request.cost_tokens:
            return False
        queue.requests.remove(costliest)
        self._queued_tokens[request.priority] -= costliest.cost_tokens
        self._evicted.append(costliest)
        return True

    def _pop_queue(
        self, queues: dict[str, _TeamQueue], now: float
    ) -> QueuedRequest | None:
        busy = [
            (queue.finish_tag, team) for team, queue in queues.items() if queue.requests
        ]
        if not busy:
            return None
        tag, team = min(busy)
        queue = queues[team]
        request = queue.requests[0]
        if now - request.queued_at > CHEAPEST_FIRST_AFTER_S:
            request = min(queue.requests, key=lambda item: item.cost_tokens)
        queue.requests.remove(request)
        self._virtual_time = max(self._virtual_time, tag)
        weight = self._weights.get(team, DEFAULT_WEIGHT)
        queue.finish_tag = tag + request.cost_tokens / weight
        if not queue.requests and queue.finish_tag <= self._virtual_time:
            del queues[team]
        return request

    def _remove_expired(self, now: float) -> tuple[QueuedRequest, ...]:
        expired, self._evicted = self._evicted, []
        for priority, queues in enumerate(self._queues):
            for team in list(queues):
                queue = queues[team]
                timed_out = [item for item in queue.requests if _has_expired(item, now)]
                for item in timed_out:
                    queue.requests.remove(item)
                    self._queued_tokens[priority] -= item.cost_tokens
                expired.extend(timed_out)
                if not queue.requests and queue.finish_tag <= self._virtual_time:
                    del queues[team]
        return tuple(expired)


def _has_expired(request: QueuedRequest, now: float) -> bool:
    return now >= request.deadline or now - request.queued_at > MAX_WAIT_S
