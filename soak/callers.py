"""
Callers: each asks for one thing after the other and notes what it got.

They learn the hosts from the directory, keep connections open until a host
closes them, and sometimes leave before their answer is there.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson
import trio

from standins.site import HOST, Answer, read_answer

from .answers import RequestKind, Work, sign, write_path

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

# What callers say that they wait; several times the routes' aim of 0.4 s.
DEADLINE_S = 3.0
# Callers stop waiting for an answer this long after their deadline.
PATIENCE_S = 2.0
# For a connection and for a directory's answer, as the platform's callers do.
CONNECT_S = 1.0
DIRECTORY_S = 1.0
# Between two requests of a caller at most, and before it looks for hosts again.
PAUSE_S = 0.05
# Of the requests, those whose caller leaves before the end, and after how long.
LEAVE_SHARE = 0.05
LEAVE_S = (0.01, 0.3)
# A kept connection is used for so many requests, then closed.
MOST_ON_CONNECTION = 20
SIZES = {
    RequestKind.SAFE: (10, 900, 60_000),
    RequestKind.UNSAFE: (10, 900),
    RequestKind.STREAM: (3, 20),
    RequestKind.RESUMED: (3, 20),
}


@dataclass(slots=True)
class Outcome:
    """
    What one request came to.

    Times are of the machine's monotonic clock, in seconds. ``answer`` has what
    came, with the status 0 if nothing did, and ``end`` how the exchange ended
    where that wasn't a complete answer.
    """

    id: str
    work: Work
    host: str
    sent_at: float
    route: str = "v0"
    answer: Answer = field(default_factory=Answer)
    end: str = ""
    left: bool = False
    ended_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Doors:
    """Where a caller gets in: a host's directory, and the link to the host."""

    host: str
    region: str
    zone: str
    directory: tuple[str, int]
    # The address that the directory names, and the proxy before it.
    named: str
    front: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Named:
    """What a directory answered, for the check of whom it names."""

    at: float
    by: str
    addresses: tuple[str, ...]


@dataclass(slots=True)
class Notebook:
    """State: all that the callers of a run have seen."""

    outcomes: list[Outcome] = field(default_factory=list)
    named: list[Named] = field(default_factory=list)
    sent: int = 0

    def next_id(self) -> str:
        """Return the id of a new request."""
        self.sent += 1
        return f"r{self.sent:06d}"


@dataclass(slots=True)
class Caller:
    """State of one caller: its random draws and its kept connection."""

    notebook: Notebook
    doors: Sequence[Doors]
    home: Doors
    random: random.Random
    stream: trio.SocketStream | None = None
    at: Doors | None = None
    used: int = 0

    async def run(self, goes_on: Callable[[], bool]) -> None:
        """Ask until told to stop."""
        while goes_on():
            kind = self.random.choice(list(RequestKind))
            work = Work(kind, self.random.choice(SIZES[kind]))
            leaves_after = None
            if self.random.random() < LEAVE_SHARE:
                leaves_after = self.random.uniform(*LEAVE_S)
            await self.ask(work, leaves_after)
            await trio.sleep(PAUSE_S * self.random.random())
        self.close()

    async def ask(self, work: Work, leaves_after: float | None = None) -> Outcome:
        """Send one request and note its outcome."""
        if not await self._connect():
            return Outcome("", work, "", time.monotonic(), end="no host")
        assert self.stream is not None
        assert self.at is not None
        request_id = self.notebook.next_id()
        outcome = Outcome(request_id, work, self.at.host, time.monotonic())
        self.notebook.outcomes.append(outcome)
        limit_s = DEADLINE_S + PATIENCE_S if leaves_after is None else leaves_after
        with trio.move_on_after(limit_s) as scope:
            await exchange(self.stream, outcome)
        if scope.cancelled_caught:
            outcome.left = leaves_after is not None
            outcome.end = "left" if outcome.left else "no answer in time"
        outcome.ended_at = time.monotonic()
        self.used += 1
        if not outcome.answer.kept or self.used >= MOST_ON_CONNECTION:
            self.close()
        return outcome

    def close(self) -> None:
        """Close the kept connection."""
        if self.stream is not None:
            self.stream.socket.close()
        self.stream, self.at, self.used = None, None, 0

    async def _connect(self) -> bool:
        """Have a connection; return False if no host takes one."""
        if self.stream is not None:
            return True
        addresses = await self._resolve()
        self.random.shuffle(addresses)
        by_name = {doors.named: doors for doors in self.doors}
        for address in addresses[:3]:
            doors = by_name[address]
            with trio.move_on_after(CONNECT_S):
                try:
                    self.stream = await trio.open_tcp_stream(*doors.front)
                except OSError:
                    continue
                self.at = doors
                return True
        await trio.sleep(PAUSE_S)
        return False

    async def _resolve(self) -> list[str]:
        """Ask up to three directories, those of the caller's region first."""
        near = [d for d in self.doors if d.region == self.home.region]
        far = [d for d in self.doors if d.region != self.home.region]
        self.random.shuffle(near)
        self.random.shuffle(far)
        for doors in (near + far)[:3]:
            with trio.move_on_after(DIRECTORY_S):
                addresses = await ask_directory(doors, self.home)
                if addresses:
                    now = time.monotonic()
                    self.notebook.named.append(Named(now, doors.host, addresses))
                    return list(addresses)
        return []


async def ask_directory(doors: Doors, home: Doors) -> tuple[str, ...]:
    """Return the addresses that a host's directory names; none if it fails."""
    path = f"/lycheepath/resolve?name={HOST}&region={home.region}&zone={home.zone}"
    try:
        stream = await trio.open_tcp_stream(*doors.directory)
        async with stream:
            await stream.send_all(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            answer = await read_answer(stream)
    except (OSError, trio.BrokenResourceError):
        return ()
    if not answer.whole or answer.status != 200:
        return ()
    return tuple(orjson.loads(answer.body)["addresses"])


async def exchange(stream: trio.SocketStream, outcome: Outcome) -> None:
    """Send a request and read its answer."""
    work = outcome.work
    body = b"x" * 40 if work.kind is RequestKind.UNSAFE else b""
    lines = [
        f"{'POST' if body else 'GET'} {write_path(work, outcome.route)} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {outcome.id}",
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode()
    try:
        await stream.send_all(head + body)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        outcome.end = "reset"
        return
    await read_answer(stream, outcome.answer)
    outcome.end = outcome.answer.end


def is_signed(outcome: Outcome) -> bool:
    """Whether an answer bears the signature of the request's target."""
    signature = outcome.answer.headers.get("response-signature")
    return signature == sign(outcome.id)
