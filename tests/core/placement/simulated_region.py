"""
A region of hosts and engines in played time, on the gateway's own decisions.

Hosts ask keepers and tell them, as ``gateway/keeping`` does, with the delays of a
network; other regions don't exist, so that what is refused here is refused. The mix
is that of the large deployment: drafts with long prompts, most of them shared with
few others, and questions with long answers.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from lycheepath.core.catalog.catalog import Catalog
from lycheepath.core.catalog.changes import Snapshot
from lycheepath.core.catalog.model import (
    CallerLimits,
    Configuration,
    EngineFacts,
    RouteKind,
    Service,
    ServiceShare,
    TargetEntry,
)
from lycheepath.core.placement.choice import (
    choose_target,
    is_conclusive,
    pick_targets_to_query,
)
from lycheepath.core.placement.coordinators import Coordinators
from lycheepath.core.placement.load_reports import make_target_load_report
from lycheepath.core.placement.model import (
    Placement,
    PlacementContext,
    PlacementRequest,
    QueriedTargets,
)
from lycheepath.core.placement.prompts import PromptCache
from lycheepath.core.placement.registry import AttemptOutcome, TargetRegistry
from lycheepath.core.serving.requests import Prompt, PromptPart
from standins.batched_engine import BatchedEngine, EngineShape, Generation
from tests.core.catalog.test_routes import make_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheepath.core.placement.registry import TargetState

POOL = (ServiceShare("pool", 1.0),)
ALONE = PlacementContext("east", {}, {})
STREAM = replace(make_route("/", *POOL), kind=RouteKind.STREAM, gap_aim_s=0.3)
DRAFT = replace(STREAM, prefix="/drafts/", aim_s=0.618, urgency=0, timeout_s=4.0)
QUESTION = replace(STREAM, prefix="/questions/", aim_s=0.608, urgency=1, timeout_s=10.0)
# Of all requests; the rest are drafts.
QUESTIONS = 0.24
SUBJECTS = 2000
# To a keeper and back, and until an end is told.
ASK_S = 0.003
TELL_S = 0.002
GATHER_S = 0.032
# Between two looks at what an engine has sent.
LOOK_S = 0.005
KV_TOKENS = 450_000
# Callers come again once after a refusal, while there is time.
COME_AGAIN = 1


@dataclass(slots=True)
class Caller:
    """One caller's request and what came of it."""

    route: str
    prompt: Prompt
    came_at: float
    counts: bool
    tries: int = 0
    generation: Generation | None = None


