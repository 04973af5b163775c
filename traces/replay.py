"""
Replays a trace through the routing core alone, on a simulated clock.

Nine hosts decide, each with separate state. Callers find their host with
``hosts_for``, retry after the time that a refusal gives, and give up after
``MAX_CALLER_ATTEMPTS``. The core's policy runs with the core's limits, queue and
retry budgets; the baselines retry as clients commonly do, with three attempts
and backoff.
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
from .policies import POLICIES, CorePolicy
from .runners import EventLoop, Runner, RunnerAttempt
from .trace import Fault, FaultKind, hash_prompt_blocks

if TYPE_CHECKING:
    from .policies import RoutingPolicy
    from .trace import Trace, TracedRequest

LOCAL_ONE_WAY_S = 0.0005
CONNECT_TIMEOUT_S = 0.5
REPORT_INTERVAL_S = 0.5
LOCAL_REPORT_LAG_S = 0.3
REMOTE_REPORT_LAG_S = 1.0
TARGET_LIST_LAG_S = 10.0
MEMBERSHIP_LAG_S = 2.0
MAX_CALLER_ATTEMPTS = 4
CALLER_BACKOFF_S = 0.5
QUEUE_POLL_S = 0.05
RUNNER_SLOWDOWN = 8.0
PREFIX_BYTES_PER_TOKEN = 4
ANSWER_BYTES_PER_TOKEN = 220
DRAIN_S = 60.0
MAX_TOKENS = 512
EXPECTED_ANSWER_TOKENS = 100


@dataclass(slots=True)
class Outcome:
    """The result of one traced request as its caller observes it."""

    request: TracedRequest
    first_token_s: float | None = None
    finish_s: float | None = None
    is_remote: bool = False
    refused: bool = False
    attempts: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class Totals:
    """The outcomes and counters of a replay."""

    outcomes: list[Outcome] = field(default_factory=list)
    wasted_tokens: float = 0.0
    cross_region_bytes: int = 0
    decisions: int = 0


class Replay:
    """One replay: the event loop, runners, hosts and callers."""

    def __init__(self, trace: Trace, policy: str, seed: int = 1) -> None:
        self.trace = trace
        self.random = Random(seed)
        self.deployment = DEPLOYMENTS[trace.deployment]
        self.environment = build_environment(self.deployment)
        self.loop = EventLoop()
        self.totals = Totals()
        self.zones = {zone.id: zone.region for zone in self.environment.zones}
        self.lost_regions: set[str] = set()
        self.members: dict[str, MemberState] = {}
        self.runners = {
            target.id: Runner(target, self.zones[target.zone], self.loop)
            for target in self.environment.targets
        }
        self.hosts = {
            host.id: ReplayedHost(self, host.id, self.zones[host.zone], policy)
            for host in self.environment.hosts
        }

    def run(self) -> Totals:
        """Replay the trace and return the outcomes and counters."""
        for number, request in enumerate(self.trace.requests):
            caller = Caller(self, f"q{number}", request)
            self.loop.call_at(request.at_s, caller.send)
        for fault in self.trace.faults:
            self._schedule(fault)
        self._report_loads()
        end = self.trace.requests[-1].at_s + DRAIN_S
        self.loop.run(end)
        return self.totals

    def delay_s(self, source: str, destination: str) -> float:
        """Return the one-way network delay between two regions in seconds."""
        return (
            LOCAL_ONE_WAY_S
            if source == destination
            else self.deployment.one_way_ms / 1e3
        )

    def _schedule(self, fault: Fault) -> None:
        self.loop.call_at(fault.start_s, lambda: self._set_fault(fault, True))
        self.loop.call_at(fault.end_s, lambda: self._set_fault(fault, False))

    def _set_fault(self, fault: Fault, active: bool) -> None:
        if fault.kind is FaultKind.REGION_LOST:
            self._lose_region(fault.subject, active)
        elif fault.kind is FaultKind.RUNNER_SLOW:
            self.runners[fault.subject].slowdown = RUNNER_SLOWDOWN if active else 1.0
        else:
            self.runners[fault.subject].returns_errors = active

    def _lose_region(self, region: str, lost: bool) -> None:
        (self.lost_regions.add if lost else self.lost_regions.discard)(region)
        for runner in self.runners.values():
            if runner.region == region:
                (runner.crash if lost else runner.restart)()
        self.loop.call_later(
            MEMBERSHIP_LAG_S, lambda: self._update_members(region, lost)
        )
        self.loop.call_later(
            TARGET_LIST_LAG_S, lambda: self._update_target_list(region, lost)
        )

    def _update_members(self, region: str, lost: bool) -> None:
        state = MemberState.DEAD if lost else MemberState.LIVE
        for host in self.hosts.values():
            if host.region == region:
                self.members[host.id] = state
        for host in self.hosts.values():
            host.limiter.update_members(self.members)

    def _update_target_list(self, region: str, lost: bool) -> None:
        for host in self.hosts.values():
            for runner in self.runners.values():
                if runner.region == region:
                    host.policy.set_draining(runner.target.id, lost)

    def _report_loads(self) -> None:
        now = self.loop.now
        for runner in self.runners.values():
            if runner.alive:
                report = runner.report()
                for host in self.hosts.values():
                    home = host.region == runner.region
                    lag = LOCAL_REPORT_LAG_S if home else REMOTE_REPORT_LAG_S
                    self.loop.call_later(
                        lag,
                        lambda host=host, runner=runner, report=report: (  # type: ignore[misc]
                            host.policy.apply_load_report(runner.target.id, report, now)
                        ),
                    )
        if now < self.trace.requests[-1].at_s + DRAIN_S:
            self.loop.call_later(REPORT_INTERVAL_S, self._report_loads)


class Caller:
    """A caller that sends one request and retries it when refused."""

    def __init__(self, replay: Replay, name: str, request: TracedRequest) -> None:
        self.replay = replay
        self.name = name
        self.request = request
        self.outcome = Outcome(request)
        self.attempts = 0
        replay.totals.outcomes.append(self.outcome)

    def send(self) -> None:
        """Select a host and send the request to it."""
        self.attempts += 1
        replay = self.replay
        host = self._find_host()
        if host is None:
            self.handle_refusal(1.0)
            return
        delay = replay.deployment.client_ms / 1e3
        delay += replay.delay_s(self.request.region, host.region)
        if host.region in replay.lost_regions:
            replay.loop.call_later(CONNECT_TIMEOUT_S, lambda: self.handle_refusal(0.0))
            return
        replay.loop.call_later(delay, lambda: host.serve(self, delay))

    def handle_refusal(self, retry_after_s: float) -> None:
        """Retry after the given time, or give up on the last attempt or deadline."""
        now = self.replay.loop.now
        wait = max(retry_after_s, CALLER_BACKOFF_S) * self.replay.random.uniform(1, 1.5)
        late = now + wait > self.request.at_s + self.request.deadline_s
        if self.attempts >= MAX_CALLER_ATTEMPTS or late:
            self.outcome.refused = True
            return
        self.replay.loop.call_later(wait, self.send)

    def record_first_token(self, delay: float, is_remote: bool, cached: int) -> None:
        """Record the time to first token as the caller observes it."""
        if self.outcome.first_token_s is None:
            arrived = self.replay.loop.now + delay
            self.outcome.first_token_s = arrived - self.request.at_s
            self.outcome.is_remote = is_remote
            self.outcome.cached_tokens = cached

    def record_completion(self, delay: float) -> None:
        """Record the time to completion as the caller observes it."""
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
        return replay.hosts[answer.hosts[(self.attempts - 1) % len(answer.hosts)]]


class ReplayedHost:
    """A simulated host that uses the core as a real host does."""

    def __init__(self, replay: Replay, host: str, region: str, policy: str) -> None:
        self.replay = replay
        self.id = host
        self.region = region
        self.policy: RoutingPolicy = POLICIES[policy](
            replay.environment, host, region, replay.random
        )
        self.uses_core = isinstance(self.policy, CorePolicy)
        self.limiter = Limiter(host)
        regions = {request.team: (request.region,) for request in replay.trace.requests}
        self.limiter.apply_environment(replay.environment, regions)
        self.queue = FairQueue()
        self.queued: dict[str, ServedRequest] = {}
        self.budget = HostBudget()
        self.is_poll_scheduled = False

    def serve(self, caller: Caller, delay: float) -> None:
        """Serve a caller's request, or refuse it with a time to retry."""
        if self.region in self.replay.lost_regions:
            caller.handle_refusal(0.0)
            return
        now = self.replay.loop.now
        request = caller.request
        cost = request.prompt_tokens + MAX_TOKENS
        admission = Admission(request.team, cost, request.priority)
        if self.uses_core:
            answer = self.limiter.admit(request.team, cost, request.priority, now)
            if isinstance(answer, Absent):
                caller.handle_refusal(answer.retry_after_s)
                return
            admission = answer
        ServedRequest(self, caller, delay, admission).attempt()

    def enqueue(self, served_request: ServedRequest) -> None:
        """Queue a request until a target is free, or refuse it."""
        now = self.replay.loop.now
        request = served_request.routed
        queued_request = QueuedRequest(
            request.id,
            served_request.caller.request.team,
            self._estimate_cost(request),
            request.priority,
            request.deadline,
            now,
        )
        refusal = self.queue.push(queued_request, now)
        if isinstance(refusal, Absent):
            served_request.refuse(refusal.retry_after_s)
            return
        self.queued[request.id] = served_request
        self._schedule_poll()

    def _estimate_cost(self, request: RoutedRequest) -> float:
        if isinstance(self.policy, CorePolicy):
            return self.policy.router.estimate_cost(request) + EXPECTED_ANSWER_TOKENS
        return request.prompt_tokens

    def dispatch_queued(self) -> None:
        """Dispatch queued requests until no target accepts one."""
        while len(self.queue):
            queued_request, expired = self.queue.pop(self.replay.loop.now)
            for late in expired:
                self.queued.pop(late.id).refuse(MIN_RETRY_AFTER_S)
            if queued_request is None:
                return
            if not self.queued[queued_request.id].attempt(queued=True):
                self.queue.requeue(queued_request)
                return
            del self.queued[queued_request.id]
            self.queue.record_dispatch(queued_request, self.replay.loop.now)

    def _schedule_poll(self) -> None:
        if not self.is_poll_scheduled:
            self.is_poll_scheduled = True
            self.replay.loop.call_later(QUEUE_POLL_S, self._poll_queue)

    def _poll_queue(self) -> None:
        self.is_poll_scheduled = False
        self.dispatch_queued()
        if len(self.queue):
            self._schedule_poll()


