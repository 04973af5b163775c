"""A whole request ends with an answer, a refusal, or an answer that can't be completed."""

from __future__ import annotations

import os
import socket
import time
from typing import TYPE_CHECKING, Any

import pytest
import trio
from loguru import logger

from lycheepath.gateway import relayed, serving
from lycheepath.gateway.process import drain
from standins.site import (
    HOST,
    Answer,
    Seen,
    Site,
    answer_bytes,
    answer_text,
    make_route,
    read_answer,
)
from tests.gateway.test_fleet import wait_until_live

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from lycheepath.gateway.node import GatewayNode

IDLE_S = 0.4
HEAD_S = 0.3
CONNECTIONS = 12
HELD_UP_S = 0.3
# A caller that reads nothing for longer than this is still owed its answer.
CLOSED_WINDOW_S = 4.0
ANSWER_BYTES = (250_000, 4_000_000)
LARGE_BODY = b"x" * 600_000


@pytest.fixture
def unanswered() -> Iterator[list[dict[str, Any]]]:
    """The fields of the log lines on requests that were left unanswered."""
    lines: list[dict[str, Any]] = []

    def keep(message: Any) -> None:
        if message.record["message"] == "request-unanswered":
            lines.append(message.record["extra"])

    sink = logger.add(keep)
    yield lines
    logger.remove(sink)


def send_before_the_loop_runs(
    requests: Iterable[tuple[trio.SocketStream, bytes]],
) -> None:
    """Send requests and hold the process up before anything can read them."""
    for stream, data in requests:
        os.write(stream.socket.fileno(), data)
    time.sleep(HELD_UP_S)


def write_request(request_id: str, path: str = "/books/1", body: bytes = b"") -> bytes:
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{'POST' if body else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: 8000\r\n{length}\r\n"
    )
    return head.encode() + body


async def connect(node: GatewayNode) -> trio.SocketStream:
    address = node.settings.callers
    return await trio.open_tcp_stream(address.ip, address.port)


async def ask_on(stream: trio.SocketStream, request_id: str) -> Answer:
    await stream.send_all(write_request(request_id))
    return await read_answer(stream)


@pytest.mark.parametrize("sent", ["whole", "in-two-parts"])
async def test_request_that_arrives_while_the_process_is_held_up_is_answered(
    site: Site, sent: str
) -> None:
    await site.add_target("books", answer_text(b"done"), slots=64)
    site.configure(
        make_route("books"),
        idle_timeout_ms=int(IDLE_S * 1000),
        header_timeout_ms=int(HEAD_S * 1000),
    )
    node = await site.start_gateway("host-1")
    streams = [await connect(node) for _ in range(CONNECTIONS)]
    for number, stream in enumerate(streams):
        assert (await ask_on(stream, f"a{number}")).whole
    split = 0 if sent == "whole" else 30
    for number, stream in enumerate(streams if split else ()):
        await stream.send_all(write_request(f"b{number}")[:split])
    await trio.sleep(HEAD_S - 0.15 if split else IDLE_S + HEAD_S - 0.15)
    send_before_the_loop_runs(
        (stream, write_request(f"b{number}")[split:])
        for number, stream in enumerate(streams)
    )
    statuses = [(await read_answer(stream)).status for stream in streams]
    assert statuses == [200] * CONNECTIONS


async def test_idle_connection_lives_as_long_as_the_latest_configuration_says(
    site: Site,
) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"), idle_timeout_ms=300, header_timeout_ms=200)
    node = await site.start_gateway("host-1")
    stream = await connect(node)
    assert (await ask_on(stream, "r1")).whole
    site.configure(make_route("books"), idle_timeout_ms=5000, header_timeout_ms=200)
    while node.catalog.version < site.version:
        await trio.sleep(0.01)
    await trio.sleep(1.0)
    assert (await ask_on(stream, "r2")).status == 200


async def test_open_connection_takes_heads_as_large_as_the_latest_configuration_says(
    site: Site,
) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"), max_header_bytes=500)
    node = await site.start_gateway("host-1")
    stream = await connect(node)
    assert (await ask_on(stream, "r1")).whole
    site.configure(make_route("books"), max_header_bytes=5000)
    while node.catalog.version < site.version:
        await trio.sleep(0.01)
    assert (await ask_on(stream, "r" * 2000)).status == 200


