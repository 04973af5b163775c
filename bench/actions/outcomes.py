"""
Measures the outcomes of actions under each failure, with callers that retry.

Simulates in memory a region of four hosts, three of them issuers, with 20
actions per second for five minutes: a third under keys that the callers chose,
a third under such keys that the caller replaces by a ticket once an answer says
that no copy was run, and a third under tickets. The failure starts after 60 s. A
caller that gets no answer, or an answer with a time to retry, retries through
another host until its window of 120 s has passed. Run from the root of the
repository::

    python -m bench.actions.outcomes
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lycheepath.core.actions.claims import Claim, KeyOrigin, Refusal, Run
from lycheepath.core.actions.ledger import LedgerLimits
from tests.core.actions.environments import WINDOW_S
from tests.core.actions.fleet import HOSTS, SERVICE, TEAM, Answered, Fleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheepath.core.actions.claims import Replay

TICK_S = 0.1
ACTIONS_PER_TICK = 2
LOAD_DURATION_S = 300
FAULT_AT_S = 60
ANSWER_TIMEOUT_S = 1.0
SEED = 4
KEY, KEY_THEN_TICKET, TICKET = KINDS = ("key", "key, then ticket", "ticket")
LIMITS = LedgerLimits(max_claims=50_000, max_team_claims=50_000)


@dataclass(slots=True)
class Caller:
    """A caller with one action, and what the caller knows of its outcome."""

    number: int
    kind: str
    first_at: float
    next_attempt_at: float
    ticket: str = ""
    outcome: str = ""
    ended_at: float = 0.0
    was_retried: bool = False
    uses_key: bool = True
    may_have_run: bool = False
    awaits_answer: bool = False

    @property
    def claim(self) -> Claim:
        if self.uses_key:
            return Claim(TEAM, SERVICE, f"key-{self.number}")
        nonce = self.number.to_bytes(16, "big").hex()
        return Claim(TEAM, SERVICE, nonce, KeyOrigin.TICKET)


@dataclass(slots=True)
class AnsweringFleet(Fleet):
    """A simulated fleet that delivers its answers to the callers."""

    callers: dict[Claim, Caller] = field(default_factory=dict)
    sent_at: dict[Claim, float] = field(default_factory=dict)

    def tell(
        self, claim: Claim | None, fingerprint: bytes, answer: Replay | Refusal
    ) -> None:
        Fleet.tell(self, claim, fingerprint, answer)
        caller = self.callers.get(claim) if claim else None
        if caller is None or caller.outcome:
            return
        if isinstance(answer, Refusal) and self.schedule_retry(caller, answer):
            return
        self.record_outcome(caller, answer.run.value)

    def schedule_retry(self, caller: Caller, refusal: Refusal) -> bool:
        caller.awaits_answer = False
        caller.may_have_run |= refusal.copy is not Run.NOT_RUN
        if not refusal.retry_after_s:
            return False
        caller.was_retried = True
        caller.next_attempt_at = self.now + refusal.retry_after_s
        if (
            caller.uses_key
            and caller.kind == KEY_THEN_TICKET
            and not caller.may_have_run
        ):
            caller.uses_key = False
            caller.next_attempt_at = self.now
            self.callers[caller.claim] = caller
        return True

    def answer(self, answered: Answered, lost: bool) -> None:
        process = answered.process
        Fleet.answer(self, answered, lost)
        caller = self.callers[answered.permit.claim]
        if process.alive and not process.paused and not caller.outcome:
            self.record_outcome(caller, Run.UNKNOWN.value if lost else Run.RUN.value)

    def record_outcome(self, caller: Caller, outcome: str) -> None:
        caller.outcome = outcome
        caller.ended_at = self.now


def run(fault: Callable[[AnsweringFleet, float], None]) -> list[Caller]:
    """Run one failure; each tick calls ``fault`` with the seconds since its start."""
    rng = random.Random(SEED)
    fleet = AnsweringFleet(Counter(), LIMITS)
    exchange_heartbeats(fleet)
    fleet.now += 2 * WINDOW_S
    started_at = fleet.now
    callers: list[Caller] = []
    for tick in range(int((LOAD_DURATION_S + WINDOW_S + 5) / TICK_S)):
        fleet.now = started_at + tick * TICK_S
        if tick % 10 == 0:
            exchange_heartbeats(fleet)
        fault(fleet, fleet.now - started_at - FAULT_AT_S)
        if tick * TICK_S < LOAD_DURATION_S:
            callers += add_callers(fleet, len(callers))
        send_attempts(fleet, callers, rng)
        advance_tick(fleet)
    check_at_most_once(fleet, callers)
    return callers


def check_at_most_once(fleet: AnsweringFleet, callers: list[Caller]) -> None:
    """Check that no action ran twice; a caller's key and ticket are one action."""
    runs: Counter[int] = Counter()
    for claim, count in fleet.executions.items():
        runs[fleet.callers[claim].number] += count
    assert all(count == 1 for count in runs.values()), "an action ran twice"
    assert all(runs[each.number] for each in callers if each.outcome == "run")


def add_callers(fleet: AnsweringFleet, number: int) -> list[Caller]:
    added = [
        Caller(index, KINDS[index % 3], fleet.now, fleet.now)
        for index in range(number, number + ACTIONS_PER_TICK)
    ]
    for caller in added:
        caller.uses_key = caller.kind != TICKET
    fleet.callers.update({caller.claim: caller for caller in added})
    return added


