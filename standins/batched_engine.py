"""
A model engine in simulated time: slots, batching, chunked prefill, preemption.

It runs in steps. Each step prefills some prompt tokens of requests that hold a slot
and decodes one token for every other running request; it takes longer the more tokens
it prefills and the more requests run. Waiting requests are admitted to slots by
priority (0 is the highest), then by arrival. A request of higher priority preempts
the newest one of the lowest priority, which is queued again and prefills its prompt
and its emitted tokens anew. Each event of the stream holds ``event_tokens`` tokens.
Times are in seconds::

    engine = BatchedEngine(EngineShape(slots=16))
    generation = Generation("r1", priority=0, unread_tokens=2890, answer_tokens=49)
    engine.submit(generation, now=0.0)
    engine.advance(0.5)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count


@dataclass(frozen=True, slots=True)
class EngineShape:
    """
    The speed and size of an engine; the defaults are the large deployment's.

    A step takes ``step_s``, plus ``slot_step_s`` for each running request, plus the
    time to prefill up to ``chunk_tokens`` tokens at ``tokens_per_s``.
    ``first_token_delay_s`` passes between the end of a prefill and the first decode.
    ``queue`` bounds the waiting requests.
    """

    slots: int = 16
    queue: int = 33
    step_s: float = 0.00341
    slot_step_s: float = 0.000097
    tokens_per_s: float = 112_000.0
    first_token_delay_s: float = 0.031
    chunk_tokens: int = 2048
    event_tokens: int = 7


@dataclass(slots=True, eq=False)
class Generation:
    """One request: ``unread_tokens`` to prefill and ``answer_tokens`` to decode."""

    id: str
    priority: int
    unread_tokens: int
    answer_tokens: int
    prompt_tokens: int = 0
    arrived_at: float = 0.0
    first_at: float | None = None
    event_at: float = 0.0
    longest_gap_s: float = 0.0
    emitted_tokens: int = 0
    ended_at: float | None = None
    preempted: int = 0
    order: int = 0
    ready_at: float = 0.0


@dataclass(slots=True)
class BatchedEngine:
    """
    State: waiting and running requests; ``at`` is the simulated time reached.

    ``spells`` are times, in order, at which other programs begin to slow the engine's
    machine for ``spell_s`` by the factor ``spell_slowness``.
    """

    shape: EngineShape = field(default_factory=EngineShape)
    slowness: float = 1.0
    waiting: list[Generation] = field(default_factory=list)
    running: list[Generation] = field(default_factory=list)
    at: float = 0.0
    spells: list[float] = field(default_factory=list)
    spell_s: float = 0.1
    spell_slowness: float = 2.5
    firsts: list[Generation] = field(default_factory=list)
    events: list[Generation] = field(default_factory=list)
    ends: list[Generation] = field(default_factory=list)
    _orders: count[int] = field(default_factory=count)

    def submit(self, generation: Generation, now: float) -> bool:
        """Queue a request; return False if the queue is full."""
        self.advance(now)
        if len(self.waiting) >= self.shape.queue:
            return False
        generation.arrived_at = now
        generation.order = next(self._orders)
        generation.prompt_tokens = generation.prompt_tokens or generation.unread_tokens
        self.waiting.append(generation)
        self.at = max(self.at, now)
        return True

    def advance(self, now: float) -> None:
        """Run all steps that begin before ``now``."""
        while self.at < now and (self.running or self.waiting):
            self._step()
        if not self.running and not self.waiting:
            self.at = max(self.at, now)

    def take_firsts(self) -> list[Generation]:
        """Return the requests whose first event was emitted since the last call."""
        taken, self.firsts = self.firsts, []
        return taken

    def take_events(self) -> list[Generation]:
        """Return the requests of the later events that were emitted since then."""
        taken, self.events = self.events, []
        return taken

    def take_ends(self) -> list[Generation]:
        """Return the requests that have ended since the last call."""
        taken, self.ends = self.ends, []
        return taken

    def _step(self) -> None:
        self._admit()
        shape = self.shape
        budget = shape.chunk_tokens
        prefilled: list[Generation] = []
        decoding = [g for g in self.running if g.unread_tokens == 0]
        for generation in sorted(self.running, key=lambda g: (g.priority, g.order)):
            if generation.unread_tokens and budget:
                taken = min(budget, generation.unread_tokens)
                generation.unread_tokens -= taken
                budget -= taken
                if generation.unread_tokens == 0:
                    prefilled.append(generation)
        read_s = (shape.chunk_tokens - budget) / shape.tokens_per_s
        duration_s = shape.step_s + shape.slot_step_s * len(self.running) + read_s
        self.at = self._find_end(duration_s * self.slowness)
        for generation in prefilled:
            generation.ready_at = self.at + shape.first_token_delay_s * self.slowness
        for generation in decoding:
            if generation.ready_at <= self.at:
                self._emit_token(generation)

    def _find_end(self, work_s: float) -> float:
        """Return when work that begins now ends, with the spells that fall into it."""
        at = self.at
        while self.spells and self.spells[0] < at + work_s:
            begin, end = self.spells[0], self.spells[0] + self.spell_s
            if end <= at:
                self.spells.pop(0)
                continue
            work_s -= max(0.0, begin - at)
            at = max(at, begin)
            possible_s = (end - at) / self.spell_slowness
            if work_s <= possible_s:
                return at + work_s * self.spell_slowness
            work_s -= possible_s
            at = end
            self.spells.pop(0)
        return at + work_s

    def _admit(self) -> None:
        self.waiting.sort(key=lambda g: (g.priority, g.order))
        while self.waiting:
            candidate = self.waiting[0]
            if len(self.running) >= self.shape.slots:
                lowest = max(self.running, key=lambda g: (g.priority, g.order))
                if lowest.priority <= candidate.priority:
                    return
                self._preempt(lowest)
            self.waiting.remove(candidate)
            self.running.append(candidate)

    def _preempt(self, generation: Generation) -> None:
        self.running.remove(generation)
        generation.unread_tokens = generation.prompt_tokens + generation.emitted_tokens
        generation.preempted += 1
        self.waiting.append(generation)
        self.waiting.sort(key=lambda g: (g.priority, g.order))

    def _emit_token(self, generation: Generation) -> None:
        generation.emitted_tokens += 1
        complete = generation.emitted_tokens >= generation.answer_tokens
        if generation.emitted_tokens % self.shape.event_tokens == 0 or complete:
            if generation.first_at is None:
                generation.first_at = self.at
                self.firsts.append(generation)
            else:
                gap_s = self.at - generation.event_at
                generation.longest_gap_s = max(generation.longest_gap_s, gap_s)
                self.events.append(generation)
            generation.event_at = self.at
        if complete:
            generation.ended_at = self.at
            self.running.remove(generation)
            self.ends.append(generation)
