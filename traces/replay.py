"""
Replays a trace through the decision core alone, on a simulated clock.

Nine hosts with their own state decide; callers ask ``hosts_for`` which host to
use, wait when told to come back, and give up after ``CALLER_TRIES``. Ours uses
the core's limits, queue and retry budgets; the plain policies retry as clients
commonly do, three attempts with backoff.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from lycheepath.core.hosts.selection import MemberState, hosts_for, hosts_in_any_region
from lycheepath.core.limits.admission import Admission, Limiter
from lycheepath.core.limits.queue import MIN_RETRY_AFTER_S, FairQueue, QueuedRequest
from lycheepath.core.reasons import Absent, Reason
from lycheepath.core.retries.budget import HostBudget, RequestBudget, open_budget
from lycheepath.core.retries.decision import Retry, decide_retry
from lycheepath.core.routing.reports import FailureKind
from lycheepath.core.routing.request import RoutedRequest

from .deployments import DEPLOYMENTS, MODEL, build_environment
from .policies import POLICIES, OurPolicy
from .runners import Loop, Runner, Work
from .trace import Fault, FaultKind, chain_blocks

if TYPE_CHECKING:
    from .policies import RoutingPolicy
    from .trace import Trace, TracedRequest

LOCAL_ONE_WAY_S = 0.0005
CONNECT_TIMEOUT_S = 0.5
REPORT_INTERVAL_S = 0.5
HOME_REPORT_LAG_S = 0.3
AWAY_REPORT_LAG_S = 1.0
LIST_LAG_S = 10.0
MEMBER_LAG_S = 2.0
CALLER_TRIES = 4
CALLER_BACKOFF_S = 0.5
QUEUE_TICK_S = 0.05
SLOW_FACTOR = 8.0
PREFIX_BYTES_PER_TOKEN = 4
ANSWER_BYTES_PER_TOKEN = 220
SETTLE_S = 60.0
MAX_TOKENS = 512
EXPECTED_ANSWER_TOKENS = 100


@dataclass(slots=True)
class Outcome:
    """State: what became of one traced request, seen by its caller."""

    request: TracedRequest
    first_token_s: float | None = None
    finish_s: float | None = None
    away: bool = False
    refused: bool = False
    attempts: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class Tally:
    """State: the sums of a replay."""

    outcomes: list[Outcome] = field(default_factory=list)
    wasted_tokens: float = 0.0
    away_bytes: int = 0
    decisions: int = 0


class Replay:
    """State: the loop, the runners, the hosts and the callers of one replay."""

    def __init__(self, trace: Trace, policy: str, seed: int = 1) -> None:
        self.trace = trace
        self.random = Random(seed)
        self.deployment = DEPLOYMENTS[trace.deployment]
        self.environment = build_environment(self.deployment)
        self.loop = Loop()
        self.tally = Tally()
        self.zones = {zone.id: zone.region for zone in self.environment.zones}
        self.lost: set[str] = set()
        self.members: dict[str, MemberState] = {}
        self.runners = {
            target.id: Runner(target, self.zones[target.zone], self.loop)
            for target in self.environment.targets
        }
        self.hosts = {
            host.id: ReplayedHost(self, host.id, self.zones[host.zone], policy)
            for host in self.environment.hosts
        }

    def run(self) -> Tally:
        """Replay the trace and return the sums."""
        for number, request in enumerate(self.trace.requests):
            caller = Caller(self, f"q{number}", request)
            self.loop.call_at(request.at_s, caller.send)
        for fault in self.trace.faults:
            self._schedule(fault)
        self._report_loads()
        end = self.trace.requests[-1].at_s + SETTLE_S
        self.loop.run(end)
        return self.tally

    def delay_s(self, here: str, there: str) -> float:
        """Return the one-way delay between two regions."""
        return LOCAL_ONE_WAY_S if here == there else self.deployment.one_way_ms / 1e3

    def _schedule(self, fault: Fault) -> None:
        self.loop.call_at(fault.start_s, lambda: self._set_fault(fault, True))
        self.loop.call_at(fault.end_s, lambda: self._set_fault(fault, False))

    def _set_fault(self, fault: Fault, active: bool) -> None:
        if fault.kind is FaultKind.REGION_LOST:
            self._lose_region(fault.subject, active)
        elif fault.kind is FaultKind.RUNNER_SLOW:
            self.runners[fault.subject].slow = SLOW_FACTOR if active else 1.0
        else:
            self.runners[fault.subject].erring = active

    def _lose_region(self, region: str, lost: bool) -> None:
        (self.lost.add if lost else self.lost.discard)(region)
        for runner in self.runners.values():
            if runner.region == region:
                (runner.crash if lost else runner.restart)()
        self.loop.call_later(MEMBER_LAG_S, lambda: self._list_hosts(region, lost))
        self.loop.call_later(LIST_LAG_S, lambda: self._list_targets(region, lost))

    def _list_hosts(self, region: str, lost: bool) -> None:
        state = MemberState.DEAD if lost else MemberState.LIVE
        for host in self.hosts.values():
            if host.region == region:
                self.members[host.id] = state
        for host in self.hosts.values():
            host.limiter.update_members(self.members)

    def _list_targets(self, region: str, lost: bool) -> None:
        for host in self.hosts.values():
            for runner in self.runners.values():
                if runner.region == region:
                    host.policy.drained(runner.target.id, lost)

    def _report_loads(self) -> None:
        now = self.loop.now
        for runner in self.runners.values():
            if runner.alive:
                report = runner.report()
                for host in self.hosts.values():
                    home = host.region == runner.region
                    lag = HOME_REPORT_LAG_S if home else AWAY_REPORT_LAG_S
                    self.loop.call_later(
                        lag,
                        lambda host=host, runner=runner, report=report: (  # type: ignore[misc]
                            host.policy.load_report(runner.target.id, report, now)
                        ),
                    )
        if now < self.trace.requests[-1].at_s + SETTLE_S:
            self.loop.call_later(REPORT_INTERVAL_S, self._report_loads)


class Caller:
    """State: one caller with one request."""

    def __init__(self, replay: Replay, name: str, request: TracedRequest) -> None:
        self.replay = replay
        self.name = name
        self.request = request
        self.outcome = Outcome(request)
        self.tries = 0
        replay.tally.outcomes.append(self.outcome)

    def send(self) -> None:
        """Ask which host to use and send the request there."""
        self.tries += 1
        replay = self.replay
        host = self._find_host()
        if host is None:
            self.refused(1.0)
            return
        delay = replay.deployment.client_ms / 1e3
        delay += replay.delay_s(self.request.region, host.region)
        if host.region in replay.lost:
            replay.loop.call_later(CONNECT_TIMEOUT_S, lambda: self.refused(0.0))
            return
        replay.loop.call_later(delay, lambda: host.serve(self, delay))

    def refused(self, retry_after_s: float) -> None:
        """Come back when told to, a few times."""
        now = self.replay.loop.now
        wait = max(retry_after_s, CALLER_BACKOFF_S) * self.replay.random.uniform(1, 1.5)
        late = now + wait > self.request.at_s + self.request.deadline_s
        if self.tries >= CALLER_TRIES or late:
            self.outcome.refused = True
            return
        self.replay.loop.call_later(wait, self.send)

    def first_token(self, delay: float, away: bool, cached: int) -> None:
        """Note the first token as the caller sees it."""
        if self.outcome.first_token_s is None:
            arrived = self.replay.loop.now + delay
            self.outcome.first_token_s = arrived - self.request.at_s
            self.outcome.away = away
            self.outcome.cached_tokens = cached

    def finished(self, delay: float) -> None:
        """Note the end as the caller sees it."""
        self.outcome.finish_s = self.replay.loop.now + delay - self.request.at_s

    def _find_host(self) -> ReplayedHost | None:
        replay = self.replay
        find = hosts_for if self.request.bound else hosts_in_any_region
        answer = find(
            self.request.team,
            str(self.request.conversation),
            self.request.region,
            replay.environment,
            replay.members,
        )
        if not answer:
            return None
        return replay.hosts[answer.hosts[(self.tries - 1) % len(answer.hosts)]]


class ReplayedHost:
    """State: one host, wired as the real one wires the core."""

    def __init__(self, replay: Replay, host: str, region: str, policy: str) -> None:
        self.replay = replay
        self.id = host
        self.region = region
        self.policy: RoutingPolicy = POLICIES[policy](
            replay.environment, host, region, replay.random
        )
        self.ours = isinstance(self.policy, OurPolicy)
        self.limiter = Limiter(host)
        regions = {request.team: (request.region,) for request in replay.trace.requests}
        self.limiter.apply_environment(replay.environment, regions)
        self.queue = FairQueue()
        self.queued: dict[str, Serving] = {}
        self.budget = HostBudget()
        self.ticking = False

    def serve(self, caller: Caller, delay: float) -> None:
        """Serve a request of a caller, or tell it when to come back."""
        if self.region in self.replay.lost:
            caller.refused(0.0)
            return
        now = self.replay.loop.now
        request = caller.request
        cost = request.prompt_tokens + MAX_TOKENS
        admission = Admission(request.team, cost, request.priority)
        if self.ours:
            answer = self.limiter.admit(request.team, cost, request.priority, now)
            if isinstance(answer, Absent):
                caller.refused(answer.retry_after_s)
                return
            admission = answer
        Serving(self, caller, delay, admission).attempt()

    def enqueue(self, serving: Serving) -> None:
        """Let a request wait for a target, or refuse it."""
        now = self.replay.loop.now
        request = serving.routed
        waiting = QueuedRequest(
            request.id,
            serving.caller.request.team,
            self._estimate_cost(request),
            request.priority,
            request.deadline,
            now,
        )
        refusal = self.queue.push(waiting, now)
        if isinstance(refusal, Absent):
            serving.refuse(refusal.retry_after_s)
            return
        self.queued[request.id] = serving
        self._start_ticking()

    def _estimate_cost(self, request: RoutedRequest) -> float:
        if isinstance(self.policy, OurPolicy):
            return self.policy.router.estimate_cost(request) + EXPECTED_ANSWER_TOKENS
        return request.prompt_tokens

    def pump(self) -> None:
        """Start what waits, as far as targets take it."""
        while len(self.queue):
            waiting, expired = self.queue.pop(self.replay.loop.now)
            for late in expired:
                self.queued.pop(late.id).refuse(MIN_RETRY_AFTER_S)
            if waiting is None:
                return
            if not self.queued[waiting.id].attempt(queued=True):
                self.queue.requeue(waiting)
                return
            del self.queued[waiting.id]
            self.queue.record_dispatch(waiting, self.replay.loop.now)

    def _start_ticking(self) -> None:
        if not self.ticking:
            self.ticking = True
            self.replay.loop.call_later(QUEUE_TICK_S, self._tick)

    def _tick(self) -> None:
        self.ticking = False
        self.pump()
        if len(self.queue):
            self._start_ticking()


class Serving:
    """State: one request at one host, over its attempts."""

    def __init__(
        self, host: ReplayedHost, caller: Caller, delay: float, admission: Admission
    ) -> None:
        self.host = host
        self.caller = caller
        self.delay = delay
        self.admission = admission
        self.excluded: frozenset[str] = frozenset()
        request = caller.request
        home = request.region
        self.routed = RoutedRequest(
            id=f"{caller.name}-{caller.tries}",
            model=MODEL,
            prefix_blocks=chain_blocks(request),
            prompt_tokens=request.prompt_tokens,
            max_tokens=MAX_TOKENS,
            priority=request.priority,
            deadline=request.at_s + request.deadline_s,
            home_region=home,
            bound_region=home if request.bound else None,
        )
        self.budget: RequestBudget = open_budget(self.routed.deadline)
        self.runner: Runner | None = None
        self.work: Work | None = None
        self.ended = False

    def attempt(self, queued: bool = False) -> bool:
        """Choose a target and send; tell whether the request left the queue."""
        replay = self.host.replay
        now = replay.loop.now
        replay.tally.decisions += 1
        choice = self.host.policy.choose(self.routed, now, self.excluded)
        if isinstance(choice, Absent):
            if choice.reason is Reason.OVERLOADED and self.host.ours:
                if not queued:
                    self.host.enqueue(self)
                return False
            self.refuse(choice.retry_after_s or 1.0)
            return True
        self.budget = self.budget.spend()
        self.caller.outcome.attempts += 1
        self.host.policy.start(self.routed, choice, now)
        runner = replay.runners[choice.target]
        self._send(runner, replay.delay_s(self.host.region, runner.region))
        return True

    def refuse(self, retry_after_s: float) -> None:
        """Give the final answer: not served, come back then."""
        self.ended = True
        now = self.host.replay.loop.now
        if self.host.ours:
            self.host.limiter.settle(self.admission, 0.0, now)
        self.caller.refused(retry_after_s)

    def _send(self, runner: Runner, delay: float) -> None:
        loop = self.host.replay.loop
        self.runner = runner
        away = runner.region != self.routed.home_region
        work = Work(
            self.routed.prefix_blocks,
            self.routed.prompt_tokens,
            self.caller.request.output_tokens,
            self.routed.priority,
            self.caller.request.poison,
            lambda cached: loop.call_later(
                delay, lambda: self._first_token(work, away, cached)
            ),
            lambda: loop.call_later(delay, lambda: self._finished(work)),
            lambda kind: loop.call_later(delay, lambda: self._failed(work, kind)),
        )
        self.work = work
        if runner.region != self.host.region:
            size = self.routed.prompt_tokens * PREFIX_BYTES_PER_TOKEN
            size += work.output_tokens * ANSWER_BYTES_PER_TOKEN
            self.host.replay.tally.away_bytes += size
        loop.call_later(delay, lambda: self._arrive(runner, work))
        loop.call_at(self.routed.deadline, lambda: self._expire(work))

    def _arrive(self, runner: Runner, work: Work) -> None:
        if work.ended:
            return
        if runner.alive:
            runner.submit(work)
            return
        work.ended = True
        self.host.replay.loop.call_later(
            CONNECT_TIMEOUT_S, lambda: self._failed(work, FailureKind.REFUSED)
        )

    def _first_token(self, work: Work, away: bool, cached: int) -> None:
        if self.work is work and not self.ended:
            now = self.host.replay.loop.now
            self.host.policy.first_token(self.routed.id, now)
            self.caller.first_token(self.delay, away, cached)

    def _finished(self, work: Work) -> None:
        if self.work is not work or self.ended:
            return
        self.ended = True
        now = self.host.replay.loop.now
        self.host.policy.finished(self.routed.id, now, work.output_tokens)
        self.host.budget.earn()
        self.caller.finished(self.delay)
        if self.host.ours:
            spent = work.prefilled + work.output_tokens
            self.host.limiter.settle(self.admission, spent, now)
            self.host.pump()

    def _failed(self, work: Work, kind: FailureKind) -> None:
        if self.work is not work or self.ended:
            return
        replay = self.host.replay
        replay.tally.wasted_tokens += work.tokens_spent(replay.loop.now)
        self.host.policy.failed(self.routed.id, kind, replay.loop.now)
        if self.host.region in replay.lost:
            self.refuse(0.0)
            return
        self.excluded |= {self.runner.target.id} if self.runner else set()
        retry = decide_retry(
            self.budget,
            self.host.budget if self.host.ours else HostBudget(),
            True,
            0.0,
            replay.loop.now,
            replay.random,
        )
        if isinstance(retry, Retry):
            replay.loop.call_later(retry.after_s, self._retry)
        else:
            self.refuse(retry.retry_after_s)

    def _retry(self) -> None:
        if not self.ended:
            self.attempt()

    def _expire(self, work: Work) -> None:
        if self.work is not work or self.ended or self.runner is None:
            return
        self.ended = True
        replay = self.host.replay
        if not work.ended:
            replay.tally.wasted_tokens += work.tokens_spent(replay.loop.now)
            self.runner.cancel(work)
        self.host.policy.failed(self.routed.id, FailureKind.TIMEOUT, replay.loop.now)
        self.caller.refused(0.0)
