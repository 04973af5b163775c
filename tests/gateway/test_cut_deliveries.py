"""
Deliveries that go on when a planned stop ends.

A caller reads slowly an answer whose target is done, a stream is relayed to a host that
ends, and a process that was held up for long has less time than it knows.
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
from standins.site import Site, write_chunk, write_request
from tests.gateway.test_fleet import wait_until_live
from tests.gateway.test_late_streams import (
    GRACE_S,
    HEADERS,
    OFTEN,
    SilentTarget,
    ask_during_drain,
    keep_busy,
    start_hosts,
)
from tests.gateway.test_planned_stop import check_late_streams_of_a_held_up_process

if TYPE_CHECKING:
    from pathlib import Path

    from lycheepath.gateway.node import GatewayNode
    from standins.site import Seen

# When a target is done: just before a host that drains ends, or long before.
LATE_END_S, EARLY_END_S = GRACE_S - 1.15, 2.5
PART = b"x" * 50_000
# Events before which a target is silent so that its stream outlasts the drain.
TOO_OFTEN = (2, 4, 6, 8)
# Parts of an answer that the kernel takes whole, and of one that it doesn't.
PARTS, MANY_PARTS = 20, 160
WINDOW_BYTES = 16_384


@pytest.mark.parametrize(
    ("sent_s", "ends_s", "read_bytes", "parts"),
    [
        (DRAIN_NOTICE_S + 0.3, LATE_END_S, 65_536, PARTS),
        (DRAIN_NOTICE_S + 0.3, LATE_END_S, 65_536, MANY_PARTS),
        (EARLY_END_S, EARLY_END_S, 4_000, PARTS),
    ],
    ids=["late", "late-and-large", "early"],
)
async def test_answer_whose_target_is_done_reaches_a_caller_that_reads_slowly(
    site: Site, sent_s: float, ends_s: float, read_bytes: int, parts: int
) -> None:
    started_at = trio.current_time()

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        await trio.sleep_until(started_at + ends_s)
        await stream.send_all(STREAM_HEAD.format(seen.headers["request-id"]).encode())
        for number in range(parts):
            event = b"id: %d\ndata: %b\n\n" % (number, PART)
            await stream.send_all(write_chunk(event))
        await stream.send_all(b"0\r\n\r\n")

    await site.add_target("books", behave, slots=64)
    node, *_ = await start_hosts(site, 1, "east-a")
    received: list[bytes] = []

    async def ask() -> None:
        await trio.sleep(sent_s)
        received.append(await read_slowly(node, read_bytes))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_busy, site, node)
        await trio.sleep(0.1)
        started_at = trio.current_time()
        nursery.start_soon(ask)
        await drain(node)
        site.stop_gateway(node)
    assert received[0].startswith(b"HTTP/1.1 502") or received[0].endswith(b"0\r\n\r\n")


async def read_slowly(node: GatewayNode, read_bytes: int) -> bytes:
    """Ask for a stream, read it in parts with pauses; return all that came."""
    address = node.settings.callers
    tcp = trio.socket.socket()
    tcp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    await tcp.connect((address.ip, address.port))
    received = b""
    async with trio.SocketStream(tcp) as stream:
        await stream.send_all(write_request(b"POST", "/books/1", b"x", "r1", HEADERS))
        with suppress(trio.BrokenResourceError):
            while not received.endswith(b"0\r\n\r\n"):
                data = await stream.receive_some(read_bytes)
                if not data:
                    break
                received += data
                await trio.sleep(0.02)
    return received


@pytest.mark.parametrize(
    "silent_before", [OFTEN, TOO_OFTEN], ids=["often", "too-often"]
)
async def test_stream_relayed_to_a_host_that_drains_alone_is_not_broken_off(
    site: Site, silent_before: tuple[int, ...]
) -> None:
    target = SilentTarget(silent_before)
    await site.add_target("books", target.behave, "west-a", slots=64)
    east, west = await start_hosts(site, 1, "west-a")
    await wait_until_live(east, west)
    answers = await ask_during_drain(site, east, west, (2.6, 2.7, 2.8))
    assert len(answers) == 3
    assert all(answer.whole for answer in answers)


async def test_process_that_is_held_up_for_long_ends_before_it_is_killed(
    site: Site, tmp_path: Path
) -> None:
    await check_late_streams_of_a_held_up_process(site, tmp_path, held_up_s=1.6)