def send_attempts(
    fleet: AnsweringFleet, callers: list[Caller], rng: random.Random
) -> None:
    for caller in callers:
        if caller.outcome or caller.next_attempt_at > fleet.now:
            continue
        if fleet.now > caller.first_at + WINDOW_S:
            fleet.record_outcome(caller, Run.UNKNOWN.value)
            continue
        caller.may_have_run |= caller.awaits_answer
        caller.awaits_answer = True
        caller.next_attempt_at = fleet.now + ANSWER_TIMEOUT_S
        host = rng.choice([h for h in HOSTS if fleet.processes[h].alive])
        if caller.uses_key:
            fleet.read(host, f"key-{caller.number}", "", b"body")
            continue
        caller.ticket = caller.ticket or fleet.issue(host, caller.number)
        if caller.ticket:
            fleet.read(host, "", caller.ticket, b"body")


def advance_tick(fleet: AnsweringFleet) -> None:
    """Advance the fleet by one tick, the time that a target needs for an action."""
    while fleet.answers:
        fleet.answer(fleet.answers.pop(), lost=False)
    while fleet.wire:
        fleet.execute(*fleet.wire.pop())
    for forward in fleet.forwards:
        fleet.deliver_forward(forward)
    fleet.forwards.clear()
    for process in fleet.processes.values():
        while process.permits and process.alive and not process.paused:
            fleet.send(process, renew=True)
            fleet.write(process)


def exchange_heartbeats(fleet: Fleet) -> None:
    for listener in HOSTS:
        for speaker in HOSTS:
            fleet.hear(listener, speaker)


def run_at(
    seconds: float, step: Callable[[AnsweringFleet], object]
) -> Callable[[AnsweringFleet, float], None]:
    """Return a fault that runs a step once, ``seconds`` after the failure starts."""

    def check(fleet: AnsweringFleet, since: float) -> None:
        if abs(since - seconds) < TICK_S / 2:
            step(fleet)

    return check


def run_all(
    *steps: Callable[[AnsweringFleet, float], None],
) -> Callable[[AnsweringFleet, float], None]:
    def check(fleet: AnsweringFleet, since: float) -> None:
        for step in steps:
            step(fleet, since)

    return check


def kill(fleet: AnsweringFleet) -> None:
    fleet.kill("h1")


def start(fleet: AnsweringFleet) -> None:
    fleet.start("h1", stale=False)


def hand_over(fleet: AnsweringFleet) -> None:
    """Shut down as a drained host does, without claims in flight."""
    fleet.leave("h1")
    for index in range(len(fleet.handovers)):
        fleet.deliver_handover(index)


def fetch(fleet: AnsweringFleet) -> None:
    exchange_heartbeats(fleet)
    fleet.fetch_handover("h1", lost=False)


def set_pause(paused: bool) -> Callable[[AnsweringFleet], None]:
    def step(fleet: AnsweringFleet) -> None:
        fleet.processes["h1"].paused = paused

    return step


def isolate_host(fleet: AnsweringFleet) -> None:
    fleet.cut = {frozenset(("h1", other)) for other in HOSTS if other != "h1"}


def restore_links(fleet: AnsweringFleet) -> None:
    fleet.cut = set()


def replace_issuer(fleet: AnsweringFleet) -> None:
    """Replace h1 by h4 among the issuers, on all hosts at once."""
    fleet.publish(("h2", "h3", "h4"))
    for host in HOSTS:
        fleet.adopt(host)


def renew_releases(fleet: AnsweringFleet, since: float) -> None:
    if since < 0 or int(since / TICK_S) % 10:
        return
    for asker in HOSTS:
        for previous in HOSTS:
            if asker != previous:
                fleet.ask_release(asker, previous)
    while fleet.releases:
        fleet.deliver_release(fleet.releases.pop())


FAULTS: dict[str, Callable[[AnsweringFleet, float], None]] = {
    "none": run_all(),
    "owner killed, back after 5 s": run_all(run_at(0, kill), run_at(5, start)),
    "owner killed for good": run_all(run_at(0, kill)),
    "owner restarted, handed over": run_all(
        run_at(0, hand_over), run_at(1, kill), run_at(5, start), run_at(5.5, fetch)
    ),
    "owner restarted, handover lost": run_all(
        run_at(0, hand_over), run_at(1, kill), run_at(5, start)
    ),
    "owner cut off for 30 s": run_all(
        run_at(0, isolate_host), run_at(30, restore_links)
    ),
    "owner paused for 15 s": run_all(
        run_at(0, set_pause(True)), run_at(15, set_pause(False))
    ),
    "issuers changed": run_all(run_at(0, replace_issuer), renew_releases),
}


def print_row(name: str, callers: list[Caller]) -> None:
    for kind in KINDS:
        group = [caller for caller in callers if caller.kind == kind]
        outcomes = Counter(caller.outcome for caller in group)
        waits = sorted(caller.ended_at - caller.first_at for caller in group)
        shares = " ".join(
            f"{run.value} {outcomes[run.value] / len(group):7.2%}" for run in Run
        )
        back = sum(caller.was_retried for caller in group) / len(group)
        print(
            f"{name:31s} {kind:16s} {shares} told to come back {back:6.2%}"
            f" p99 {waits[int(len(waits) * 0.99)]:5.1f} s"
        )


def main() -> None:
    """Print one row per failure and kind of action."""
    print(
        f"seed {SEED}, {LOAD_DURATION_S * ACTIONS_PER_TICK / TICK_S:.0f} actions each"
    )
    for name, fault in FAULTS.items():
        print_row(name, run(fault))


if __name__ == "__main__":
    main()
