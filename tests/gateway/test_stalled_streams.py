"""
Streams that stall and streams that are only slow, on real sockets.

A stalled stream completes no event within its limit, whatever bytes it sends. A slow
one completes each event just within the limit, and must never be interrupted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.gateway import forwarding
from standins.site import Seen, Site, make_route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
GAP_S = 0.4
# A stalled stream is abandoned after three times the gap, since its target still shows
# activity.
ABANDONED_S = 3 * GAP_S + 1.0
EVENTS = 4


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


async def send_head(seen: Seen, stream: trio.SocketStream) -> None:
    await stream.send_all(HEAD.replace(b"{id}", seen.headers["request-id"].encode()))


async def resume(seen: Seen, stream: trio.SocketStream) -> None:
    await send_head(seen, stream)
    first = int(seen.headers.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        await stream.send_all(make_event(number))
    await stream.aclose()


def stall_with_bytes(
    data: bytes, pause_s: float
) -> Callable[[Seen, trio.SocketStream], Awaitable[None]]:
    """Return a target's behaviour: one event, then occasional bytes."""

    async def act(seen: Seen, stream: trio.SocketStream) -> None:
        await send_head(seen, stream)
        await stream.send_all(make_event(1))
        with trio.move_on_after(20.0):
            while True:
                await trio.sleep(pause_s)
                await stream.send_all(data)

    return act


async def answer_slowly(seen: Seen, stream: trio.SocketStream) -> None:
    await send_head(seen, stream)
    for number in range(1, EVENTS + 1):
        await trio.sleep(0.9 * GAP_S)
        await stream.send_all(make_event(number))
    await stream.aclose()


@pytest.fixture(autouse=True)
def short_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(forwarding, "MIN_GAP_S", GAP_S)
    monkeypatch.setattr(forwarding, "GAP_FACTOR", 1.0)


@pytest.mark.parametrize("data", [b"i", b": alive\n\n"], ids=["bytes", "comments"])
async def test_stream_that_stalls_with_occasional_bytes_is_resumed_elsewhere(
    site: Site, data: bytes
) -> None:
    stalled = await site.add_target("books", stall_with_bytes(data, GAP_S / 4))
    await site.add_target("books", resume)
    route = make_route(
        "books", "streaming", resumable=True, gap_aim_ms=int(GAP_S * 1e3)
    )
    site.configure(route)
    node = await site.start_gateway("host-1")
    node.random.seed(1)
    for number in range(20):
        with trio.fail_after(ABANDONED_S):
            answer = await site.ask(node, b"POST", "/books/1", b"x", f"r{number}")
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id")]
        assert answer.whole
        assert ids == [b"id: %d" % n for n in range(1, EVENTS + 1)]
        if stalled.seen:
            return
    pytest.fail("no request came to the stalled target")


@pytest.mark.parametrize("resumable", [True, False])
async def test_slow_but_valid_stream_is_never_interrupted(
    site: Site, resumable: bool
) -> None:
    target = await site.add_target("books", answer_slowly)
    route = make_route(
        "books", "streaming", resumable=resumable, gap_aim_ms=int(GAP_S * 1e3)
    )
    site.configure(route)
    node = await site.start_gateway("host-1")
    answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert answer.whole
    assert answer.body == b"".join(make_event(n) for n in range(1, EVENTS + 1))
    assert len(target.seen) == 1


async def test_stalled_stream_that_may_run_once_ends_at_its_routes_timeout(
    site: Site,
) -> None:
    await site.add_target("books", stall_with_bytes(b"i", GAP_S / 4))
    site.configure(make_route("books", "streaming", resumable=False, timeout_ms=900))
    node = await site.start_gateway("host-1")
    with trio.fail_after(1.5):
        answer = await site.ask(node, b"POST", "/books/1", b"x")
    assert not answer.whole
    assert answer.body == make_event(1)
