"""
SIGTERM to a gateway process under load.

Every accepted request must be answered, or must not have been sent to a target.
Callers reuse connections, pipeline two requests, or open new connections. A
connection that ends without an answer may have lost only requests that no target has
received.
"""

from __future__ import annotations

import os
import random
import signal
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import orjson
import pytest
import trio

from lycheepath.core.placement.draining import DRAIN_NOTICE_S
from lycheepath.gateway.process import note_end_signals
from standins.host_processes import launch_host, wait_until_ready
from standins.pausing_target import STREAM_HEAD
from standins.site import (
    HOST,
    PORTS,
    Answer,
    Seen,
    Site,
    answer_text,
    draw_network,
    make_route,
    make_settings,
    read_answer,
    send_request,
    write_chunk,
    write_request,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from standins.host_processes import HostProcess

GRACE_S = 8.0
READY_S = 10.0
ANSWER_S = 0.05
CALLERS = 12
PIPELINED = 2
STOP_AFTER_S = 0.5
STOPS = 3
SIGNAL_INTERVAL_S = 0.4
# Signals to a process whose loop is slow, and the longest time between two of them.
SIGNALS = 8
SLOW_ROUNDS_S = 0.6
# Streams that take longer than a process has left, and when they are sent after callers
# have heard of the stop.
EVENTS = 5
SILENT_S = 1.4
LATE_S = (0.05, 0.2, 0.4)


@dataclass
class Load:
    """State: the answers to the requests of all callers, by request id."""

    ip: str
    answers: dict[str, Answer] = field(default_factory=dict)
    closed: bool = False

    async def call(self, name: str, pipelined: int) -> None:
        """Send requests until the gateway accepts no more connections."""
        number = 0
        while True:
            try:
                stream = await trio.open_tcp_stream(self.ip, PORTS["front"])
            except OSError:
                self.closed = True
                return
            async with stream:
                reusable = True
                while reusable:
                    names = [f"{name}-{number + n}" for n in range(pipelined)]
                    number += pipelined
                    reusable = await self._exchange(stream, names)

    async def _exchange(self, stream: trio.SocketStream, names: list[str]) -> bool:
        for request_id in names:
            self.answers[request_id] = Answer()
        heads = [
            f"POST /books/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
            "Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx"
            for name in names
        ]
        try:
            if len(names) == 1:
                await stream.send_all(heads[0].encode())
                return (await read_answer(stream, self.answers[names[0]])).kept
            # Pipelined requests are sent together, and their answers read together.
            await stream.send_all("".join(heads).encode())
            return await self._read_ahead(stream, names)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False

    async def _read_ahead(self, stream: trio.SocketStream, names: list[str]) -> bool:
        data = b""
        while data.count(b"HTTP/1.1 ") < len(names):
            more = await stream.receive_some(65_536)
            if not more:
                break
            data += more
        for name in names:
            at = data.find(f"request-id: {name}\r\n".encode())
            at = at if at >= 0 else data.find(f"Request-Id: {name}\r\n".encode())
            if at >= 0:
                head = data.rfind(b"HTTP/1.1 ", 0, at)
                self.answers[name].status = int(data[head + 9 : head + 12])
                self.answers[name].whole = True
        return b"connection: close" not in data.lower() and bool(data)


async def answer_later(seen: Seen, stream: trio.SocketStream) -> None:
    await trio.sleep(ANSWER_S)
    await answer_text(b"done")(seen, stream)


async def stream_with_silences(seen: Seen, stream: trio.SocketStream) -> None:
    """Stream events with a pause before each that sound targets may make."""
    await stream.send_all(STREAM_HEAD.format(seen.headers["request-id"]).encode())
    for number in range(EVENTS):
        await trio.sleep(SILENT_S if number else 0.0)
        event = f"id: {number}\ndata: x\n\n".encode()
        await stream.send_all(write_chunk(event))
    await stream.send_all(b"0\r\n\r\n")


@pytest.mark.parametrize("stop", range(STOPS))
async def test_planned_stop_under_load_interrupts_no_accepted_request(
    site: Site, tmp_path: Path, stop: int
) -> None:
    await stop_under_load(site, tmp_path, STOP_AFTER_S + 0.017 * stop, signals=1)


async def test_second_sigterm_interrupts_no_accepted_request(
    site: Site, tmp_path: Path
) -> None:
    await stop_under_load(site, tmp_path, STOP_AFTER_S, signals=3)


@pytest.mark.parametrize("held_up_s", [0.6, 0.9])
async def test_process_that_is_held_up_while_it_is_told_to_end_breaks_nothing_off(
    site: Site, tmp_path: Path, held_up_s: float
) -> None:
    await check_late_streams_of_a_held_up_process(site, tmp_path, held_up_s)


async def check_late_streams_of_a_held_up_process(
    site: Site, tmp_path: Path, held_up_s: float
) -> None:
    """Hold a process up across SIGTERM; check its end and what late callers get."""
    await site.add_target("books", stream_with_silences, slots=64)
    site.configure(make_route("books", "streaming", timeout_ms=9000, gap_aim_ms=400))
    ip = f"{draw_network()}.1"
    host = launch_gateway(site, tmp_path, ip)
    process = host.process
    answers: list[Answer] = []
    ended_after_s = 0.0
    try:
        with trio.fail_after(READY_S):
            await wait_until_ready(host)
        for number in (signal.SIGSTOP, signal.SIGTERM):
            process.popen.send_signal(number)
        told_at = trio.current_time()
        await trio.sleep(held_up_s)
        process.popen.send_signal(signal.SIGCONT)

        async def ask(late_s: float) -> None:
            await trio.sleep_until(told_at + DRAIN_NOTICE_S + late_s)
            async with await trio.open_tcp_stream(ip, PORTS["front"]) as stream:
                headers = {"deadline-ms": "9000"}
                request = write_request(
                    b"POST", "/books/1", b"x", f"r{late_s}", headers
                )
                answers.append(await send_request(stream, request))

        async with trio.open_nursery() as nursery:
            for late_s in LATE_S:
                nursery.start_soon(ask, late_s)
            with trio.fail_after(GRACE_S + 2.0):
                while process.running:
                    await trio.sleep(0.02)
            ended_after_s = trio.current_time() - told_at
    finally:
        process.terminate()
    assert ended_after_s < GRACE_S
    assert len(answers) == len(LATE_S)
    assert all(answer.whole for answer in answers), answers


def launch_gateway(site: Site, tmp_path: Path, ip: str) -> HostProcess:
    """Start a gateway as a process that drains for ``GRACE_S`` at most."""
    fields = make_settings("east-0", ip, "east-a", site.store.address)
    fields["bounds"] = {"grace_s": GRACE_S}
    (tmp_path / "east-0.json").write_bytes(orjson.dumps(fields))
    return launch_host("east-0", tmp_path)


async def stop_under_load(
    site: Site, tmp_path: Path, stop_after_s: float, signals: int
) -> None:
    """Send SIGTERM to a gateway under load, and check what its callers get."""
    target = await site.add_target("books", answer_later, slots=64)
    site.configure(make_route("books", "unsafe", timeout_ms=3000))
    ip = f"{draw_network()}.1"
    host = launch_gateway(site, tmp_path, ip)
    process = host.process
    load = Load(ip)
    try:
        with trio.fail_after(READY_S):
            await wait_until_ready(host)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                pipelined = PIPELINED if number % 3 == 0 else 1
                nursery.start_soon(load.call, f"r{number}", pipelined)
            await trio.sleep(stop_after_s)
            for _ in range(signals):
                process.popen.send_signal(signal.SIGTERM)
                await trio.sleep(SIGNAL_INTERVAL_S)
            with trio.fail_after(GRACE_S + 2.0):
                while process.running:
                    await trio.sleep(0.05)
            nursery.cancel_scope.deadline = trio.current_time() + 2.0
    finally:
        process.terminate()

    assert load.closed
    assert process.popen.returncode == 0
    ran = {seen.headers["request-id"] for seen in target.seen}
    assert len(ran) > CALLERS
    for request_id, answer in load.answers.items():
        if answer.whole:
            assert answer.status == 200 or request_id not in ran
        else:
            assert request_id not in ran, (request_id, answer)


@pytest.mark.parametrize("round_s", [0.05, 0.2, 0.4])
async def test_signal_is_never_dated_later_than_it_came_beside_slow_rounds_of_the_loop(
    site: Site, round_s: float
) -> None:
    site.configure(make_route("books"))
    node = await site.start_gateway("east-0")
    draw = random.Random(f"signals/{round_s}")
    dated_later_s: list[float] = []

    async def work() -> None:
        while True:
            time.sleep(round_s)
            await trio.sleep(0)

    def tell(after_s: float, told_at: list[float]) -> None:
        time.sleep(after_s)
        told_at.append(trio_clock())
        os.kill(os.getpid(), signal.SIGTERM)

    async with trio.open_nursery() as nursery:
        trio_clock = find_clock()
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            note_end_signals(node)
            nursery.start_soon(work)
            for _ in range(SIGNALS):
                node.end_signal_at = float("inf")
                told_at: list[float] = []
                arguments = (SLOW_ROUNDS_S * draw.random(), told_at)
                threading.Thread(target=tell, args=arguments).start()
                async for _number in signals:
                    break
                dated_later_s.append(node.end_signal_at - told_at[0])
        nursery.cancel_scope.cancel()
    assert max(dated_later_s) <= 0.0, dated_later_s


def find_clock() -> Callable[[], float]:
    """Return a function that tells the loop's time in any thread."""
    offset_s = trio.current_time() - time.perf_counter()
    return lambda: time.perf_counter() + offset_s
