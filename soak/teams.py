"""
The teams of a run, their keys, and the load that they cause.

The first two teams have limits. They send about half of them, and the first one floods
for a part of the run. The others have none and send what callers send in any run. The
operator replaces keys again and again, also while hosts are cut off from the store::

    book = TeamBook(teams=4, seed=7)
    book.replace_key("team-2", time.monotonic())
    fleet.configure()
"""

from __future__ import annotations

import hashlib
import math
import random
import time
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from .answers import RequestKind
from .callers import Caller
from .evidence import AppliedFault
from .plan import Disturbance, FaultKind

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .callers import Outcome
    from .fleet import HostProcess
    from .run import Run

# Teams with a limit, and the smallest number of teams in a run: callers of plain load
# need one without a limit.
LIMITED_TEAMS = 2
MIN_TEAMS = LIMITED_TEAMS + 1
# Limit of the limited teams, in tokens. In a window of 8 s the flood asks for 1.6 million,
# of which 610,000 may run.
RATE_PER_S = 40_000.0
BURST = 80_000.0
# Cost of a request that doesn't state its tokens, and the share of such requests.
PLAIN_TOKENS = 3000
PLAIN_SHARE = 0.1
# Range of the tokens of a prompt and of an answer; a request has 3,000 on average.
PROMPT_TOKENS = (1000, 4000)
ANSWER_TOKENS = (100, 900)
# What the limited teams send, as parts of their limits, and the period of the flood as
# parts of the time in which faults begin.
STEADY_PART = 0.5
FLOOD_PART = 5.0
FLOOD_PERIOD = (0.3, 0.7)
FLOOD_CALLERS_PER_HOST = 3
# Usual time in which a request of a limited team is answered.
ANSWER_S = 0.04
KEYS_PER_TEAM = 2
# Time within which all hosts know a new key, and none serves one that was taken away.
KEY_DEADLINE_S = 5.0
# Pause between two changes of keys, and the time for which keys that were taken away
# are still sent.
CHANGE_INTERVAL_S = (1.0, 3.0)
SENT_AFTER_S = 15.0
# Share of the changes while hosts are cut off from the store, the share of hosts, and for
# how long before and after the change.
CUT_SHARE = 0.5
CUT_HOSTS_SHARE = 0.34
CUT_BEFORE_S = 0.5
CUT_AFTER_S = 8.0
CUT_KINDS = (Disturbance.SILENCE, Disturbance.CUT_DOWN, Disturbance.RESET)
# Largest pause between requests of one caller with wrong credentials, and the tokens that
# they state: few, as those with a key that was just added or removed count for its team.
ODD_PAUSE_S = 0.5
ODD_TOKENS = (10, 10)
UNKNOWN_KEYS = 3


