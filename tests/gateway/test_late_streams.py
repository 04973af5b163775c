"""
Streams that reach a host after callers have heard that it stops.

Once the first event has been passed on, such a stream can end only whole or broken off.
"""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.core.placement.draining import DRAIN_NOTICE_S
from lycheepath.gateway.process import drain
from standins.pausing_target import STREAM_HEAD
from standins.site import Answer, Site, make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from lycheepath.gateway.node import GatewayNode
    from standins.site import Seen

GRACE_S = 8.0
EVENTS = 9
EVENT_S = 0.05
SILENT_S = 1.4
# Events before which a target is silent for a moment, three times and once.
OFTEN, ONCE = (2, 4, 6), (4,)
HEADERS = {"deadline-ms": "6000"}
LATE_S = (0.3, 0.6, 0.9, 1.2)
STREAM = "".join(f"id: {n}\ndata: x\n\n" for n in range(EVENTS)).encode()


@dataclass
class SilentTarget:
    """A sound target of streams that is silent before the events in ``silent_before``."""

    silent_before: tuple[int, ...]
    seen: set[str] = field(default_factory=set)

    async def behave(self, seen: Seen, stream: trio.SocketStream) -> None:
        request_id = seen.headers["request-id"]
        self.seen.add(request_id)
        await stream.send_all(STREAM_HEAD.format(request_id).encode())
        for number in range(EVENTS):
            await trio.sleep(SILENT_S if number in self.silent_before else EVENT_S)
            event = f"id: {number}\ndata: x\n\n".encode()
            await stream.send_all(b"%x\r\n%b\r\n" % (len(event), event))
        await stream.send_all(b"0\r\n\r\n")


async def stay_silent(seen: Seen, stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def ask_late(
    site: Site, asked: GatewayNode, stopping: GatewayNode
) -> dict[str, Answer]:
    """Stop a host; return the answers to streams sent when callers know of the stop."""
    answers: dict[str, Answer] = {}

    async def ask(late_s: float) -> None:
        await trio.sleep(DRAIN_NOTICE_S + late_s)
        name = f"late-{late_s}"
        answers[name] = Answer()
        with suppress(OSError):
            answers[name] = await site.ask(
                asked, b"POST", "/books/1", b"x", name, HEADERS
            )

    async def stop() -> None:
        await drain(stopping)
        site.stop_gateway(stopping)

    async def keep_busy() -> None:
        # A host without requests would end sooner.
        with suppress(OSError):
            await site.ask(stopping, b"POST", "/slow/1", b"x", "slow", HEADERS)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_busy)
        await trio.sleep(0.1)
        nursery.start_soon(stop)
        for late_s in LATE_S:
            nursery.start_soon(ask, late_s)
    return answers


async def start_hosts(site: Site, hosts: int, zone: str) -> list[GatewayNode]:
    site.bounds = {"grace_s": GRACE_S}
    await site.add_target("slow", stay_silent, zone)
    site.configure(
        make_route("books", "streaming", timeout_ms=6000, gap_aim_ms=400),
        make_route("slow", "unsafe", "/slow/", timeout_ms=6000),
    )
    nodes = [await site.start_gateway(f"east-{number}") for number in range(hosts)]
    if zone == "west-a":
        nodes.append(await site.start_gateway("west", zone))
    await wait_until_live(*nodes)
    return nodes


@pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, issue 55")
@pytest.mark.parametrize(
    ("hosts", "zone", "stops"),
    [
        pytest.param(1, "east-a", "first", id="alone"),
        pytest.param(2, "east-a", "first", id="beside-another"),
        pytest.param(1, "west-a", "first", id="first-of-two-regions"),
        pytest.param(1, "west-a", "last", id="relayed-to"),
    ],
)
async def test_late_stream_that_outlasts_its_estimate_is_not_broken_off(
    site: Site, hosts: int, zone: str, stops: str
) -> None:
    target = SilentTarget(OFTEN)
    await site.add_target("books", target.behave, zone, slots=64)
    nodes = await start_hosts(site, hosts, zone)
    answers = await ask_late(site, nodes[0], nodes[0 if stops == "first" else -1])
    broken_off = [name for name, answer in answers.items() if not answer.whole]
    assert not broken_off
    assert all(
        answer.body == STREAM for answer in answers.values() if answer.status == 200
    )
    not_run = {name for name, answer in answers.items() if answer.status == 503}
    assert not not_run & target.seen


@pytest.mark.parametrize("silent_before", [(), ONCE], ids=["steady", "silent-once"])
async def test_late_stream_is_served_where_no_other_host_is_ready(
    site: Site, silent_before: tuple[int, ...]
) -> None:
    target = SilentTarget(silent_before)
    await site.add_target("books", target.behave, slots=64)
    nodes = await start_hosts(site, 1, "east-a")
    answers = await ask_late(site, nodes[0], nodes[0])
    assert [answer.status for answer in answers.values()] == [200] * len(LATE_S)
    assert all(answer.body == STREAM for answer in answers.values())
