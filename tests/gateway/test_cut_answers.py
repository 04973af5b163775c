"""Targets that stop at any byte of their answer, in its head or behind it."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest
import trio

from lycheepath.adapters.http1.sockets import DISCARD_AT_CLOSE
from standins.site import make_route
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from standins.site import Seen, Site

BODY = b"a whole answer"
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
STATUS = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s.1\r\n"
INTERIM = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
# Answers whose end is the end of their connection, which a close can't be told from.
ENDING_WITH_CONNECTION = ("close", "http/1.0")
CONCURRENT = 8


def write_answer(framing: str, request_id: str, body: bytes) -> tuple[bytes, int]:
    """Return an answer and the length of its head."""
    head = STATUS.format(request_id)
    length = f"Content-Length: {len(body)}\r\n"
    if framing == "chunks":
        head += "Transfer-Encoding: chunked\r\n\r\n"
        half = len(body) // 2
        parts = (body[:half], body[half:], b"")
        body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    elif framing == "length":
        head += length + "\r\n"
    elif framing == "length twice":
        head += length + length + "\r\n"
    elif framing == "interim":
        head = INTERIM + head + length + "\r\n"
    elif framing == "bare line feeds":
        head = (head + length + "\r\n").replace("\r\n", "\n")
    elif framing == "close":
        head += "Connection: close\r\n\r\n"
    else:
        head = head.replace("HTTP/1.1", "HTTP/1.0") + "\r\n"
    return head.encode() + body, len(head)


@dataclass
class CuttingTarget:
    """A target that ends its answer at the byte named in the request's path."""

    framing: str
    reset: bool
    body: bytes
    cuts_seen: int = 0

    async def behave(self, seen: Seen, stream: trio.SocketStream) -> None:
        request_id = seen.headers["request-id"]
        answer, _ = write_answer(self.framing, request_id, self.body)
        cut_at = int(seen.target.rpartition("/")[2])
        self.cuts_seen += 1
        await stream.send_all(answer[: cut_at // 2])
        # The rest arrives by itself.
        await trio.sleep(0.001)
        await stream.send_all(answer[cut_at // 2 : cut_at])
        if self.reset:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_AT_CLOSE)
        await stream.aclose()


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["unsafe", "safe", "streaming"])
@pytest.mark.parametrize(
    "framing",
    [
        "length",
        "length twice",
        "chunks",
        "interim",
        "bare line feeds",
        *ENDING_WITH_CONNECTION,
    ],
)
async def test_answer_cut_at_any_byte_is_never_passed_on_as_whole(
    site: Site, framing: str, kind: str, reset: bool
) -> None:
    body = EVENTS if kind == "streaming" else BODY
    target = CuttingTarget(framing, reset, body)
    await site.add_target("books", target.behave, slots=64)
    site.configure(make_route("books", kind, max_attempts=1))
    node = await site.start_gateway("host-1")
    answer, head_bytes = write_answer(framing, "r100", body)
    limit = trio.CapacityLimiter(CONCURRENT)
    wrong: list[tuple[int, bytes]] = []

    async def ask(cut_at: int) -> None:
        async with limit:
            path = f"/books/{cut_at}"
            name = f"r{100 + cut_at}"
            answered = await site.ask(node, b"POST", path, b"x", name)
        complete = cut_at >= len(answer)
        if framing in ENDING_WITH_CONNECTION and not reset:
            complete = cut_at >= head_bytes
        if answered.status == 200 and answered.whole and not complete:
            wrong.append((cut_at, answered.body))

    async with trio.open_nursery() as nursery:
        for cut_at in range(len(answer)):
            nursery.start_soon(ask, cut_at)
    assert wrong == []
    assert target.cuts_seen >= 0.9 * len(answer)


async def test_answer_cut_in_its_head_is_not_passed_on_by_way_of_another_region(
    site: Site,
) -> None:
    target = CuttingTarget("length", False, BODY)
    await site.add_target("books", target.behave, "west-a", slots=64)
    site.configure(make_route("books", "unsafe", max_attempts=1))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    answer, _ = write_answer("length", "r100", BODY)
    for cut_at in range(len(answer)):
        name = f"r{100 + cut_at}"
        answered = await site.ask(east, b"POST", f"/books/{cut_at}", b"x", name)
        assert answered.status in (502, 503), (cut_at, answered)
    assert target.cuts_seen >= 0.9 * len(answer)


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", ["unsafe", "safe", "streaming"])
async def test_answer_cut_on_a_kept_connection_is_never_passed_on_as_whole(
    site: Site, kind: str, reset: bool
) -> None:
    body = EVENTS if kind == "streaming" else BODY
    cutting = CuttingTarget("length", reset, body)

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        if seen.target != "/books/whole":
            await cutting.behave(seen, stream)
            return
        answer, _ = write_answer("length", seen.headers["request-id"], body)
        await stream.send_all(answer)

    target = await site.add_target("books", behave, slots=64)
    site.configure(make_route("books", kind, max_attempts=1))
    node = await site.start_gateway("host-1")
    answer, _ = write_answer("length", "r100", body)
    for cut_at in range(len(answer)):
        whole = await site.ask(node, b"POST", "/books/whole", b"x", f"w{cut_at}")
        assert (whole.status, whole.body, whole.whole) == (200, body, True)
        name = f"r{100 + cut_at}"
        answered = await site.ask(node, b"POST", f"/books/{cut_at}", b"x", name)
        assert answered.status != 200 or not answered.whole, (cut_at, answered)
    # Each cut ends a connection that has carried a whole answer.
    assert cutting.cuts_seen == len(answer)
    assert target.connections <= 1.1 * len(answer)
