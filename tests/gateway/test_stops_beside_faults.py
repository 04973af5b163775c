"""Planned stops of several hosts at once, and of one whose links to targets are cut."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.gateway.process import drain
from standins.rates import run_at_rate
from standins.site import make_route
from tests.gateway.test_end_of_drain import (
    GRACE_S,
    HEADERS,
    RATE_PER_S,
    SLOW_S,
    STOP_AFTER_S,
    SlowingTarget,
)
from tests.gateway.test_fleet import wait_until_live
from tests.gateway.test_unreachable_targets import HOWS, Link, Links, use_links

if TYPE_CHECKING:
    from lycheepath.gateway.node import GatewayNode
    from standins.site import Answer, Site

# Time from the signal until the links are cut.
CUT_AFTER_S = 0.5


@dataclass
class Stop:
    """Hosts that are told to end while callers ask them in turn."""

    site: Site
    slowing: SlowingTarget
    nodes: list[GatewayNode]
    answers: dict[str, Answer] = field(default_factory=dict)

    async def ask(self, number: int) -> None:
        name = f"r{number}"
        node = self.nodes[number % len(self.nodes)]
        try:
            answer = await self.site.ask(node, b"POST", "/books/1", b"x", name, HEADERS)
        except OSError:
            return
        self.answers[name] = answer

    async def end(self, node: GatewayNode) -> None:
        await drain(node)
        self.site.stop_gateway(node)

    async def run(self, slow_s: float) -> None:
        """Ask at a steady rate from before the stop until all hosts have ended."""
        async with trio.open_nursery() as nursery:
            seconds = STOP_AFTER_S + GRACE_S + 0.5
            nursery.start_soon(run_at_rate, RATE_PER_S, seconds, self.ask)
            await trio.sleep(STOP_AFTER_S)
            self.slowing.answer_s = slow_s
            for node in self.nodes:
                nursery.start_soon(self.end, node)

    def check(self) -> None:
        """Check that what targets received was answered, and not as not run."""
        received = self.slowing.seen_at
        assert len(received) >= 0.9 * RATE_PER_S * STOP_AFTER_S
        unanswered = [name for name in received if not self.answers[name].whole]
        assert not unanswered, (len(unanswered), len(received))
        assert not [name for name in received if self.answers[name].status == 503]


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
async def test_hosts_that_stop_together_beside_slow_targets_leave_nothing_unanswered(
    site: Site, zone: str
) -> None:
    site.bounds = {"grace_s": GRACE_S}
    slowing = SlowingTarget()
    for _ in range(2):
        await site.add_target("books", slowing.behave, zone, slots=64)
    site.configure(make_route("books", "unsafe", timeout_ms=6000))
    nodes = [await site.start_gateway(f"east-{n}") for n in range(2)]
    nodes.append(await site.start_gateway("west", "west-a"))
    await wait_until_live(*nodes)
    stop = Stop(site, slowing, nodes)
    await stop.run(SLOW_S)
    stop.check()


@pytest.mark.parametrize(
    ("how", "hosts"), [*((how, 1) for how in HOWS), ("hang", 2), ("refuse", 2)]
)
async def test_stop_of_a_host_that_loses_its_targets_leaves_nothing_unanswered(
    site: Site, monkeypatch: pytest.MonkeyPatch, how: str, hosts: int
) -> None:
    site.bounds = {"grace_s": GRACE_S}
    slowing = SlowingTarget()
    targets = [
        await site.add_target("books", slowing.behave, slots=64) for _ in range(3)
    ]
    site.configure(make_route("books", "unsafe", timeout_ms=6000))
    nodes = [await site.start_gateway(f"east-{n}") for n in range(hosts)]
    Link.nursery = site.nursery
    links = Links()
    use_links(nodes[0], links, monkeypatch)
    await wait_until_live(*nodes)
    stop = Stop(site, slowing, nodes[:1])

    async def cut() -> None:
        await trio.sleep(STOP_AFTER_S + CUT_AFTER_S)
        links.cut(nodes[0], targets, how)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cut)
        await stop.run(slow_s=0.3)
    stop.check()
