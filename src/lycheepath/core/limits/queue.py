"""
The queue of one host before its targets, fair between teams.

Within a priority, teams are served by start-time fair queueing over tokens: a
team that floods gets its weight's part, and the others do not wait behind it.
The queue is bounded in time: a request that would wait past its deadline or
past ``MAX_WAIT_S`` is refused when it arrives, with when to come back, and one
whose deadline has passed is handed back instead of served. While a team's
oldest request has waited longer than ``CHEAPEST_AFTER_S``, its cheapest one
goes first: with a cost that counts only what no cache holds, conversations
that are under way are finished and the runners' caches keep their worth. For
the same reason a newcomer to a full queue takes the place of a much dearer
request of its own team.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..reasons import Absent, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_WAIT_S = 1.0
CHEAPEST_AFTER_S = 0.5
RATE_WINDOW_S = 0.5
EVICTION_FACTOR = 1.25
MIN_RETRY_AFTER_S = 0.5
PRIORITIES = 10
DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A queued request; times in seconds of the monotonic clock."""

    id: str
    team: str
    cost_tokens: float
    priority: int
    deadline: float
    queued_at: float


@dataclass(slots=True)
class _Line:
    requests: deque[QueuedRequest] = field(default_factory=deque)
    finish_tag: float = 0.0


class FairQueue:
    """State: the lines of the teams for each priority and the virtual time."""

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self._weights = weights or {}
        self._lines: tuple[dict[str, _Line], ...] = tuple({} for _ in range(PRIORITIES))
        self._virtual_time = 0.0
        self._evicted: list[QueuedRequest] = []
        self._queued_tokens = [0.0] * PRIORITIES
        self._tokens_per_s = 0.0
        self._served_tokens = 0.0
        self._rate_since = float("-inf")

    def __len__(self) -> int:
        """Return how many requests wait, or were evicted and need an answer."""
        lines = (line for lines in self._lines for line in lines.values())
        return sum(len(line.requests) for line in lines) + len(self._evicted)

    def push(self, waiting: QueuedRequest, now: float) -> QueuedRequest | Absent:
        """Queue a request, or refuse it at once with when to come back."""
        wait = self.estimate_wait(waiting.team, waiting.priority)
        if wait > MAX_WAIT_S or now + wait > waiting.deadline:
            if self._evict_dearer(waiting):
                return self._append(waiting)
            after = max(MIN_RETRY_AFTER_S, wait - MAX_WAIT_S)
            return Absent(Reason.OVERLOADED, after, "the queue is full")
        return self._append(waiting)

    def pop(self, now: float) -> tuple[QueuedRequest | None, tuple[QueuedRequest, ...]]:
        """
        Return the next request and those that expired or were evicted.

        These get their final answer from the host at once. The
        next one must be given to ``confirm`` or to ``put_back``.
        """
        expired = self._drop_expired(now)
        for priority, lines in enumerate(self._lines):
            waiting = self._pop_line(lines, now)
            if waiting is not None:
                self._queued_tokens[priority] -= waiting.cost_tokens
                return waiting, expired
        return None, expired

    def record_dispatch(self, waiting: QueuedRequest, now: float) -> None:
        """Record that a popped request went to a target."""
        elapsed = now - self._rate_since
        self._served_tokens += waiting.cost_tokens
        if elapsed < RATE_WINDOW_S:
            return
        if elapsed < RATE_WINDOW_S + MAX_WAIT_S:
            self._tokens_per_s = self._served_tokens / elapsed
        self._rate_since = now
        self._served_tokens = 0.0

    def requeue(self, waiting: QueuedRequest) -> None:
        """Return a popped request that no target took to the head of its line."""
        lines = self._lines[waiting.priority]
        line = lines.setdefault(waiting.team, _Line())
        weight = self._weights.get(waiting.team, DEFAULT_WEIGHT)
        line.finish_tag -= waiting.cost_tokens / weight
        line.requests.appendleft(waiting)
        self._queued_tokens[waiting.priority] += waiting.cost_tokens

    def cancel(self, request_id: str) -> bool:
        """Remove a request whose caller hung up; tell whether it was queued."""
        for priority, lines in enumerate(self._lines):
            for line in lines.values():
                for waiting in line.requests:
                    if waiting.id == request_id:
                        line.requests.remove(waiting)
                        self._queued_tokens[priority] -= waiting.cost_tokens
                        return True
        return False

    def estimate_wait(self, team: str, priority: int) -> float:
        """Return the seconds that a new request of a team would wait."""
        if self._tokens_per_s <= 0.0:
            return 0.0
        urgent = sum(self._queued_tokens[:priority])
        lines = self._lines[priority]
        line = lines.get(team)
        own = sum(item.cost_tokens for item in line.requests) if line else 0.0
        others = self._queued_tokens[priority] - own
        competing = max(1, sum(bool(item.requests) for item in lines.values()))
        ahead = urgent + min(others, own * competing) + own
        return ahead / self._tokens_per_s

    def _append(self, waiting: QueuedRequest) -> QueuedRequest:
        lines = self._lines[waiting.priority]
        line = lines.setdefault(waiting.team, _Line())
        if not line.requests:
            line.finish_tag = max(line.finish_tag, self._virtual_time)
        line.requests.append(waiting)
        self._queued_tokens[waiting.priority] += waiting.cost_tokens
        return waiting

    def _evict_dearer(self, waiting: QueuedRequest) -> bool:
        """Make room for a newcomer that is much cheaper than a teammate."""
        line = self._lines[waiting.priority].get(waiting.team)
        if line is None or not line.requests:
            return False
        dearest = max(line.requests, key=lambda item: item.cost_tokens)
        if dearest.cost_tokens <= EVICTION_FACTOR * waiting.cost_tokens:
            return False
        line.requests.remove(dearest)
        self._queued_tokens[waiting.priority] -= dearest.cost_tokens
        self._evicted.append(dearest)
        return True

    def _pop_line(self, lines: dict[str, _Line], now: float) -> QueuedRequest | None:
        busy = [
            (line.finish_tag, team) for team, line in lines.items() if line.requests
        ]
        if not busy:
            return None
        tag, team = min(busy)
        line = lines[team]
        waiting = line.requests[0]
        if now - waiting.queued_at > CHEAPEST_AFTER_S:
            waiting = min(line.requests, key=lambda item: item.cost_tokens)
        line.requests.remove(waiting)
        self._virtual_time = max(self._virtual_time, tag)
        weight = self._weights.get(team, DEFAULT_WEIGHT)
        line.finish_tag = tag + waiting.cost_tokens / weight
        if not line.requests and line.finish_tag <= self._virtual_time:
            del lines[team]
        return waiting

    def _drop_expired(self, now: float) -> tuple[QueuedRequest, ...]:
        expired, self._evicted = self._evicted, []
        for priority, lines in enumerate(self._lines):
            for team in list(lines):
                line = lines[team]
                late = [item for item in line.requests if _has_expired(item, now)]
                for item in late:
                    line.requests.remove(item)
                    self._queued_tokens[priority] -= item.cost_tokens
                expired.extend(late)
                if not line.requests and line.finish_tag <= self._virtual_time:
                    del lines[team]
        return tuple(expired)


def _has_expired(waiting: QueuedRequest, now: float) -> bool:
    return now >= waiting.deadline or now - waiting.queued_at > MAX_WAIT_S
