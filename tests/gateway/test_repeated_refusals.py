"""
Targets that send an earlier refusal once more, on connections that are kept.

A refusal states that a request wasn't run. It is believed only if it can belong to no
other request of its connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from standins.site import Seen, Site, answer_bytes, answer_text, make_route

if TYPE_CHECKING:
    from lycheepath.gateway.node import GatewayNode

DONE = answer_text(b"done")
BUSY = answer_text(b"", 503, "Not-Executed: 1")
# Statuses by which callers conclude that a request hasn't run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
# Time within which hosts know each other and their targets.
WITHIN_S = 3.0


def refuse(status: int, request_id: str = "") -> bytes:
    named = f"Request-Id: {request_id}\r\n" if request_id else ""
    return (
        f"HTTP/1.1 {status} X\r\n{named}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class RepeatingTarget:
    """
    A target that refuses the first request of a connection and runs all later ones.

    It sends the refusal once more before each later answer. ``ran`` holds the ids of
    the requests that it ran.
    """

    def __init__(self, names_request: bool) -> None:
        self.names_request = names_request
        self.ran: list[str] = []
        self._refusals: dict[trio.SocketStream, bytes] = {}

    async def behave(self, seen: Seen, stream: trio.SocketStream) -> None:
        request_id = seen.headers["request-id"]
        refusal = self._refusals.get(stream)
        if refusal is None:
            refusal = refuse(503, request_id if self.names_request else "")
            self._refusals[stream] = refusal
            await stream.send_all(refusal)
            return
        self.ran.append(request_id)
        await stream.send_all(refusal)
        await trio.sleep(0.02)
        await DONE(seen, stream)


async def ask_until_served(site: Site, node: GatewayNode) -> None:
    """Send requests until one is served."""
    with trio.fail_after(WITHIN_S):
        number = 0
        while True:
            number += 1
            answer = await site.ask(node, b"POST", "/books/1", b"x", f"first{number}")
            if answer.status == 200:
                return
            await trio.sleep(0.05)


@pytest.mark.parametrize("zone", ["east-a", "west-a"])
@pytest.mark.parametrize("status", [503, 429, 400, 421])
async def test_refusal_without_an_id_on_a_kept_connection_is_not_believed(
    site: Site, status: int, zone: str
) -> None:
    ran = []

    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        ran.append(seen.headers["request-id"])
        if ran[-1] == "r2":
            await stream.send_all(refuse(status))
            await trio.sleep(0.02)
        await DONE(seen, stream)

    await site.add_target("books", behave, zone)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    if zone != "east-a":
        await site.start_gateway("host-2", zone)
    await ask_until_served(site, node)
    answer = await site.ask(node, b"POST", "/books/1", b"x", "r2")
    assert ran[-1] == "r2"
    assert answer.status not in NOT_RUN_STATUSES


async def test_unsafe_request_runs_once_though_targets_repeat_refusals(
    site: Site,
) -> None:
    targets = [RepeatingTarget(names_request=False) for _ in range(2)]
    for target in targets:
        await site.add_target("books", target.behave)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    for number in range(6):
        await site.ask(node, b"POST", "/books/1", b"x", f"r{number}")
    ran = [request_id for target in targets for request_id in target.ran]
    assert ran
    assert len(ran) == len(set(ran))


async def test_caller_that_comes_again_with_its_id_gets_no_earlier_refusal(
    site: Site,
) -> None:
    target = RepeatingTarget(names_request=True)
    await site.add_target("books", target.behave)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    for request_id in ("r0", "r1", "r0", "r0"):
        answer = await site.ask(node, b"POST", "/books/1", b"x", request_id)
        assert answer.status == (200 if request_id in target.ran else 503)
    assert target.ran == ["r1"]


async def test_refusal_with_its_requests_id_is_believed_on_a_kept_connection(
    site: Site,
) -> None:
    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        own = DONE if seen.headers["request-id"] == "r1" else BUSY
        await own(seen, stream)

    target = await site.add_target("books", behave)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    for request_id, status in (("r1", 200), ("r2", 503), ("r3", 503)):
        answer = await site.ask(node, b"POST", "/books/1", b"x", request_id)
        assert answer.status == status
    assert target.connections == 1


async def test_refusal_of_a_request_without_an_id_is_believed(site: Site) -> None:
    async def behave(seen: Seen, stream: trio.SocketStream) -> None:
        named = seen.headers["request-id"]
        await (DONE if named else answer_bytes(refuse(400)))(seen, stream)

    await site.add_target("books", behave)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    for request_id, status in (("r1", 200), ("", 503), ("", 503)):
        answer = await site.ask(node, b"POST", "/books/1", b"x", request_id)
        assert answer.status == status
