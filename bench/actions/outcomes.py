"""
What becomes of actions in each failure, with callers that ask again.

A region of four hosts in memory, three of them issuers, 20 actions a second
for five minutes: a third under the callers' own keys, a third under keys that the
caller gives up for a ticket once it is told that no copy was run, and a third
under tickets. The failure comes after 60 s. A caller that gets no answer or is told to come back
asks again through another host, until its window of 120 s has passed. Run
from the repository's root::

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
SECONDS = 300
FAULT_AT_S = 60
RESEND_S = 1.0
SEED = 4
KEY, SWITCH, TICKET = KINDS = ("key", "key, then ticket", "ticket")
LIMITS = LedgerLimits(max_claims=50_000, max_team_claims=50_000)


@dataclass(slots=True)
class Caller:
    """One action of one caller, and what it knows of it."""

    number: int
    kind: str
    first_at: float
    ask_at: float
    ticket: str = ""
    outcome: str = ""
    ended_at: float = 0.0
    came_back: bool = False
    keyed: bool = True
    uncertain: bool = False
    asked: bool = False

    @property
    def claim(self) -> Claim:
        if self.keyed:
            return Claim(TEAM, SERVICE, f"key-{self.number}")
        nonce = self.number.to_bytes(16, "big").hex()
        return Claim(TEAM, SERVICE, nonce, KeyOrigin.TICKET)


@dataclass(slots=True)
class AnsweringFleet(Fleet):
    """A fleet whose answers reach the callers."""

    callers: dict[Claim, Caller] = field(default_factory=dict)
    sent_at: dict[Claim, float] = field(default_factory=dict)

    def tell(
        self, claim: Claim | None, fingerprint: bytes, answer: Replay | Refusal
    ) -> None:
        Fleet.tell(self, claim, fingerprint, answer)
        caller = self.callers.get(claim) if claim else None
        if caller is None or caller.outcome:
            return
        if isinstance(answer, Refusal) and self.ask_again(caller, answer):
            return
        self.end(caller, answer.run.value)

    def ask_again(self, caller: Caller, refusal: Refusal) -> bool:
        caller.asked = False
        caller.uncertain |= refusal.copy is not Run.NOT_RUN
        if not refusal.retry_after_s:
            return False
        caller.came_back = True
        caller.ask_at = self.now + refusal.retry_after_s
        if caller.keyed and caller.kind == SWITCH and not caller.uncertain:
            caller.keyed = False
            caller.ask_at = self.now
            self.callers[caller.claim] = caller
        return True

    def answer(self, answered: Answered, lost: bool) -> None:
        process = answered.process
        Fleet.answer(self, answered, lost)
        caller = self.callers[answered.permit.claim]
        if process.alive and not process.paused and not caller.outcome:
            self.end(caller, Run.UNKNOWN.value if lost else Run.RUN.value)

    def end(self, caller: Caller, outcome: str) -> None:
        caller.outcome = outcome
        caller.ended_at = self.now


def run(fault: Callable[[AnsweringFleet, float], None]) -> list[Caller]:
    """Run one failure; ``fault`` is called at each tick with the seconds since."""
    rng = random.Random(SEED)
    fleet = AnsweringFleet(Counter(), LIMITS)
    hear_all(fleet)
    fleet.now += 2 * WINDOW_S
    begin = fleet.now
    callers: list[Caller] = []
    for tick in range(int((SECONDS + WINDOW_S + 5) / TICK_S)):
        fleet.now = begin + tick * TICK_S
        if tick % 10 == 0:
            hear_all(fleet)
        fault(fleet, fleet.now - begin - FAULT_AT_S)
        if tick * TICK_S < SECONDS:
            callers += arrive(fleet, len(callers))
        ask(fleet, callers, rng)
        move(fleet)
    check_at_most_once(fleet, callers)
    return callers


def check_at_most_once(fleet: AnsweringFleet, callers: list[Caller]) -> None:
    """Count each caller's key and ticket together: they are one action."""
    runs: Counter[int] = Counter()
    for claim, count in fleet.executions.items():
        runs[fleet.callers[claim].number] += count
    assert all(count == 1 for count in runs.values()), "an action ran twice"
    assert all(runs[each.number] for each in callers if each.outcome == "run")