class ServedRequest:
    """One request at one host, through all of its attempts."""

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
            id=f"{caller.name}-{caller.attempts}",
            model=MODEL,
            prefix_blocks=hash_prompt_blocks(request),
            prompt_tokens=request.prompt_tokens,
            max_tokens=MAX_TOKENS,
            priority=request.priority,
            deadline=request.at_s + request.deadline_s,
            home_region=home,
            bound_region=home if request.bound else None,
        )
        self.budget: RequestBudget = open_budget(self.routed.deadline)
        self.runner: Runner | None = None
        self.runner_attempt: RunnerAttempt | None = None
        self.ended = False

    def attempt(self, queued: bool = False) -> bool:
        """Send to a chosen target; return False if the request stays queued."""
        replay = self.host.replay
        now = replay.loop.now
        replay.totals.decisions += 1
        choice = self.host.policy.choose(self.routed, now, self.excluded)
        if isinstance(choice, Absent):
            if choice.reason is Reason.OVERLOADED and self.host.uses_core:
                if not queued:
                    self.host.enqueue(self)
                return False
            self.refuse(choice.retry_after_s or 1.0)
            return True
        self.budget = self.budget.spend()
        self.caller.outcome.attempts += 1
        self.host.policy.record_send(self.routed, choice, now)
        runner = replay.runners[choice.target]
        self._send(runner, replay.delay_s(self.host.region, runner.region))
        return True

    def refuse(self, retry_after_s: float) -> None:
        """Refuse the request; the caller may retry after the given time."""
        self.ended = True
        now = self.host.replay.loop.now
        if self.host.uses_core:
            self.host.limiter.settle(self.admission, 0.0, now)
        self.caller.handle_refusal(retry_after_s)

    def _send(self, runner: Runner, delay: float) -> None:
        loop = self.host.replay.loop
        self.runner = runner
        is_remote = runner.region != self.routed.home_region
        runner_attempt = RunnerAttempt(
            self.routed.prefix_blocks,
            self.routed.prompt_tokens,
            self.caller.request.output_tokens,
            self.routed.priority,
            self.caller.request.poison,
            lambda cached: loop.call_later(
                delay, lambda: self._first_token(runner_attempt, is_remote, cached)
            ),
            lambda: loop.call_later(delay, lambda: self._finished(runner_attempt)),
            lambda kind: loop.call_later(
                delay, lambda: self._failed(runner_attempt, kind)
            ),
        )
        self.runner_attempt = runner_attempt
        if runner.region != self.host.region:
            size = self.routed.prompt_tokens * PREFIX_BYTES_PER_TOKEN
            size += runner_attempt.output_tokens * ANSWER_BYTES_PER_TOKEN
            self.host.replay.totals.cross_region_bytes += size
        loop.call_later(delay, lambda: self._arrive(runner, runner_attempt))
        loop.call_at(self.routed.deadline, lambda: self._expire(runner_attempt))

    def _arrive(self, runner: Runner, runner_attempt: RunnerAttempt) -> None:
        if runner_attempt.ended:
            return
        if runner.alive:
            runner.submit(runner_attempt)
            return
        runner_attempt.ended = True
        self.host.replay.loop.call_later(
            CONNECT_TIMEOUT_S, lambda: self._failed(runner_attempt, FailureKind.REFUSED)
        )

    def _first_token(
        self, runner_attempt: RunnerAttempt, is_remote: bool, cached: int
    ) -> None:
        if self.runner_attempt is runner_attempt and not self.ended:
            now = self.host.replay.loop.now
            self.host.policy.record_first_token(self.routed.id, now)
            self.caller.record_first_token(self.delay, is_remote, cached)

    def _finished(self, runner_attempt: RunnerAttempt) -> None:
        if self.runner_attempt is not runner_attempt or self.ended:
            return
        self.ended = True
        now = self.host.replay.loop.now
        self.host.policy.record_completion(
            self.routed.id, now, runner_attempt.output_tokens
        )
        self.host.budget.earn()
        self.caller.record_completion(self.delay)
        if self.host.uses_core:
            spent = runner_attempt.prefilled + runner_attempt.output_tokens
            self.host.limiter.settle(self.admission, spent, now)
            self.host.dispatch_queued()

    def _failed(self, runner_attempt: RunnerAttempt, kind: FailureKind) -> None:
        if self.runner_attempt is not runner_attempt or self.ended:
            return
        replay = self.host.replay
        replay.totals.wasted_tokens += runner_attempt.count_spent_tokens(
            replay.loop.now
        )
        self.host.policy.record_failure(self.routed.id, kind, replay.loop.now)
        if self.host.region in replay.lost_regions:
            self.refuse(0.0)
            return
        self.excluded |= {self.runner.target.id} if self.runner else set()
        retry = decide_retry(
            self.budget,
            self.host.budget if self.host.uses_core else HostBudget(),
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

    def _expire(self, runner_attempt: RunnerAttempt) -> None:
        if (
            self.runner_attempt is not runner_attempt
            or self.ended
            or self.runner is None
        ):
            return
        self.ended = True
        replay = self.host.replay
        if not runner_attempt.ended:
            replay.totals.wasted_tokens += runner_attempt.count_spent_tokens(
                replay.loop.now
            )
            self.runner.cancel(runner_attempt)
        self.host.policy.record_failure(
            self.routed.id, FailureKind.TIMEOUT, replay.loop.now
        )
        self.caller.handle_refusal(0.0)
