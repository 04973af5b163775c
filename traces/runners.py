"""
A queue model of a runner: slots, serial prefill, decode, LRU prefix cache.

It does not model a particular engine. Prompts are prefilled one at a time at a
fixed token rate, streams are decoded in parallel, and requests that exceed the
slots wait in order of priority.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lycheepath.core.routing.reports import FailureKind, LoadReport
from lycheepath.core.routing.request import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lycheepath.core.environment.model import Target

RESTART_DELAY_S = 5.0
ERROR_DELAY_S = 0.02


class EventLoop:
    """A discrete-event loop: the simulated clock and the scheduled actions."""

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time, or now if that has passed."""
        self._count += 1
        heapq.heappush(self._scheduled, (max(at, self.now), self._count, action))

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in simulated seconds."""
        self.call_at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Run the actions scheduled up to a simulated time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, action = heapq.heappop(self._scheduled)
            action()


@dataclass(slots=True)
class RunnerAttempt:
    """One attempt of a request at a runner, with the callbacks for its events."""

    blocks: Sequence[int]
    prompt_tokens: int
    output_tokens: int
    priority: int
    poison: bool
    on_first_token: Callable[[int], None]
    on_finish: Callable[[], None]
    on_failure: Callable[[FailureKind], None]
    prefilled: int = 0
    decode_started: float = -1.0
    decode_s: float = 0.0
    ended: bool = False
    running: bool = False

    def count_spent_tokens(self, now: float) -> float:
        """Return the tokens prefilled and decoded for this attempt so far."""
        if self.decode_started < 0.0:
            return self.prefilled
        share = min(1.0, (now - self.decode_started) / self.decode_s)
        return self.prefilled + share * self.output_tokens


@dataclass(slots=True)
class Runner:
    """The state of one simulated runner."""

    target: Target
    region: str
    loop: EventLoop
    alive: bool = True
    slowdown: float = 1.0
    returns_errors: bool = False
    crashes: int = 0
    prefilled: int = 0
    prefill_free_at: float = 0.0
    running: list[RunnerAttempt] = field(default_factory=list)
    waiting: list[tuple[int, int, RunnerAttempt]] = field(default_factory=list)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sequence: int = 0

    def submit(self, attempt: RunnerAttempt) -> None:
        """Start or queue an attempt; the runner must be alive."""
        if attempt.poison:
            self.running.append(attempt)
            self.crash()
            self.loop.call_later(RESTART_DELAY_S, self.restart)
            return
        if self.returns_errors:
            attempt.ended = True
            self.loop.call_later(
                ERROR_DELAY_S, lambda: attempt.on_failure(FailureKind.ERROR)
            )
            return
        self.sequence += 1
        heapq.heappush(self.waiting, (attempt.priority, self.sequence, attempt))
        self._fill_slots()

    def cancel(self, attempt: RunnerAttempt) -> None:
        """Cancel an attempt and free its slot."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt in self.running:
            self.running.remove(attempt)
            self._fill_slots()

    def crash(self) -> None:
        """Fail all attempts and clear the cache."""
        self.alive = False
        self.crashes += 1
        failed = [*self.running, *(item[2] for item in self.waiting)]
        self.running.clear()
        self.waiting.clear()
        self.cache.clear()
        for attempt in failed:
            if not attempt.ended:
                attempt.ended = True
                attempt.on_failure(FailureKind.DIED)

    def restart(self) -> None:
        """Restart the runner with an empty cache."""
        self.alive = True
        self.prefill_free_at = self.loop.now

    def report(self) -> LoadReport:
        """Return the load report that the runner sends to the hosts."""
        queued = sum(not item[2].ended for item in self.waiting)
        free = self.target.kv_tokens - len(self.cache) * BLOCK_TOKENS
        return LoadReport(len(self.running), queued, max(0, free))

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self.target.slots:
            attempt = heapq.heappop(self.waiting)[2]
            if not attempt.ended:
                self._start(attempt)

    def _start(self, attempt: RunnerAttempt) -> None:
        now = self.loop.now
        self.running.append(attempt)
        cached = self._count_cached_tokens(attempt.blocks)
        attempt.prefilled = attempt.prompt_tokens - cached
        self.prefilled += attempt.prefilled
        rate = self.target.prefill_tokens_per_s / self.slowdown
        self.prefill_free_at = max(now, self.prefill_free_at) + attempt.prefilled / rate
        self.loop.call_at(
            self.prefill_free_at, lambda: self._emit_first_token(attempt, cached)
        )

    def _emit_first_token(self, attempt: RunnerAttempt, cached: int) -> None:
        if attempt.ended:
            return
        self._store_blocks(attempt.blocks)
        attempt.on_first_token(cached)
        attempt.decode_started = self.loop.now
        attempt.decode_s = (
            attempt.output_tokens / self.target.decode_tokens_per_s * self.slowdown
        )
        self.loop.call_later(attempt.decode_s, lambda: self._finish(attempt))

    def _finish(self, attempt: RunnerAttempt) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self.running.remove(attempt)
        attempt.on_finish()
        self._fill_slots()

    def _count_cached_tokens(self, blocks: Sequence[int]) -> int:
        depth = 0
        for block in blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            depth += 1
        return depth * BLOCK_TOKENS

    def _store_blocks(self, blocks: Sequence[int]) -> None:
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) * BLOCK_TOKENS > self.target.kv_tokens:
            self.cache.popitem(last=False)