@dataclass(frozen=True, slots=True)
class TeamFacts:
    """A team and its limit in tokens; ``rate`` is 0 without one."""

    name: str
    rate: float
    burst: float
    plain_tokens: int


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key of a team, and the times of the writes that added and removed it."""

    key: str
    team: str
    added_at: float
    removed_at: float = math.inf

    def is_settled(self, at: float) -> bool:
        """Whether it is in force at all hosts at a time, and not removed."""
        return self.added_at + KEY_DEADLINE_S <= at < self.removed_at


@dataclass(frozen=True, slots=True)
class TeamRecords:
    """
    What a run knows about its teams, for the checks.

    ``shown`` describes where the logs show a key. ``unknown`` are keys that are of no
    team.
    """

    teams: tuple[TeamFacts, ...]
    keys: tuple[IssuedKey, ...]
    unknown: frozenset[str] = frozenset()
    shown: tuple[str, ...] = ()


class TeamBook:
    """State: the teams of a run and all keys that they ever had."""

    def __init__(self, teams: int, seed: int) -> None:
        if teams < MIN_TEAMS:
            raise ValueError(f"a run with teams needs {MIN_TEAMS} or more")
        self.teams = tuple(
            TeamFacts(
                f"team-{number}",
                RATE_PER_S if number < LIMITED_TEAMS else 0.0,
                BURST if number < LIMITED_TEAMS else 0.0,
                PLAIN_TOKENS,
            )
            for number in range(teams)
        )
        self._seed = seed
        self._made = 0
        self.unknown = tuple(self._make_key() for _ in range(UNKNOWN_KEYS))
        # Keys of the first version are in force before the first request.
        self.keys = [
            IssuedKey(self._make_key(), team.name, -math.inf)
            for team in self.teams
            for _ in range(KEYS_PER_TEAM)
        ]

    @property
    def open_teams(self) -> tuple[TeamFacts, ...]:
        """The teams without a limit."""
        return self.teams[LIMITED_TEAMS:]

    def write_tenants(self) -> list[dict[str, Any]]:
        """Return the teams as the operator writes them."""
        return [
            {
                "name": team.name,
                "api_keys": [each.key for each in self._list_current(team.name)],
                "unit": "tokens",
                "rate_per_s": team.rate,
                "burst": team.burst,
                "plain_tokens": team.plain_tokens,
            }
            for team in self.teams
        ]

    def replace_key(self, team: str, now: float) -> bool:
        """
        Take away a team's oldest key for a new one, for the next version.

        Changes nothing and returns False unless another one stays in force.
        """
        current = self._list_current(team)
        if not any(key.is_settled(now) for key in current[1:]):
            return False
        self.keys[self.keys.index(current[0])] = replace(current[0], removed_at=now)
        self.keys.append(IssuedKey(self._make_key(), team, now))
        return True

    def identify(self, team: TeamFacts, draw: random.Random, outcome: Outcome) -> None:
        """Let a request carry a key in force of a team, and state its tokens."""
        now = time.monotonic()
        keys = [key for key in self._list_current(team.name) if key.is_settled(now)]
        outcome.key = draw.choice(keys).key
        outcome.refusable = team.rate > 0.0
        outcome.headers = (f"Authorization: Token {outcome.key}",)
        if outcome.parts or draw.random() < PLAIN_SHARE:
            return
        prompt, answer = draw.randint(*PROMPT_TOKENS), draw.randint(*ANSWER_TOKENS)
        outcome.tokens = prompt + answer
        outcome.headers += (f"Token-Usage: {prompt},{answer}",)

    def identify_oddly(self, draw: random.Random, outcome: Outcome) -> None:
        """Let a request carry a wrong key, none, or somebody else's name."""
        outcome.refusable = True
        now = time.monotonic()
        removed = [
            key.key
            for key in self.keys
            if key.removed_at <= now < key.removed_at + SENT_AFTER_S
        ]
        fresh = [
            key.key
            for key in self.keys
            if key.added_at <= now < key.added_at + KEY_DEADLINE_S
        ]
        kind = draw.choice(
            ("removed", "removed", "fresh", "unknown", "none", "malformed", "forged")
        )
        if kind == "forged":
            # Its key is in force, so it has to be served.
            self.identify(draw.choice(self.open_teams), draw, outcome)
            forged = f"Tenant: {draw.choice(self.teams).name}"
            outcome.headers += (forged,) * draw.choice((1, 2))
            return
        if kind == "none":
            outcome.headers = (f"Tenant: {self.teams[-1].name}",)
            return
        if kind == "malformed":
            key = draw.choice(self._list_current(self.teams[-1].name)).key
            outcome.headers = (f"Authorization: Bearer {key}",)
            return
        choices = {"removed": removed, "fresh": fresh}.get(kind) or self.unknown
        outcome.key, outcome.tokens = draw.choice(choices), sum(ODD_TOKENS)
        usage = "Token-Usage: {},{}".format(*ODD_TOKENS)
        outcome.headers = (f"Authorization: Token {outcome.key}", usage)

    def make_records(self, shown: Sequence[str]) -> TeamRecords:
        """Return the records for the checks."""
        return TeamRecords(
            self.teams, tuple(self.keys), frozenset(self.unknown), tuple(shown)
        )

    def _list_current(self, team: str) -> list[IssuedKey]:
        return [
            each
            for each in self.keys
            if each.team == team and math.isinf(each.removed_at)
        ]

    def _make_key(self) -> str:
        self._made += 1
        text = f"key/{self._seed}/{self._made}"
        return "k" + hashlib.sha256(text.encode()).hexdigest()[:23]


def identify_callers(run: Run, callers: Sequence[Caller]) -> None:
    """Give each caller of a run a team without a limit."""
    book = run.fleet.teams
    if book is None:
        return
    for number, caller in enumerate(callers):
        team = book.open_teams[number % len(book.open_teams)]
        draw = random.Random(f"team/{run.seed}/{number}")
        caller.identify = partial(book.identify, team, draw)


