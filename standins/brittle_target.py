"""
Targets that state that they are brittle, and fall over when they turn too much away.

Each has some slots and a few places to wait. From ``NOTICE_S`` after the service began
to state it, one that turns away more than ``limit`` requests in a second falls over,
and is back after ``DOWN_S`` as a new instance::

    fleet = BrittleFleet(site, "books", count=6, limit=3)
    await nursery.start(fleet.run)
    answers = await fleet.load(nodes, factor=1.5, seconds=12.0)
    assert len(fleet.falls) <= fleet.count_allowed_falls()
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import trio

from .rates import run_at_rate
from .site import FakeTarget, Seen, Site, answer_text

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .host_processes import Host

BRITTLE_HEADER = "Server-Brittle"
# Time until falls count; the targets let many wait before that.
NOTICE_S = 3.0
EARLY_PLACES = 100
# Time until a target that fell over is back, and for which its entry outlives it.
DOWN_S = 3.0
LAPSE_S = 1.5
# Falls that are allowed: a number, and a share of the targets.
ALLOWED_FALLS = 2
ALLOWED_SHARE = 0.1


@dataclass
class BrittleFleet:
    """
    State: the targets of one service, their falls, and what they served.

    ``text`` overrides the header's value; ``limit`` None states nothing. Falls are
    those from ``NOTICE_S`` after the start.
    """

    site: Site
    service: str
    count: int = 6
    slots: int = 4
    places: int = 1
    limit: int | None = 3
    text: str | None = None
    work_s: float = 0.3
    zone: str = "east-a"
    falls: list[float] = field(default_factory=list)
    served_at: list[float] = field(default_factory=list)
    turned_away: int = 0
    started_at: float = 0.0
    ended_at: float = 0.0

    @property
    def rate(self) -> float:
        """The requests per second that all targets together can serve."""
        return self.count * self.slots / self.work_s

    def count_allowed_falls(self) -> float:
        """Return how many falls the rule allows in one such time."""
        return ALLOWED_FALLS + ALLOWED_SHARE * self.count

    def is_noticed(self) -> bool:
        """Whether the hosts have had the time to learn that the targets are brittle."""
        return trio.current_time() >= self.started_at + NOTICE_S

    def find_served_share(self, factor: float) -> float:
        """Return the share served of what could be, while falls count."""
        since = self.started_at + NOTICE_S
        count = sum(since <= at <= self.ended_at for at in self.served_at)
        possible = (self.ended_at - since) * self.rate * min(1.0, factor)
        return count / possible

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the targets until cancelled."""
        self.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(self.count):
                await nursery.start(_BrittleTarget(self, number).run)
            task_status.started()

    async def load(
        self,
        nodes: Sequence[Host],
        factor: float,
        seconds: float,
        path: str = "/books/1",
    ) -> Counter[int]:
        """Ask the hosts in turn at a multiple of what can be served; count statuses."""
        statuses: Counter[int] = Counter()

        async def ask(number: int) -> None:
            request_id = f"{number}-{trio.current_time():.4f}"
            node = nodes[number % len(nodes)]
            answer = await self.site.ask(node, b"POST", path, b"x", request_id)
            statuses[answer.status] += 1

        self.ended_at = trio.current_time() + seconds
        await run_at_rate(factor * self.rate, seconds, ask)
        return statuses


class _BrittleTarget:
    """State: one target through its lives."""

    def __init__(self, fleet: BrittleFleet, number: int) -> None:
        self._fleet = fleet
        self._number = number
        self._life: trio.CancelScope | None = None
        self._refused_at: deque[float] = deque()
        self._slots = trio.CapacityLimiter(fleet.slots)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        fleet = self._fleet
        life = 0
        while True:
            life += 1
            name = f"b{self._number}-{life}"
            target = FakeTarget(name, fleet.service, fleet.zone, "", self._answer)
            self._refused_at.clear()
            self._slots = trio.CapacityLimiter(fleet.slots)
            async with trio.open_nursery() as nursery:
                self._life = nursery.cancel_scope
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                ip, port = listeners[0].socket.getsockname()
                target.address = f"{ip}:{port}"
                nursery.start_soon(
                    partial(
                        trio.serve_listeners,
                        target.serve,
                        listeners,
                        handler_nursery=nursery,
                    )
                )
                fleet.site.announce(target, slots=fleet.slots, seq=life)
                if life == 1:
                    task_status.started()
            await trio.sleep(LAPSE_S)
            fleet.site.store.remove(f"servers/{name}")
            await trio.sleep(DOWN_S - LAPSE_S)

    async def _answer(self, seen: Seen, stream: trio.SocketStream) -> None:
        fleet = self._fleet
        places = fleet.places if fleet.is_noticed() else EARLY_PLACES
        waiting = self._slots.statistics().tasks_waiting
        if self._slots.available_tokens <= 0 and waiting >= places:
            await self._turn_away(seen, stream)
            return
        async with self._slots:
            await trio.sleep(fleet.work_s)
        fleet.served_at.append(trio.current_time())
        await answer_text(b"done", 200, *self._make_headers())(seen, stream)

    async def _turn_away(self, seen: Seen, stream: trio.SocketStream) -> None:
        fleet = self._fleet
        now = trio.current_time()
        fleet.turned_away += 1
        self._refused_at.append(now)
        while self._refused_at[0] <= now - 1.0:
            self._refused_at.popleft()
        headers = ["Not-Executed: 1", *self._make_headers()]
        await answer_text(b"full", 503, *headers)(seen, stream)
        limit = fleet.limit
        if limit is None or not fleet.is_noticed() or self._life is None:
            return
        if len(self._refused_at) > limit and not self._life.cancel_called:
            fleet.falls.append(now)
            self._life.cancel()

    def _make_headers(self) -> list[str]:
        fleet = self._fleet
        if fleet.text is not None:
            return [f"{BRITTLE_HEADER}: {fleet.text}"]
        return [] if fleet.limit is None else [f"{BRITTLE_HEADER}: {fleet.limit}"]
