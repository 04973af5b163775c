"""
Continuous batching for the engine stand-in.

Requests wait by priority, then by arrival, for a slot. One at a time is
prefilled, which yields its first token; then it joins the batch, and each
decode step gives every member one token. A step lasts longer the fuller the
batch is.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from math import inf
from typing import TYPE_CHECKING

import trio

from .tokens import BLOCK_TOKENS, digest_blocks, generate_tokens, split_prompt

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .cache import PrefixCache
    from .tokens import Message

# Relative increase of the step time when all slots decode.
FULL_BATCH_SLOWDOWN = 0.25


@dataclass(slots=True)
class Speed:
    """Time per decoded token, and prefill throughput."""

    token_ms: float = 20.0
    prefill_tokens_per_s: float = 4000.0


@dataclass(slots=True, eq=False)
class Sequence:
    """One request in the engine; its tokens are read from ``receive``."""

    id: str
    model: str
    messages: list[Message]
    max_tokens: int
    priority: int
    resume_at: int = 0
    cached_tokens: int = 0
    emitted: int = 0
    cancelled: trio.Event = field(default_factory=trio.Event)
    words: list[str] = field(init=False)
    digests: list[str] = field(init=False)
    send: trio.MemorySendChannel[str] = field(init=False)
    receive: trio.MemoryReceiveChannel[str] = field(init=False)
    _tokens: Iterator[str] = field(init=False)

    def __post_init__(self) -> None:
        self.words = split_prompt(self.messages)
        self.digests = digest_blocks(self.model, self.words)
        self.send, self.receive = trio.open_memory_channel[str](inf)
        self._tokens = generate_tokens(
            self.model, self.messages, self.resume_at, self.max_tokens
        )

    @property
    def prompt_tokens(self) -> int:
        """Tokens to prefill when nothing is cached."""
        return len(self.words) + self.resume_at

    @property
    def held_tokens(self) -> int:
        """KV tokens that the sequence holds in addition to cached blocks."""
        return len(self.words) % BLOCK_TOKENS + self.max_tokens

    def emit(self) -> bool:
        """Send the next token; return False once there is none left."""
        token = next(self._tokens, None)
        if token is not None:
            self.send.send_nowait(token)
            self.emitted += 1
        if self.resume_at + self.emitted >= self.max_tokens:
            self.send.close()
            return False
        return True


@dataclass(slots=True)
class Batch:
    """The engine's queue, slots and memory."""

    slots: int
    speed: Speed
    cache: PrefixCache
    on_start: Callable[[Sequence], None] = lambda _: None
    frozen: bool = False
    queue: list[tuple[int, int, Sequence]] = field(default_factory=list)
    prefilling: Sequence | None = None
    decoding: list[Sequence] = field(default_factory=list)
    _arrivals: Iterator[int] = field(default_factory=count)
    _changed: trio.Event = field(default_factory=trio.Event)

    @property
    def running(self) -> int:
        """The number of occupied slots."""
        return len(self.decoding) + (self.prefilling is not None)

    @property
    def free_tokens(self) -> int:
        """KV tokens not held by running sequences; cached blocks count as free."""
        running = [*self.decoding, self.prefilling]
        held = sum(sequence.held_tokens for sequence in running if sequence)
        return max(0, self.cache.capacity_tokens - held)

    def submit(self, sequence: Sequence) -> None:
        """Queue a request."""
        entry = (sequence.priority, next(self._arrivals), sequence)
        heapq.heappush(self.queue, entry)
        self.wake()

    def cancel(self, sequence: Sequence) -> None:
        """Free the slot of a request at once."""
        sequence.cancelled.set()
        sequence.send.close()
        self.queue = [entry for entry in self.queue if entry[2] is not sequence]
        heapq.heapify(self.queue)
        if sequence in self.decoding:
            self.decoding.remove(sequence)
        self.wake()

    def wake(self) -> None:
        """Wake the prefill and decode loops to check the state again."""
        self._changed.set()
        self._changed = trio.Event()

    async def run_prefill(self) -> None:
        """Admit and prefill one request after another."""
        while True:
            sequence = self._admit()
            if sequence is None:
                await self._changed.wait()
                continue
            await self._prefill(sequence)

    async def run_decode(self) -> None:
        """Decode one token per step for every member of the batch."""
        step_at = trio.current_time()
        while True:
            if self.frozen or not self.decoding:
                await self._changed.wait()
                step_at = trio.current_time()
                continue
            step_at = max(step_at + self._step_s(), trio.current_time())
            await trio.sleep_until(step_at)
            if not self.frozen:
                self._step()

    def _admit(self) -> Sequence | None:
        if self.frozen or not self.queue or self.running >= self.slots:
            return None
        sequence = self.queue[0][2]
        if self.running and sequence.held_tokens > self.free_tokens:
            return None
        heapq.heappop(self.queue)
        return sequence

    async def _prefill(self, sequence: Sequence) -> None:
        self.prefilling = sequence
        self.on_start(sequence)
        sequence.cached_tokens = self.cache.count_cached_tokens(sequence.digests)
        uncached = sequence.prompt_tokens - sequence.cached_tokens
        with trio.move_on_after(uncached / self.speed.prefill_tokens_per_s):
            await sequence.cancelled.wait()
        while self.frozen and not sequence.cancelled.is_set():
            await self._changed.wait()
        self.prefilling = None
        if sequence.cancelled.is_set():
            return
        now = trio.current_time()
        self.cache.store(sequence.digests, now)
        if sequence.emit():
            self.decoding.append(sequence)
        self.cache.shrink(self.free_tokens, now)
        self.wake()

    def _step(self) -> None:
        done = [sequence for sequence in self.decoding if not sequence.emit()]
        for sequence in done:
            self.decoding.remove(sequence)
        if done:
            self.wake()

    def _step_s(self) -> float:
        fill = len(self.decoding) / self.slots
        return self.speed.token_ms / 1000 * (1 + FULL_BATCH_SLOWDOWN * fill)