def identify_probe(run: Run, outcome: Outcome) -> None:
    """Let a request of the run itself carry the key of a team without a limit."""
    book = run.fleet.teams
    if book is not None:
        draw = random.Random(f"probe/{run.seed}/{outcome.id}")
        book.identify(book.open_teams[0], draw, outcome)


async def send_for_teams(run: Run, book: TeamBook, seconds: float) -> None:
    """Send the load of the limited teams and odd requests until the faults are off."""
    hosts = len(run.fleet.hosts)
    started = time.monotonic()

    def is_sound() -> bool:
        return not run.fleet.faults_off_file.exists()

    def is_flooding() -> bool:
        return is_sound() and time.monotonic() < started + FLOOD_PERIOD[1] * seconds

    async with trio.open_nursery() as nursery:
        for number, team in enumerate(book.teams[:LIMITED_TEAMS]):
            pause_s = _find_pause(team, STEADY_PART, hosts)
            for caller in _make_callers(
                run, book, f"steady/{number}", hosts, pause_s, team
            ):
                nursery.start_soon(caller.run, is_sound)
        for caller in _make_callers(run, book, "odd", hosts, ODD_PAUSE_S):
            nursery.start_soon(caller.run, is_sound)
        await trio.sleep(FLOOD_PERIOD[0] * seconds)
        team = book.teams[0]
        callers = FLOOD_CALLERS_PER_HOST * hosts
        pause_s = _find_pause(team, FLOOD_PART, callers)
        for caller in _make_callers(run, book, "flood", callers, pause_s, team):
            nursery.start_soon(caller.run, is_flooding)


async def change_keys(run: Run, book: TeamBook, seconds: float) -> None:
    """Replace keys again and again while faults begin."""
    draw = random.Random(f"keys/{run.seed}")
    started = time.monotonic()
    async with trio.open_nursery() as nursery:
        while time.monotonic() < started + seconds:
            await trio.sleep(draw.uniform(*CHANGE_INTERVAL_S))
            team = draw.choice(book.teams).name
            hosts = run.fleet.hosts
            number = max(1, round(len(hosts) * CUT_HOSTS_SHARE))
            if draw.random() < CUT_SHARE:
                for host in draw.sample(hosts, number):
                    kind = draw.choice(CUT_KINDS)
                    nursery.start_soon(_cut_from_store, run, host, kind)
                await trio.sleep(CUT_BEFORE_S)
            if book.replace_key(team, time.monotonic()):
                run.fleet.configure()


async def _cut_from_store(run: Run, host: HostProcess, kind: Disturbance) -> None:
    since = time.monotonic()
    host.store_link.disturb(kind, 0.0)
    await trio.sleep(CUT_BEFORE_S + CUT_AFTER_S)
    host.store_link.heal()
    fault = FaultKind.DISTURB_STORE_LINK.value
    run.applied_faults.append(AppliedFault(fault, host.name, since, time.monotonic()))


def _find_pause(team: TeamFacts, part: float, callers: int) -> float:
    """Return the largest pause with which callers send a part of a team's limit."""
    mean_tokens = (sum(PROMPT_TOKENS) + sum(ANSWER_TOKENS)) / 2
    per_s = team.rate * part / mean_tokens
    return 2.0 * max(0.0, callers / per_s - ANSWER_S)


def _make_callers(
    run: Run,
    book: TeamBook,
    name: str,
    number: int,
    pause_s: float,
    team: TeamFacts | None = None,
) -> list[Caller]:
    """Return callers of a team, or of those with odd requests."""
    endpoints = [host.endpoints for host in run.fleet.hosts]
    callers = []
    for each in range(number):
        draw = random.Random(f"{name}/{run.seed}/{each}")
        identify: Callable[[Outcome], None] = partial(book.identify_oddly, draw)
        if team is not None:
            identify = partial(book.identify, team, draw)
        callers.append(
            Caller(
                run.caller_log,
                endpoints,
                endpoints[each % len(endpoints)],
                random.Random(f"{name}/{run.seed}/{each}/work"),
                kinds=(RequestKind.SAFE, RequestKind.UNSAFE),
                max_pause_s=pause_s,
                identify=identify,
            )
        )
    return callers