@pytest.mark.parametrize("size", ANSWER_BYTES)
async def test_answer_to_a_caller_that_pauses_reading_is_completed(
    site: Site, size: int
) -> None:
    body = b"x" * size
    await site.add_target("books", answer_text(body))
    site.configure(make_route("books", timeout_ms=9000))
    node = await site.start_gateway("host-1")
    address = node.settings.callers
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await trio.to_thread.run_sync(caller.connect, (address.ip, address.port))
        caller.sendall(write_request("r1"))
        await trio.sleep(CLOSED_WINDOW_S)
        received = await trio.to_thread.run_sync(read_until, caller, size)
    assert received >= size


def read_until(caller: socket.socket, size: int) -> int:
    """Return how many bytes arrived, ``size`` or a few more if all did."""
    caller.settimeout(3.0)
    received = 0
    try:
        while received < size and (data := caller.recv(65_536)):
            received += len(data)
    except OSError:
        return received
    return received


async def test_fault_before_a_request_is_placed_is_answered_as_not_run(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    target = await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    monkeypatch.setattr(serving, "draw_service", fail)
    answer = await site.ask(node, b"POST", "/books/1", b"pay")
    assert (answer.status, answer.whole) == (503, True)
    assert float(answer.headers["retry-after"]) > 0
    assert not target.seen


@pytest.mark.parametrize("broken", ["read_request", "send_to_target"])
async def test_fault_at_the_host_that_serves_for_another_region_is_reported_to_it(
    site: Site, monkeypatch: pytest.MonkeyPatch, broken: str
) -> None:
    target = await site.add_target("books", answer_text(b"done"), "west-a")
    site.configure(make_route("books", "unsafe"))
    nodes = [
        await site.start_gateway("east"),
        await site.start_gateway("west", "west-a"),
    ]
    await wait_until_live(*nodes)
    monkeypatch.setattr(relayed, broken, fail)
    answer = await site.ask(nodes[0], b"POST", "/books/1", b"pay")
    assert answer.whole
    # A fault before the send says so; after it, whether the request ran isn't known.
    assert answer.status == (503 if broken == "read_request" else 502)
    assert not target.seen


async def test_relayed_request_whose_time_is_over_is_reported_as_lost(
    site: Site,
) -> None:
    async def stay_silent(seen: Seen, stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    await site.add_target("books", stay_silent)
    site.configure(make_route("books", "unsafe"))
    node = await site.start_gateway("host-1")
    address = node.settings.ip, node.settings.relay_port
    fields = {"service": "books", "left-ms": "200", "waited-ms": "0"}
    lines = [f"lycheepath-{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(["GET /books/1 HTTP/1.1", f"Host: {HOST}", *lines, "", ""])
    async with await trio.open_tcp_stream(*address) as stream:
        await stream.send_all(head.encode())
        answer = await read_answer(stream)
    assert answer.whole
    assert answer.headers["lycheepath-result"] == "lost"


def fail(*_: object) -> None:
    raise ValueError("a fault of this test")


async def test_refusal_of_a_large_body_reaches_a_caller_that_is_still_sending(
    site: Site,
) -> None:
    site.configure(make_route("books"), max_body_bytes=1000)
    node = await site.start_gateway("host-1")
    stream = await connect(node)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_slowly, stream, write_request("r1", body=LARGE_BODY))
        await trio.sleep(0.1)
        answer = await read_answer(stream)
    assert (answer.status, answer.whole) == (413, True)
    # A reset would discard an answer that hasn't been read yet.
    assert await stream.receive_some(1) == b""


async def send_slowly(stream: trio.SocketStream, data: bytes) -> None:
    for start in range(0, len(data), 10_000):
        await stream.send_all(data[start : start + 10_000])
        await trio.sleep(0.005)


async def test_requests_that_arrived_before_the_end_of_the_drain_are_answered(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    await site.add_target("books", answer_text(b"done"), slots=64)
    site.configure(make_route("books"))
    site.bounds = {"grace_s": 6.0}
    node = await site.start_gateway("host-1")
    kept = await connect(node)
    assert (await ask_on(kept, "r0")).whole
    answers: dict[str, Answer] = {}

    async def send_while_held_up() -> None:
        # The process is held up when the drain is about to end.
        await drain_is_due.wait()
        address = node.settings.callers
        fresh = socket.create_connection((address.ip, address.port))
        fresh.setblocking(False)
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(fresh))
        send_before_the_loop_runs(
            [(stream, write_request("fresh")), (kept, write_request("kept"))]
        )
        answers["fresh"] = await read_answer(stream)
        answers["kept"] = await read_answer(kept)

    drain_is_due = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_while_held_up)
        nursery.start_soon(announce_end, node, drain_is_due)
        await drain(node)
        site.stop_gateway(node)
        with trio.move_on_after(2.0):
            while len(answers) < 2:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert {name: answer.status for name, answer in answers.items()} == {
        "fresh": 200,
        "kept": 200,
    }


async def announce_end(node: GatewayNode, due: trio.Event) -> None:
    """Set ``due`` shortly before a drain without requests ends."""
    from lycheepath.core.placement.draining import DRAIN_NOTICE_S

    while not node.shutting_down:
        await trio.sleep(0.01)
    await trio.sleep(min(DRAIN_NOTICE_S, 2.75) - 0.02)
    due.set()


async def test_connection_that_ends_with_a_request_unanswered_is_logged(
    site: Site, unanswered: list[dict[str, Any]]
) -> None:
    async def stay_silent(seen: Seen, stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    begun = answer_bytes(
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
        b"Content-Length: 900000\r\n\r\n" + b"x" * 400_000,
        close=True,
    )
    await site.add_target("books", stay_silent)
    await site.add_target("large", begun)
    site.configure(
        make_route("books", "unsafe", timeout_ms=5000),
        make_route("large", "unsafe", prefix="/large/"),
    )
    node = await site.start_gateway("host-1")
    streams = [await connect(node) for _ in range(3)]
    await streams[0].send_all(write_request("cut", "/large/1"))
    assert not (await read_answer(streams[0])).whole
    await streams[1].send_all(write_request("waiting"))
    await streams[2].send_all(write_request("partly")[:40])
    await trio.sleep(0.1)
    site.stop_gateway(node)
    await trio.sleep(0.1)
    by_request = {line["request"]: line for line in unanswered}
    assert by_request["cut"]["reason"] == "the answer was aborted"
    assert by_request["cut"]["answer_started"]
    assert by_request["waiting"]["reason"] == "the process ends"
    assert not by_request["waiting"]["answer_started"]
    assert by_request[""]["unread_bytes"] == 40


async def test_caller_that_closes_after_its_answer_is_not_logged_as_unanswered(
    site: Site, unanswered: list[dict[str, Any]]
) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    site.bounds = {"grace_s": 2.0}
    node = await site.start_gateway("host-1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(drain, node)
        while not node.shutting_down:
            await trio.sleep(0.01)
        for number in range(CONNECTIONS):
            async with await connect(node) as stream:
                assert (await ask_on(stream, f"r{number}")).whole
                # The end of the caller's side arrives before the host looks.
                await stream.send_eof()
    assert not unanswered


@pytest.mark.parametrize("closes", [False, True])
async def test_request_that_was_not_read_before_the_end_is_logged(
    site: Site, unanswered: list[dict[str, Any]], closes: bool
) -> None:
    await site.add_target("books", answer_text(b"done"))
    site.configure(make_route("books"))
    node = await site.start_gateway("host-1")
    async with await connect(node) as stream:
        assert (await ask_on(stream, "r0")).whole
        os.write(stream.socket.fileno(), write_request("r1"))
        if closes:
            stream.socket.shutdown(socket.SHUT_WR)
        site.stop_gateway(node)
        await trio.sleep(0.1)
    assert [line["unread_in_kernel"] for line in unanswered] == [True]
