"""
Simulates load on the choice of targets and checks the callers' results.

The load is that of a region at its peak: prompts of 9,000 tokens, 6,000 of which are
shared, for engines that read 100 tokens per ms. One region has three targets and
three hosts and is at its peak; a remote region has two targets and is idle.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from lycheepath.core.placement.choice import choose_target
from lycheepath.core.placement.model import Placement, PlacementContext
from lycheepath.core.placement.outcomes import AttemptOutcome
from lycheepath.core.placement.prompts import PromptCache
from lycheepath.core.serving.requests import Prompt, PromptPart
from tests.core.placement.test_choice import make_entry, make_registry, make_request

if TYPE_CHECKING:
    from lycheepath.core.placement.registry import TargetRegistry

TOKEN_S = 1e-5
SUBJECTS = 300
SECONDS = 30.0
REMOTE_RTT_S = 0.16


@dataclass
class Engine:
    """An engine that reads prompts one after the other and caches their parts."""

    free_at: float = 0.0
    cache: PromptCache = field(default_factory=lambda: PromptCache(400_000))

    def read(self, prompt: Prompt, now: float) -> float:
        """Return when the prompt is read."""
        tokens = prompt.tokens - self.cache.count_cached(prompt.parts)
        self.cache.use(prompt.parts)
        self.free_at = max(self.free_at, now) + tokens * TOKEN_S
        return self.free_at


def play(per_s: float, alone: bool) -> Counter[str]:
    """Return how many requests were on time, late and refused."""
    draw = random.Random(5)
    entries = [make_entry(n, "east-a" if n < 3 else "west-a") for n in range(5)]
    hosts = [make_registry(*entries) for _ in range(3)]
    context = PlacementContext("east", {} if alone else {"west": REMOTE_RTT_S}, {})
    engines = {entry.id: Engine() for entry in entries}
    ends: list[tuple[float, int, TargetRegistry]] = []
    results: Counter[str] = Counter()
    now = 0.0
    key = 0
    while now < SECONDS:
        now += draw.expovariate(per_s)
        key += 1
        while ends and ends[0][0] <= now:
            at, ended, registry = heapq.heappop(ends)
            registry.record_events(ended, 1, at)
            registry.record_end(ended, AttemptOutcome.COMPLETED, at)
        subject = f"subject-{draw.randrange(SUBJECTS)}"
        prompt = Prompt(
            "m",
            9000,
            50,
            (PromptPart(subject, 6000), PromptPart(f"own-{key}", 3000)),
            50,
        )
        _exchange_loads(hosts, now)
        registry = draw.choice(hosts)
        placed = choose_target(registry, make_request(prompt), context, now, draw)
        if not isinstance(placed, Placement):
            results["refused"] += 1
            continue
        registry.record_start(key, placed.target, 0, 9000 - placed.cached_tokens, now)
        for host in hosts:
            host.record_prompt_parts(host.targets[placed.target.entry.id], prompt.parts)
        first_at = (
            engines[placed.target.entry.id].read(prompt, now) + placed.remote_rtt_s
        )
        heapq.heappush(ends, (first_at, key, registry))
        results["in aim" if first_at - now <= 0.8 else "late"] += 1
    return results


def _exchange_loads(hosts: list[TargetRegistry], now: float) -> None:
    for index, host in enumerate(hosts):
        for other, registry in enumerate(hosts):
            if other != index:
                for name, target in host.targets.items():
                    registry.apply_peer_load(
                        f"host-{index}", name, host.local_load(target), now
                    )


@pytest.mark.parametrize("per_s", [20.0, 35.0])
def test_peak_load_meets_the_objective_with_a_remote_region(
    per_s: float,
) -> None:
    results = play(per_s, alone=False)
    assert results["in aim"] >= 0.97 * results.total()


def test_region_alone_at_twice_its_capacity_serves_admitted_requests_on_time() -> None:
    results = play(90.0, alone=True)
    served = results["in aim"] + results["late"]
    assert results["in aim"] >= 0.9 * served
    assert results["in aim"] >= 0.4 * results.total()
