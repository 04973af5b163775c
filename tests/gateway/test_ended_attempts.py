"""Attempts that have ended: nothing more of their requests reaches a target."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import h11
import pytest
import trio

from standins.site import HOST, FakeTarget, answer_text, make_route, read_request
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from lycheepath.gateway.node import GatewayNode
    from standins.site import Seen, Site

RECEIVE_BUFFER_BYTES = 4096
BODY = b"x" * 14_000
TIMEOUT_MS = 600
REQUESTS = 4
# Time that a target stands still after the last attempt has ended.
STILL_S = 0.5
# Time within which a target that reads again has received what the kernel holds.
READ_S = 1.0


@dataclass
class StillTarget:
    """A target that reads nothing until ``awake`` is set, with a small receive buffer."""

    awake: trio.Event = field(default_factory=trio.Event)
    whole: list[Seen] = field(default_factory=list)
    connections: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        await self.awake.wait()
        try:
            seen = await read_request(h11.Connection(h11.SERVER), stream)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            return
        finally:
            stream.socket.close()
        if seen is not None:
            self.whole.append(seen)


async def add_still_target(site: Site, zone: str = "east-a") -> StillTarget:
    still = StillTarget()
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    listener.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    site.nursery.start_soon(partial(trio.serve_listeners, still.serve, [listener]))
    ip, port = listener.socket.getsockname()
    target = FakeTarget(f"i-{len(site.targets)}", "books", zone, f"{ip}:{port}", None)
    site.targets.append(target)
    site.announce(target, slots=64)
    return still


async def leave_early(node: GatewayNode, request_id: str) -> None:
    """Send a request and close its connection before there is an answer."""
    address = node.settings.callers
    async with await trio.open_tcp_stream(address.ip, address.port) as stream:
        head = (
            f"POST /books/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: 5000\r\nContent-Length: {len(BODY)}\r\n\r\n"
        )
        await stream.send_all(head.encode() + BODY)
        await trio.sleep(0.2)


@pytest.mark.parametrize("relayed", [False, True])
@pytest.mark.parametrize("ending", ["silence", "deadline", "caller-gone"])
async def test_request_that_was_given_up_does_not_arrive_later(
    site: Site, ending: str, relayed: bool
) -> None:
    still = await add_still_target(site)
    kind = "safe" if ending == "silence" else "unsafe"
    timeout_ms = 5000 if ending == "caller-gone" else TIMEOUT_MS
    site.configure(make_route("books", kind, timeout_ms=timeout_ms))
    node = await site.start_gateway("east")
    if relayed:
        local, node = node, await site.start_gateway("west", "west-a")
        await wait_until_live(local, node)
    async with trio.open_nursery() as nursery:
        for number in range(REQUESTS):
            name = f"r{number}"
            if ending == "caller-gone":
                nursery.start_soon(leave_early, node, name)
            else:
                nursery.start_soon(site.ask, node, b"POST", "/books/1", BODY, name)
    await trio.sleep(STILL_S)
    assert still.connections >= 1
    still.awake.set()
    await trio.sleep(READ_S)
    # Hosts also ask a silent target for its report.
    assert [seen for seen in still.whole if "request-id" in seen.headers] == []


async def test_request_whose_caller_has_left_before_it_was_read_is_not_passed_on(
    site: Site,
) -> None:
    target = await site.add_target("books", answer_text(b"done"), slots=64)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("east")
    assert (await site.ask(node, b"POST", "/books/1", b"x")).status == 200
    head = f"POST /books/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
    for number in range(10):
        # Without a checkpoint, the gateway runs only after the caller has left.
        with socket.create_connection(node.settings.callers) as caller:
            caller.sendall(f"{head}Request-Id: late-{number}\r\n\r\nx".encode())
        await trio.sleep(0.1)
    assert [seen.headers["request-id"] for seen in target.seen] == ["r1"]