class SimulatedRegion:
    """State: the hosts with what they know, the engines, and the callers."""

    def __init__(
        self, hosts: int, engines: int, seed: int, shape: EngineShape | None = None
    ) -> None:
        self.draw = random.Random(seed)
        shape = shape or EngineShape()
        pool = Service(
            "pool", 1300, 2.7, EngineFacts(shape.slots, KV_TOKENS, 7, 1.7e-6)
        )
        entries = [
            TargetEntry(
                f"i-{n}", "pool", f"10.0.0.{n}:80", "a", shape.slots, False, 0.0, 1, 1
            )
            for n in range(engines)
        ]
        configuration = Configuration(
            1, (DRAFT, QUESTION), {"pool": pool}, CallerLimits()
        )
        catalog = Catalog()
        catalog.replace(Snapshot((configuration, *entries), 1), 0.0, False)
        self.names = [f"host-{n}" for n in range(hosts)]
        self.books: dict[str, TargetRegistry] = {}
        self.keepers: dict[str, Coordinators] = {}
        for name in self.names:
            book = self.books[name] = TargetRegistry()
            book.update(catalog, {"a": "east"}, 0.0)
            keepers = self.keepers[name] = Coordinators(name)
            keepers.set_hosts(self.names)
        self.engines = {e.id: BatchedEngine(shape) for e in entries}
        self.caches = {e.id: PromptCache(int(KV_TOKENS * 0.85)) for e in entries}
        self.addresses = {e.address: e.id for e in entries}
        self.under_way: dict[str, tuple[str, str, Caller]] = {}
        self.callers: list[Caller] = []
        self.turned_away = 0
        self.questions = 0
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = count()

    def at(self, when: float, act: Callable[[float], None]) -> None:
        """Have something done at a time."""
        heapq.heappush(self.events, (when, next(self.order), act))

    def run(
        self, rate: Callable[[float], float], seconds: float, filled_s: float = 3.0
    ) -> None:
        """Play callers that come at a rate a second; the first ones don't count."""
        now = 0.0
        while now < seconds:
            now += self.draw.expovariate(max(0.1, rate(now)))
            caller = self.draw_caller(now, now > filled_s)
            self.callers.append(caller)
            self.at(now, partial(self.receive, caller))
        for name in self.engines:
            self.at(0.0, partial(self.look, name))
        while self.events:
            when, _, act = heapq.heappop(self.events)
            if when > seconds + 12.0:
                return
            act(when)

    def draw_caller(self, now: float, counts: bool) -> Caller:
        """Return a caller with a prompt of one of the two kinds."""
        number = len(self.callers)
        if self.draw.random() < QUESTIONS:
            parts = (PromptPart("kind-q", 198), PromptPart(f"own-{number}", 628))
            prompt = Prompt("m", 826, 300, parts, 294)
            return Caller("question", prompt, now, counts)
        subject = int(SUBJECTS * self.draw.random() ** 1.3)
        shared = (
            PromptPart(f"kind-{subject % 4}", 2520),
            PromptPart(f"subject-{subject}", 3780),
            PromptPart(f"own-{number}", 2890),
        )
        return Caller("draft", Prompt("m", 9190, 49, shared, 49), now, counts)

    def receive(self, caller: Caller, now: float) -> None:
        """Ask the keepers for a caller's request at one of the hosts."""
        host = self.draw.choice(self.names)
        book, keepers = self.books[host], self.keepers[host]
        route = DRAFT if caller.route == "draft" else QUESTION
        elapsed_s = 0.0 if caller.tries else now - caller.came_at
        deadline_s = 4.0 if caller.route == "draft" else 10.0
        left_s = deadline_s - (now - caller.came_at)
        wanted = PlacementRequest(route, "pool", caller.prompt, elapsed_s, left_s)
        targets = pick_targets_to_query(book, wanted, ALONE, now, self.draw)
        first = self.query_coordinators(
            targets[:1], keepers, caller.prompt, now + ASK_S
        )
        placed = choose_target(book, wanted, ALONE, now + ASK_S, self.draw, asked=first)
        if is_conclusive(placed, first):
            self.at(now + ASK_S, partial(self.place, caller, host, wanted, first))
            return
        asked = self.query_coordinators(
            targets, keepers, caller.prompt, now + 2 * ASK_S
        )
        self.at(now + 2 * ASK_S, partial(self.place, caller, host, wanted, asked))

    def query_coordinators(
        self,
        targets: list[TargetState],
        keepers: Coordinators,
        prompt: Prompt,
        now: float,
    ) -> QueriedTargets:
        """Return what the keepers of some targets tell."""
        quotes = {}
        for target in targets:
            name = target.entry.id
            kept = self.books[keepers.find(name, now)].targets[name]
            quotes[name] = make_target_load_report(kept, prompt.parts, now)
        self.questions += len(targets)
        return QueriedTargets(targets, quotes)

    def place(
        self,
        caller: Caller,
        host: str,
        wanted: PlacementRequest,
        asked: QueriedTargets,
        now: float,
    ) -> None:
        """Send a request where its host decides, or refuse it."""
        book = self.books[host]
        placed = choose_target(book, wanted, ALONE, now, self.draw, asked=asked)
        caller.tries += 1
        if not isinstance(placed, Placement):
            again = now + placed.retry_after_s * (1 + 0.5 * self.draw.random())
            if caller.tries <= COME_AGAIN and placed.retry_after_s < wanted.left_s / 3:
                self.at(again, partial(self.receive, caller))
            return
        name = placed.target.entry.id
        key = f"r{next(self.order)}"
        unread = caller.prompt.tokens - placed.cached_tokens
        book.record_start(
            hash(key),
            placed.target,
            placed.priority or 0,
            unread,
            now,
            placed.tokens_ahead,
            placed.slot_wait_s <= 0.0,
            placed.expected,
        )
        book.record_prompt_parts(placed.target, caller.prompt.parts)
        self.tell(host, name, caller.prompt, now)
        if placed.fetch_from:
            self.fetch(caller.prompt, name, self.addresses[placed.fetch_from])
        real = caller.prompt.tokens - self.caches[name].count_cached(
            caller.prompt.parts
        )
        self.caches[name].use(caller.prompt.parts)
        answer = caller.prompt.expected_answer_tokens or 1
        generation = Generation(
            key, placed.priority or 0, real, answer, caller.prompt.tokens
        )
        caller.generation = generation
        if not self.engines[name].submit(generation, now):
            self.turned_away += 1
            book.record_end(hash(key), AttemptOutcome.NOT_RUN, now)
            caller.generation = None
            return
        self.under_way[key] = host, name, caller

    def look(self, name: str, now: float) -> None:
        """Have hosts see what an engine has sent them."""
        engine = self.engines[name]
        engine.advance(now)
        changed = set()
        for generation in engine.take_firsts():
            host, _, _ = self.under_way[generation.id]
            self.books[host].record_events(hash(generation.id), 1, now)
            changed.add(host)
        for generation in engine.take_ends():
            host, _, _ = self.under_way.pop(generation.id)
            self.books[host].record_end(
                hash(generation.id), AttemptOutcome.COMPLETED, now
            )
            changed.add(host)
        for host in sorted(changed):
            self.at(now + GATHER_S, partial(self.tell, host, name, None))
        self.at(now + LOOK_S, partial(self.look, name))

    def tell(self, host: str, name: str, prompt: Prompt | None, now: float) -> None:
        """Tell a target's keeper what a host has under way there."""
        book = self.books[host]
        load = book.local_load(book.targets[name])
        keeper = self.keepers[host].find(name, now)
        if keeper == host:
            return

        def hear(at: float) -> None:
            kept = self.books[keeper]
            kept.apply_peer_load(host, name, load, at)
            if prompt is not None:
                kept.record_prompt_parts(kept.targets[name], prompt.parts)

        self.at(now + TELL_S, hear)

    def fetch(self, prompt: Prompt, target: str, source: str) -> None:
        """Copy the shared parts that one engine has to another."""
        shared = prompt.parts[:-1]
        held = self.caches[source].count_cached(shared)
        if held > self.caches[target].count_cached(shared):
            self.caches[target].use(shared)

    def results(self) -> dict[str, Counter[str]]:
        """Return what callers got, by kind of request."""
        found: dict[str, Counter[str]] = {"draft": Counter(), "question": Counter()}
        for caller in self.callers:
            if caller.counts:
                found[caller.route][_judge(caller)] += 1
        return found


def _judge(caller: Caller) -> str:
    generation = caller.generation
    if generation is None:
        return "refused"
    if generation.first_at is None or generation.ended_at is None:
        return "unserved"
    route = DRAFT if caller.route == "draft" else QUESTION
    deadline_s = 4.0 if caller.route == "draft" else 10.0
    if generation.ended_at - caller.came_at > deadline_s:
        return "unserved"
    on_time = generation.first_at - caller.came_at <= route.aim_s
    steady = generation.longest_gap_s <= route.gap_aim_s
    return "in aim" if on_time and steady else "late"
