"""Answers of one host to another, and of the store, that are cut at any byte."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from lycheepath.adapters.http1.sockets import connect, reset
from lycheepath.adapters.http1.upstream import Upstream
from lycheepath.core.addresses import Address
from lycheepath.gateway.calls import CallFailedError, fetch
from standins.site import answer_text, listen, make_route
from tests.gateway.test_fleet import wait_until_live
from tests.gateway.test_unreachable_targets import Link

if TYPE_CHECKING:
    from lycheepath.gateway.node import GatewayNode
    from standins.site import Site

BODY = b"a whole answer"


class CutLink(Link):
    """A connection that ends after a number of bytes from the other side."""

    def __init__(self, far: trio.SocketStream, cut_at: int) -> None:
        super().__init__(far)
        self.cut_at = cut_at
        self.received = 0

    async def _pass_on(self, source: trio.SocketStream, to: trio.SocketStream) -> None:
        if source is not self.far:
            await super()._pass_on(source, to)
            return
        try:
            while data := await source.receive_some():
                passed = data[: max(0, self.cut_at - self.received)]
                self.received += len(data)
                await to.send_all(passed)
                if self.received >= self.cut_at:
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.close()


@pytest.mark.parametrize("kind", ["unsafe", "safe"])
async def test_relayed_answer_cut_at_any_byte_is_never_passed_on_as_whole(
    site: Site, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    target = await site.add_target("books", answer_text(BODY), "west-a", slots=64)
    site.configure(make_route("books", kind, max_attempts=1))
    east = await site.start_gateway("east")
    west = await site.start_gateway("west", "west-a")
    await wait_until_live(east, west)
    Link.nursery = site.nursery
    link = use_cut_links(east, west, monkeypatch, cut_at=1 << 20)
    whole = await site.ask(east, b"POST", "/books/1", b"x")
    assert (whole.status, whole.body) == (200, BODY)
    answer_bytes = link[-1].received
    assert answer_bytes > len(BODY)
    for cut_at in range(answer_bytes):
        east.avoided_until.clear()
        use_cut_links(east, west, monkeypatch, cut_at)
        name = f"r{100 + cut_at}"
        answered = await site.ask(east, b"POST", "/books/1", b"x", name)
        ran = name in {seen.headers["request-id"] for seen in target.seen}
        assert answered.whole, cut_at
        assert answered.status in ((502, 504) if ran else (502, 503, 504)), cut_at
    assert len(target.seen) >= 0.9 * answer_bytes


@pytest.mark.parametrize(
    "ending", [reset, trio.SocketStream.aclose], ids=["reset", "closed"]
)
@pytest.mark.parametrize("kept", [False, True])
async def test_call_whose_answer_is_cut_at_any_byte_fails(
    site: Site, kept: bool, ending: Any
) -> None:
    site.configure(make_route("books", "safe"))
    node = await site.start_gateway("east")
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
    cut_answers = [b""]

    async def serve(stream: trio.SocketStream) -> None:
        if kept:
            await stream.receive_some()
            await stream.send_all(answer)
        await stream.receive_some()
        await stream.send_all(cut_answers[-1])
        ended = ending(stream)
        if ended is not None:
            await ended

    address = Address(*await listen(site.nursery, serve))
    for cut_at in range(len(answer)):
        cut_answers.append(answer[:cut_at])
        if kept:
            found = await fetch(node, address, "/copy?", 1.0)
            assert (found.status, found.body) == (200, BODY)
        with pytest.raises(CallFailedError):
            await fetch(node, address, "/copy?", 1.0)


def use_cut_links(
    node: GatewayNode, peer: GatewayNode, monkeypatch: pytest.MonkeyPatch, cut_at: int
) -> list[CutLink]:
    """Cut each new connection to a peer; return those that were opened."""
    opened: list[CutLink] = []
    peer_address = Address(peer.settings.ip, peer.settings.relay_port)

    async def acquire(
        address: Address, connect_s: float, now: float, request_id: bytes | None = None
    ) -> Any:
        stream = await connect(address, connect_s)
        if address != peer_address:
            return Upstream(stream, address)
        opened.append(CutLink(stream, cut_at))
        return Upstream(await opened[-1].start(), address)

    monkeypatch.setattr(node.pool, "acquire", acquire)
    return opened
