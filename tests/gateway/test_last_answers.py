"""
The last answers of hosts that stop: run once, and delivered or failed as a whole.

Their streams are relayed to a host that stops too, they are too large to be delivered in
time, or their callers have begun to send another request.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.core.placement.draining import DRAIN_NOTICE_S
from lycheepath.gateway.process import drain
from standins.pausing_target import STREAM_HEAD
from standins.site import Answer, Site, write_chunk, write_request
from tests.gateway.test_fleet import wait_until_live
from tests.gateway.test_late_streams import (
    GRACE_S,
    HEADERS,
    SilentTarget,
    ask_during_drain,
    keep_busy,
    start_hosts,
)

if TYPE_CHECKING:
    from standins.site import Seen

PART = b"x" * 50_000


async def test_stream_relayed_to_a_region_that_drains_runs_once(site: Site) -> None:
    """Two hosts of a region drain; a steady stream of 2 s is relayed to one of them."""
    runs: list[str] = []

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        runs.append(seen.headers["request-id"])
        await stream.send_all(STREAM_HEAD.format(seen.headers["request-id"]).encode())
        for n in range(10):
            await trio.sleep(0.2)
            await stream.send_all(write_chunk(b"id: %d\ndata: x\n\n" % n))
        await stream.send_all(b"0\r\n\r\n")

    await site.add_target("books", behave, "west-a", slots=64)
    await site.add_target("books", behave, "west-a", slots=64)
    east, west = await start_hosts(site, 1, "west-a")
    west2 = await site.start_gateway("west-2", "west-a")
    await wait_until_live(east, west, west2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain, west2)
        await ask_during_drain(site, east, west, (1.0, 1.1, 1.2, 1.3))
    assert len(runs) == 4


@pytest.mark.parametrize("kind", ["safe", "streaming"])
async def test_answer_that_cant_be_delivered_runs_once(site: Site, kind: str) -> None:
    runs: list[str] = []

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        runs.append(seen.headers["request-id"])
        await stream.send_all(STREAM_HEAD.format(seen.headers["request-id"]).encode())
        for n in range(160):
            await stream.send_all(write_chunk(b"id: %d\ndata: %b\n\n" % (n, PART)))
        await stream.send_all(b"0\r\n\r\n")

    for _ in range(3):
        await site.add_target("books", behave, slots=64)
    node, *_ = await start_hosts(site, 1, "east-a", kind=kind)
    answers: list[Answer] = []

    async def ask() -> None:
        await trio.sleep(DRAIN_NOTICE_S + 0.5)
        answers.append(await site.ask(node, b"POST", "/books/1", b"x", "r1", HEADERS))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_busy, site, node)
        await trio.sleep(0.1)
        nursery.start_soon(ask)
        await drain(node)
        site.stop_gateway(node)
    assert len(runs) == 1
    assert answers[0].whole


@pytest.mark.parametrize("pipelined", [0, 1_000, 300_000])
async def test_whole_answer_reaches_a_slow_caller_who_has_sent_more(
    site: Site, pipelined: int
) -> None:
    started_at = trio.current_time()

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        await trio.sleep_until(started_at + GRACE_S - 1.15)
        await stream.send_all(STREAM_HEAD.format(seen.headers["request-id"]).encode())
        for n in range(20):
            await stream.send_all(write_chunk(b"id: %d\ndata: %b\n\n" % (n, PART)))
        await stream.send_all(b"0\r\n\r\n")

    await site.add_target("books", behave, slots=64)
    node, *_ = await start_hosts(site, 1, "east-a")
    received = b""

    async def ask() -> None:
        nonlocal received
        await trio.sleep(DRAIN_NOTICE_S + 0.3)
        address = node.settings.callers
        tcp = trio.socket.socket()
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        await tcp.connect((address.ip, address.port))
        async with trio.SocketStream(tcp) as stream, trio.open_nursery() as more:
            await stream.send_all(
                write_request(b"POST", "/books/1", b"x", "r1", HEADERS)
            )

            async def send_more() -> None:
                # Half of another request.
                data = write_request(
                    b"POST", "/books/1", b"y" * 400_000, "r2", HEADERS
                )[:pipelined]
                with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                    await stream.send_all(data)

            if pipelined:
                more.start_soon(send_more)
            with suppress(trio.BrokenResourceError):
                while b"0\r\n\r\n" not in received[-200:]:
                    data = await stream.receive_some(16_000)
                    if not data:
                        break
                    received += data
                    await trio.sleep(0.02)
            more.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_busy, site, node)
        await trio.sleep(0.1)
        started_at = trio.current_time()
        nursery.start_soon(ask)
        await drain(node)
        site.stop_gateway(node)
    assert received.startswith(b"HTTP/1.1 502") or b"0\r\n\r\n" in received[-200:]


async def test_resumable_stream_relayed_to_a_host_that_drains_alone_is_not_broken_off(
    site: Site,
) -> None:
    target = SilentTarget((2, 4, 6, 8))
    await site.add_target("books", target.behave, "west-a", slots=64)
    east, west = await start_hosts(site, 1, "west-a", resumable=True)
    await wait_until_live(east, west)
    answers = await ask_during_drain(site, east, west, (1.9, 2.3, 2.6, 2.8))
    assert len(answers) == 4
    assert all(answer.whole for answer in answers)
