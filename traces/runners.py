"""
A queue model of a runner: slots, serial prefill, decode, LRU prefix cache.

It stands for no engine in particular. Prompts are prefilled one after the
other at a token rate, streams decode side by side, and a request beyond the
slots waits by priority.
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

RESTART_S = 5.0
ERROR_S = 0.02


class Loop:
    """State: the simulated clock and what is due."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now if that has passed."""
        self._count += 1
        heapq.heappush(self._due, (max(at, self.now), self._count, action))

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.call_at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Run what is due until a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()


@dataclass(slots=True)
class Work:
    """State: one attempt at a runner, with what to call on its events."""

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

    def tokens_spent(self, now: float) -> float:
        """Return the tokens prefilled and decoded for this attempt so far."""
        if self.decode_started < 0.0:
            return self.prefilled
        share = min(1.0, (now - self.decode_started) / self.decode_s)
        return self.prefilled + share * self.output_tokens


@dataclass(slots=True)
class Runner:
    """State: one runner."""

    target: Target
    region: str
    loop: Loop
    alive: bool = True
    slow: float = 1.0
    erring: bool = False
    crashes: int = 0
    prefilled: int = 0
    prefill_free_at: float = 0.0
    running: list[Work] = field(default_factory=list)
    waiting: list[tuple[int, int, Work]] = field(default_factory=list)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    sequence: int = 0

    def submit(self, work: Work) -> None:
        """Take an attempt; a dead runner must not be called."""
        if work.poison:
            self.running.append(work)
            self.crash()
            self.loop.call_later(RESTART_S, self.restart)
            return
        if self.erring:
            work.ended = True
            self.loop.call_later(ERROR_S, lambda: work.on_failure(FailureKind.ERROR))
            return
        self.sequence += 1
        heapq.heappush(self.waiting, (work.priority, self.sequence, work))
        self._fill()

    def cancel(self, work: Work) -> None:
        """Free what an attempt uses."""
        if work.ended:
            return
        work.ended = True
        if work in self.running:
            self.running.remove(work)
            self._fill()

    def crash(self) -> None:
        """Lose all attempts and the cache."""
        self.alive = False
        self.crashes += 1
        lost = [*self.running, *(item[2] for item in self.waiting)]
        self.running.clear()
        self.waiting.clear()
        self.cache.clear()
        for work in lost:
            if not work.ended:
                work.ended = True
                work.on_failure(FailureKind.DIED)

    def restart(self) -> None:
        """Come back with a cold cache."""
        self.alive = True
        self.prefill_free_at = self.loop.now

    def report(self) -> LoadReport:
        """Return a load report."""
        queued = sum(not item[2].ended for item in self.waiting)
        free = self.target.kv_tokens - len(self.cache) * BLOCK_TOKENS
        return LoadReport(len(self.running), queued, max(0, free))

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.target.slots:
            work = heapq.heappop(self.waiting)[2]
            if not work.ended:
                self._start(work)

    def _start(self, work: Work) -> None:
        now = self.loop.now
        self.running.append(work)
        cached = self._look_up(work.blocks)
        work.prefilled = work.prompt_tokens - cached
        self.prefilled += work.prefilled
        rate = self.target.prefill_tokens_per_s / self.slow
        self.prefill_free_at = max(now, self.prefill_free_at) + work.prefilled / rate
        self.loop.call_at(self.prefill_free_at, lambda: self._answer(work, cached))

    def _answer(self, work: Work, cached: int) -> None:
        if work.ended:
            return
        self._store(work.blocks)
        work.on_first_token(cached)
        work.decode_started = self.loop.now
        work.decode_s = work.output_tokens / self.target.decode_tokens_per_s * self.slow
        self.loop.call_later(work.decode_s, lambda: self._finish(work))

    def _finish(self, work: Work) -> None:
        if work.ended:
            return
        work.ended = True
        self.running.remove(work)
        work.on_finish()
        self._fill()

    def _look_up(self, blocks: Sequence[int]) -> int:
        depth = 0
        for block in blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            depth += 1
        return depth * BLOCK_TOKENS

    def _store(self, blocks: Sequence[int]) -> None:
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) * BLOCK_TOKENS > self.target.kv_tokens:
            self.cache.popitem(last=False)
