"""
A target that states a request rate in its answers, and the check that it is kept.

The check counts, in each window, the requests of the hosts that had
passed on an answer with the limit ``NOTICE_S`` before or earlier::

    limited = LimitedTarget(rate=1.0)
    target = await site.add_target("books", limited.answer)
    load = await ask_steadily(site, nodes, per_second=30.0, seconds=8.0)
    assert not limited.find_excess(load.told_at)
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import trio

from .rates import run_at_rate
from .site import Answer, Seen, Site, answer_text
from .stated_limits import LIMIT_HEADER, NOTICE_S, Excess, find_excess

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lycheepath.gateway.node import GatewayNode


@dataclass(frozen=True)
class Arrival:
    """A request that reached the target, from the host that its caller asked."""

    at: float
    host: str


@dataclass
class LimitedTarget:
    """
    The behaviour of a target; None is no limit.

    ``text`` overrides the header's value. Each answer takes ``work_s``.
    """

    rate: float | None
    text: str | None = None
    work_s: float = 0.01
    arrivals: list[Arrival] = field(default_factory=list)
    changes: list[tuple[float, float | None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.changes.append((float("-inf"), self.rate))

    async def answer(self, seen: Seen, stream: trio.SocketStream) -> None:
        """Answer one request, with the limit in force when the answer begins."""
        host = seen.headers["request-id"].rpartition("/")[0]
        self.arrivals.append(Arrival(trio.current_time(), host))
        await trio.sleep(self.work_s)
        text = None if self.rate is None else f"{self.rate:g}"
        text = text if self.text is None else self.text
        headers = [] if text is None else [f"{LIMIT_HEADER}: {text}"]
        await answer_text(b"done", 200, *headers)(seen, stream)

    def set_rate(self, rate: float | None) -> None:
        """State another limit, or none, from now on."""
        self.changes.append((trio.current_time(), rate))
        self.rate = rate

    def find_excess(self, told_at: Mapping[str, float]) -> list[Excess]:
        """Return the windows with more requests than allowed."""
        times = [
            arrival.at
            for arrival in self.arrivals
            if told_at.get(arrival.host, float("inf")) + NOTICE_S <= arrival.at
        ]
        return list(find_excess(times, self.changes))

    def count_since(self, at: float) -> int:
        """Return the number of requests that arrived after a time."""
        return sum(arrival.at >= at for arrival in self.arrivals)


@dataclass
class Load:
    """What callers got: the answers, and when each host passed on a limit first."""

    answers: list[Answer] = field(default_factory=list)
    told_at: dict[str, float] = field(default_factory=dict)

    def count_statuses(self) -> Counter[int]:
        """Return the number of answers with each status."""
        return Counter(answer.status for answer in self.answers)


async def ask_steadily(
    site: Site,
    nodes: Sequence[GatewayNode],
    per_second: float,
    seconds: float,
    path: str = "/books/1",
    load: Load | None = None,
) -> Load:
    """Send requests to the hosts in turn at a steady rate; return the answers."""
    load = load or Load()

    async def ask(number: int) -> None:
        node = nodes[number % len(nodes)]
        host = node.settings.host
        request_id = f"{host}/{number}-{trio.current_time():.4f}"
        answer = await site.ask(node, b"POST", path, b"x", request_id)
        load.answers.append(answer)
        if LIMIT_HEADER in answer.headers:
            load.told_at.setdefault(host, trio.current_time())

    await run_at_rate(per_second, seconds, ask)
    return load
