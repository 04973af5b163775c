"""
Streams and large answers that a host begins after callers have heard that it stops.

Once the first byte has been passed on, such an answer can end only whole or broken off.
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
from standins.site import (
    Answer,
    Site,
    make_route,
    read_answer,
    write_chunk,
    write_request,
)
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
# Half of an answer that is too large to be passed on in one piece.
HALF = b"x" * 300_000
STREAM = "".join(f"id: {n}\ndata: x\n\n" for n in range(EVENTS)).encode()


@dataclass
class SilentTarget:
    """A sound target of streams that is silent before the events in ``silent_before``."""

    silent_before: tuple[int, ...]
    data: str = "x"
    seen: set[str] = field(default_factory=set)

    async def behave(self, seen: Seen, stream: trio.SocketStream) -> None:
        request_id = seen.headers["request-id"]
        self.seen.add(request_id)
        await stream.send_all(STREAM_HEAD.format(request_id).encode())
        for number in range(int(seen.headers.get("last-event-id", "-1")) + 1, EVENTS):
            await trio.sleep(SILENT_S if number in self.silent_before else EVENT_S)
            event = f"id: {number}\ndata: {self.data}\n\n".encode()
            await stream.send_all(write_chunk(event))
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

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_busy, site, stopping)
        await trio.sleep(0.1)
        nursery.start_soon(stop)
        for late_s in LATE_S:
            nursery.start_soon(ask, late_s)
    return answers


async def keep_busy(site: Site, node: GatewayNode) -> None:
    """Have a host serve a request while it stops; without any it would end sooner."""
    with suppress(OSError):
        await site.ask(node, b"POST", "/slow/1", b"x", "slow", HEADERS)


async def ask_during_drain(
    site: Site, asked: GatewayNode, stopping: GatewayNode, sent_s: tuple[float, ...]
) -> list[Answer]:
    """Stop a host at once; return the answers to streams sent some seconds later."""
    answers: list[Answer] = []

    async def ask(after_s: float) -> None:
        await trio.sleep(after_s)
        name = f"r{after_s}"
        answers.append(await site.ask(asked, b"POST", "/books/1", b"x", name, HEADERS))

    async with trio.open_nursery() as nursery:
        for after_s in sent_s:
            nursery.start_soon(ask, after_s)
        await drain(stopping)
        site.stop_gateway(stopping)
    return answers


async def start_hosts(
    site: Site, hosts: int, zone: str, kind: str = "streaming", resumable: bool = False
) -> list[GatewayNode]:
    site.bounds = {"grace_s": GRACE_S}
    await site.add_target("slow", stay_silent, zone)
    site.configure(
        make_route("books", kind, timeout_ms=6000, gap_aim_ms=400, resumable=resumable),
        make_route("slow", "unsafe", "/slow/", timeout_ms=6000),
    )
    nodes = [await site.start_gateway(f"east-{number}") for number in range(hosts)]
    if zone == "west-a":
        nodes.append(await site.start_gateway("west", zone))
    await wait_until_live(*nodes)
    return nodes


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


async def test_late_stream_is_left_to_another_host_that_is_ready(site: Site) -> None:
    target = SilentTarget(())
    await site.add_target("books", target.behave, slots=64)
    nodes = await start_hosts(site, 2, "east-a")
    answers = await ask_late(site, nodes[0], nodes[0])
    assert [answer.status for answer in answers.values()] == [503] * len(LATE_S)
    assert all(float(a.headers["retry-after"]) > 0 for a in answers.values())
    assert all(a.headers["connection"] == "close" for a in answers.values())
    assert not target.seen


async def test_late_stream_that_a_target_breaks_off_goes_on_at_another_one(
    site: Site,
) -> None:
    target = SilentTarget(())

    async def break_off(seen: Seen, stream: trio.SocketStream) -> None:
        if "last-event-id" in seen.headers:
            await target.behave(seen, stream)
            return
        await stream.send_all(STREAM_HEAD.format(seen.headers["request-id"]).encode())
        event = b"id: 0\ndata: x\n\n"
        await stream.send_all(write_chunk(event))
        await stream.aclose()

    for _ in range(2):
        await site.add_target("books", break_off, slots=64)
    nodes = await start_hosts(site, 1, "east-a", resumable=True)
    answers = await ask_late(site, nodes[0], nodes[0])
    assert [answer.status for answer in answers.values()] == [200] * len(LATE_S)
    assert all(answer.body == STREAM for answer in answers.values())


@pytest.mark.parametrize("rest_after_s", [0.2, 9.0], ids=["in-time", "too-late"])
async def test_late_large_answer_is_passed_on_only_whole(
    site: Site, rest_after_s: float
) -> None:
    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        request_id = seen.headers["request-id"]
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: s\r\n"
            f"Content-Length: {2 * len(HALF)}\r\n\r\n"
        )
        await stream.send_all(head.encode() + HALF)
        await trio.sleep(rest_after_s)
        await stream.send_all(HALF)

    await site.add_target("books", behave, slots=64)
    nodes = await start_hosts(site, 1, "east-a", kind="unsafe")
    answers = await ask_late(site, nodes[0], nodes[0])
    expected = (200, 2 * HALF) if rest_after_s < GRACE_S else (502, b"this host ends\n")
    assert all(answer.whole for answer in answers.values())
    assert [(a.status, a.body) for a in answers.values()] == [expected] * len(LATE_S)


async def test_late_stream_without_room_to_hold_it_ends_with_a_complete_failure(
    site: Site,
) -> None:
    target = SilentTarget((), data="x" * 60_000)
    await site.add_target("books", target.behave, slots=64)
    nodes = await start_hosts(site, 1, "east-a")
    nodes[0].buffers.limit_bytes = 200_000
    answers = await ask_late(site, nodes[0], nodes[0])
    assert [answer.status for answer in answers.values()] == [502] * len(LATE_S)
    assert all(answer.whole for answer in answers.values())
    assert nodes[0].buffers.used_bytes == 0


async def test_late_relayed_stream_is_served_though_its_sender_reaches_no_other_host(
    site: Site,
) -> None:
    target = SilentTarget(())
    await site.add_target("books", target.behave, "west-a", slots=64)
    east, west = await start_hosts(site, 1, "west-a")
    other = await site.start_gateway("west-1", "west-a")
    await wait_until_live(east, west, other)
    east.avoided_until["west-1"] = float("inf")
    answers = await ask_late(site, east, west)
    assert [answer.status for answer in answers.values()] == [200] * len(LATE_S)


async def test_early_stream_is_passed_on_as_it_comes_while_no_other_place_is_found(
    site: Site,
) -> None:
    target = SilentTarget((0, 4))
    for _ in range(2):
        await site.add_target("books", target.behave, slots=64)
    node, *_ = await start_hosts(site, 1, "east-a", resumable=True)
    address = node.settings.callers
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain, node)
        await trio.sleep(DRAIN_NOTICE_S - 0.4)
        async with await trio.open_tcp_stream(address.ip, address.port) as stream:
            await stream.send_all(
                write_request(b"POST", "/books/1", b"x", "r1", HEADERS)
            )
            await trio.lowlevel.wait_readable(stream.socket)
            begun_at = trio.current_time()
            answer = await read_answer(stream)
    assert answer.whole
    assert trio.current_time() - begun_at > SILENT_S
