"""
The end of a planned stop, while targets take longer than they used to.

Whatever was passed on gets a final answer, and what a target received isn't said to
have not run.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.core.placement.draining import DRAIN_NOTICE_S
from lycheepath.gateway.process import drain
from standins.pausing_target import (
    RESUMABLE,
    add_pausing_target,
    configure_routes,
    is_complete,
)
from standins.rates import run_at_rate
from standins.site import Answer, Site, answer_text, make_route
from standins.stream_service import StreamService
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from standins.site import Seen

GRACE_S = 5.0
RATE_PER_S = 20.0
STOP_AFTER_S = 1.0
FAST_S, SLOW_S = 0.05, 3.0
HEADERS = {"deadline-ms": "6000"}


@dataclass
class SlowingTarget:
    """A target whose answers take ``answer_s``."""

    answer_s: float = FAST_S
    seen_at: dict[str, float] = field(default_factory=dict)

    async def behave(self, seen: Seen, stream: trio.SocketStream) -> None:
        self.seen_at[seen.headers["request-id"]] = trio.current_time()
        await trio.sleep(self.answer_s)
        await answer_text(b"done")(seen, stream)


@pytest.mark.parametrize("hosts", [1, 2])
@pytest.mark.parametrize("zone", ["east-a", "west-a"])
async def test_drain_beside_targets_that_turn_slow_leaves_nothing_unanswered(
    site: Site, hosts: int, zone: str
) -> None:
    site.bounds = {"grace_s": GRACE_S}
    slowing = SlowingTarget()
    for _ in range(2):
        await site.add_target("books", slowing.behave, zone, slots=64)
    site.configure(make_route("books", "unsafe", timeout_ms=6000))
    node = await site.start_gateway("east-0")
    others = [await site.start_gateway(f"east-{n}") for n in range(1, hosts)]
    if zone == "west-a":
        others.append(await site.start_gateway("west", "west-a"))
    await wait_until_live(node, *others)
    answers: dict[str, Answer] = {}
    sent_at: dict[str, float] = {}

    async def ask(number: int) -> None:
        name = f"r{number}"
        try:
            sent_at[name] = trio.current_time()
            answer = await site.ask(node, b"POST", "/books/1", b"x", name, HEADERS)
        except OSError:
            return
        answers[name] = answer

    async def stop() -> None:
        await trio.sleep(STOP_AFTER_S)
        slowing.answer_s = SLOW_S
        await drain(node)
        site.stop_gateway(node)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop)
        await run_at_rate(RATE_PER_S, STOP_AFTER_S + GRACE_S + 0.5, ask)
    statuses = [answer.status for answer in answers.values()]
    unanswered = [name for name in slowing.seen_at if not answers[name].whole]
    assert not unanswered, (len(unanswered), len(slowing.seen_at))
    not_run = [name for name, answer in answers.items() if answer.status == 503]
    assert not [name for name in not_run if name in slowing.seen_at]
    # What is taken once callers have heard of the stop is served.
    stopped_at = min(sent_at.values()) + STOP_AFTER_S
    late = [n for n in slowing.seen_at if sent_at[n] > stopped_at + DRAIN_NOTICE_S]
    assert all(answers[name].status == 200 for name in late), len(late)
    assert statuses.count(200) >= RATE_PER_S * (STOP_AFTER_S + 1.0)


async def test_request_relayed_to_a_host_whose_drain_ends_may_have_run(
    site: Site,
) -> None:
    site.bounds = {"grace_s": 2.0}
    slowing = SlowingTarget(answer_s=4.0)
    await site.add_target("books", slowing.behave, "west-a", slots=64)
    site.configure(make_route("books", "unsafe", timeout_ms=6000))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    answers: list[Answer] = []

    async def ask() -> None:
        path = "/books/1"
        answers.append(await site.ask(east, b"POST", path, b"x", "r1", headers=HEADERS))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.3)
        await drain(west)
        site.stop_gateway(west)
    assert list(slowing.seen_at) == ["r1"]
    assert (answers[0].status, answers[0].whole) == (502, True)
    assert b"this host ends" in answers[0].body


async def test_stream_that_outlasts_a_drain_is_cut_and_not_completed(
    site: Site,
) -> None:
    site.bounds = {"grace_s": 2.0}
    await StreamService(site, "books", events=60, event_s=0.1).add_target()
    site.configure(make_route("books", "streaming", timeout_ms=9000, gap_aim_ms=400))
    node = await site.start_gateway("east")
    answers: list[Answer] = []

    async def ask() -> None:
        answers.append(await site.ask(node, b"POST", "/books/1", b"x", headers=HEADERS))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.3)
        await drain(node)
        assert node.active_requests == 0
        site.stop_gateway(node)
    assert (answers[0].status, answers[0].whole) == (200, False)
    assert answers[0].body.count(b"data:") >= 10


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
async def test_late_stream_is_not_broken_off_by_a_silence_before_the_end(
    site: Site, zone: str
) -> None:
    site.bounds = {"grace_s": 6.0}
    target = await add_pausing_target(site, zone)
    configure_routes(site)
    nodes = [await site.start_gateway("east")]
    if zone == "west-a":
        nodes.append(await site.start_gateway("west", zone))
    await wait_until_live(*nodes)
    stopping = nodes[-1]
    answers: dict[str, Answer] = {}

    async def ask(number: int) -> None:
        name = f"r{number}"
        with suppress(OSError):
            answers[name] = await site.ask(
                nodes[0], b"POST", f"{RESUMABLE}1", b"x", name, HEADERS
            )

    async def stop() -> None:
        await drain(stopping)
        site.stop_gateway(stopping)

    async def pause() -> None:
        await trio.sleep(DRAIN_NOTICE_S + 1.4)
        await target.pause(2.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop)
        nursery.start_soon(pause)
        await run_at_rate(RATE_PER_S, DRAIN_NOTICE_S + 1.5, ask)
    broken_off = [a for a in answers.values() if a.status == 200 and not a.whole]
    assert not broken_off
    assert sum(map(is_complete, answers.values())) > DRAIN_NOTICE_S * RATE_PER_S / 2
