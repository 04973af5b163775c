from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, cast

import trio

from lycheepath.adapters.http1 import downstream
from lycheepath.adapters.http1.downstream import CallerConnection
from lycheepath.gateway import listeners
from lycheepath.gateway.listeners import answer_metrics, read_caller_limits
from lycheepath.gateway.serving import serve_request
from standins.site import HOST, Site, make_route

if TYPE_CHECKING:
    import pytest

    from lycheepath.gateway.node import GatewayNode


class StalledStream:
    """A caller's connection that delivers one request and accepts no answer."""

    def __init__(self, request: bytes) -> None:
        self._requests = [request]
        self.socket = self
        self.closed = False
        self.send_calls = 0

    async def receive(self, most: int) -> bytes:
        if self._requests:
            return self._requests.pop()
        await trio.sleep_forever()
        raise AssertionError

    async def send(self, data: bytes) -> None:
        self.send_calls += 1
        await trio.sleep_forever()

    def fileno(self) -> int:
        return -1

    def close(self) -> None:
        self.closed = True


async def test_refusal_that_the_caller_does_not_read_is_not_followed_by_another(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(downstream, "receive", StalledStream.receive)
    monkeypatch.setattr(downstream, "send", StalledStream.send)
    site.configure(make_route("books", timeout_ms=200))
    node: GatewayNode = await site.start_gateway("east")
    head = f"GET /books/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n\r\n"
    stream = StalledStream(head.encode())
    caller = CallerConnection(
        cast("trio.SocketStream", stream), partial(read_caller_limits, node)
    )
    with trio.fail_after(2.0):
        await caller.run(partial(serve_request, node, caller))
    assert stream.closed
    assert stream.send_calls == 1
    assert not node.metrics.counter("request_faults_total")


async def test_page_that_nobody_reads_does_not_hold_its_connection(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(downstream, "receive", StalledStream.receive)
    monkeypatch.setattr(downstream, "send", StalledStream.send)
    monkeypatch.setattr(listeners, "ANSWER_TIMEOUT_S", 0.2)
    site.configure(make_route("books"))
    node = await site.start_gateway("east")
    stream = StalledStream(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    caller = CallerConnection(
        cast("trio.SocketStream", stream), partial(read_caller_limits, node)
    )
    with trio.fail_after(2.0):
        await caller.run(partial(answer_metrics, node, caller))
    assert stream.closed
