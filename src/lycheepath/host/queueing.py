"""
The queue of requests on this host for which all targets are full.

The queue determines the next request. It is served whenever a request ends or a
load report arrives, and every ``PASS_INTERVAL_S`` while requests wait.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from ..core.limits.queue import MIN_RETRY_AFTER_S, FairQueue, QueuedRequest
from ..core.reasons import Absent, Reason
from ..core.routing.choice import Choice

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.timers import Timers

PASS_INTERVAL_S = 0.1


@dataclass(slots=True)
class _Pending:
    reserve: Callable[[], Choice | Absent]
    decided: trio.Event = field(default_factory=trio.Event)
    outcome: Choice | Absent | None = None


class TargetQueue:
    """The requests of one host that are waiting for a target."""

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._pass_scheduled = False
        self._queue = FairQueue()
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    async def wait(
        self,
        queued: QueuedRequest,
        reserve: Callable[[], Choice | Absent],
        release: Callable[[], None],
    ) -> Choice | Absent:
        """
        Wait until ``reserve`` returns a target, or return the reason for none.

        ``reserve`` reserves the target that it returns; ``release`` frees it
        if the caller disconnects at that moment.
        """
        refusal = self._queue.push(queued, queued.queued_at)
        if isinstance(refusal, Absent):
            return refusal
        pending = _Pending(reserve)
        self._pending[queued.id] = pending
        self._schedule_pass()
        try:
            await pending.decided.wait()
        except trio.Cancelled:
            self._queue.cancel(queued.id)
            if isinstance(pending.outcome, Choice):
                release()
            raise
        finally:
            self._pending.pop(queued.id, None)
        assert pending.outcome is not None
        return pending.outcome

    def serve(self, now: float) -> None:
        """Assign targets to waiting requests in queue order, while any are free."""
        while len(self._queue):
            queued, expired = self._queue.pop(now)
            for expired_request in expired:
                detail = "no runner became free in time"
                refusal = Absent(Reason.OVERLOADED, MIN_RETRY_AFTER_S, detail)
                self._resolve(expired_request, refusal)
            if queued is None:
                return
            outcome = self._pending[queued.id].reserve()
            if isinstance(outcome, Absent) and outcome.reason is Reason.OVERLOADED:
                self._queue.requeue(queued)
                return
            self._queue.record_dispatch(queued, now)
            self._resolve(queued, outcome)

    def _schedule_pass(self) -> None:
        """Schedule the next pass over the queue, unless one is scheduled."""
        if not self._pass_scheduled:
            self._pass_scheduled = True
            self._timers.once("queue", PASS_INTERVAL_S, self._run_scheduled_pass)

    def _run_scheduled_pass(self, now: float) -> None:
        self._pass_scheduled = False
        self.serve(now)
        if len(self._queue):
            self._schedule_pass()

    def _resolve(self, queued: QueuedRequest, outcome: Choice | Absent) -> None:
        pending = self._pending[queued.id]
        pending.outcome = outcome
        pending.decided.set()