def arrive(fleet: AnsweringFleet, number: int) -> list[Caller]:
    arrived = [
        Caller(index, KINDS[index % 3], fleet.now, fleet.now)
        for index in range(number, number + ACTIONS_PER_TICK)
    ]
    for caller in arrived:
        caller.keyed = caller.kind != TICKET
    fleet.callers.update({caller.claim: caller for caller in arrived})
    return arrived


def ask(fleet: AnsweringFleet, callers: list[Caller], rng: random.Random) -> None:
    for caller in callers:
        if caller.outcome or caller.ask_at > fleet.now:
            continue
        if fleet.now > caller.first_at + WINDOW_S:
            fleet.end(caller, Run.UNKNOWN.value)
            continue
        caller.uncertain |= caller.asked
        caller.asked = True
        caller.ask_at = fleet.now + RESEND_S
        host = rng.choice([h for h in HOSTS if fleet.processes[h].alive])
        if caller.keyed:
            fleet.read(host, f"key-{caller.number}", "", b"body")
            continue
        caller.ticket = caller.ticket or fleet.issue(host, caller.number)
        if caller.ticket:
            fleet.read(host, "", caller.ticket, b"body")


def move(fleet: AnsweringFleet) -> None:
    """Let one tick's work be done: a target takes a tick to run an action."""
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


def hear_all(fleet: Fleet) -> None:
    for listener in HOSTS:
        for speaker in HOSTS:
            fleet.hear(listener, speaker)


def at(
    seconds: float, step: Callable[[AnsweringFleet], object]
) -> Callable[[AnsweringFleet, float], None]:
    """Make a step happen once, ``seconds`` after the failure's start."""

    def check(fleet: AnsweringFleet, since: float) -> None:
        if abs(since - seconds) < TICK_S / 2:
            step(fleet)

    return check


def all_of(
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


def leave(fleet: AnsweringFleet) -> None:
    """Leave as a drained host does: no claim is in flight any more."""
    fleet.leave("h1")
    for index in range(len(fleet.handovers)):
        fleet.deliver_handover(index)


def fetch(fleet: AnsweringFleet) -> None:
    hear_all(fleet)
    fleet.fetch_handover("h1", lost=False)


def set_pause(paused: bool) -> Callable[[AnsweringFleet], None]:
    def step(fleet: AnsweringFleet) -> None:
        fleet.processes["h1"].paused = paused

    return step


def cut_off(fleet: AnsweringFleet) -> None:
    fleet.cut = {frozenset(("h1", other)) for other in HOSTS if other != "h1"}


def heal(fleet: AnsweringFleet) -> None:
    fleet.cut = set()


def change_issuers(fleet: AnsweringFleet) -> None:
    """Replace h1 by h4 among the issuers, in force everywhere at once."""
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
    "none": all_of(),
    "owner killed, back after 5 s": all_of(at(0, kill), at(5, start)),
    "owner killed for good": all_of(at(0, kill)),
    "owner restarted, handed over": all_of(
        at(0, leave), at(1, kill), at(5, start), at(5.5, fetch)
    ),
    "owner restarted, handover lost": all_of(at(0, leave), at(1, kill), at(5, start)),
    "owner cut off for 30 s": all_of(at(0, cut_off), at(30, heal)),
    "owner paused for 15 s": all_of(at(0, set_pause(True)), at(15, set_pause(False))),
    "issuers changed": all_of(at(0, change_issuers), renew_releases),
}


def print_row(name: str, callers: list[Caller]) -> None:
    for kind in KINDS:
        group = [caller for caller in callers if caller.kind == kind]
        outcomes = Counter(caller.outcome for caller in group)
        waits = sorted(caller.ended_at - caller.first_at for caller in group)
        shares = " ".join(
            f"{run.value} {outcomes[run.value] / len(group):7.2%}" for run in Run
        )
        back = sum(caller.came_back for caller in group) / len(group)
        print(
            f"{name:31s} {kind:16s} {shares} told to come back {back:6.2%}"
            f" p99 {waits[int(len(waits) * 0.99)]:5.1f} s"
        )


def main() -> None:
    """Print one row for each failure and kind of action."""
    print(f"seed {SEED}, {SECONDS * ACTIONS_PER_TICK / TICK_S:.0f} actions each")
    for name, fault in FAULTS.items():
        print_row(name, run(fault))


if __name__ == "__main__":
    main()
