"""
Measures the CPU time of a gateway per complete answer and per event.

The gateway runs as a separate process; this process simulates the store, the
targets and the callers on loopback::

    python -m bench.gateway_cost --requests 2000 --events 40
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from functools import partial
from pathlib import Path

import orjson
import trio

from bench.usage import read_usage
from lycheepath.platform.settings import SETTINGS_VARIABLE
from standins.site import (
    HOST,
    PORTS,
    Seen,
    Site,
    answer_text,
    make_route,
    make_settings,
    read_answer,
)

BODY = b"x" * 800
IP = "127.77.7.1"
CALLERS = 8
READY_TIMEOUT_S = 10.0


async def send_events(count: int, seen: Seen, stream: trio.SocketStream) -> None:
    """Answer with ``count`` events, 2 ms apart so that each is sent separately."""
    head = (
        "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
        f"Request-Id: {seen.headers['request-id']}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    await stream.send_all(head.encode())
    for number in range(1, count + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, b"w" * 48)
        await stream.send_all(b"%x\r\n%s\r\n" % (len(event), event))
        await trio.sleep(0.002)
    await stream.send_all(b"0\r\n\r\n")


def write_settings(folder: Path, store: str) -> Path:
    """Write the settings file of the measured gateway and return its path."""
    path = folder / "settings.json"
    fields = make_settings("measured", IP, "east-a", store)
    path.write_bytes(orjson.dumps(fields))
    return path


async def send_requests(path: str, requests: int) -> None:
    """Send requests one after the other on one connection."""
    async with await trio.open_tcp_stream(IP, PORTS["front"]) as stream:
        for number in range(requests):
            head = (
                f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id(stream)}-{number}\r\n"
                "Deadline-Ms: 60000\r\nContent-Length: 600\r\n\r\n"
            )
            await stream.send_all(head.encode() + b"q" * 600)
            answer = await read_answer(stream)
            assert answer.status == 200, answer
            assert answer.whole


async def measure(pid: int, path: str, requests: int) -> float:
    """Return the gateway's CPU time per request in seconds."""
    await send_requests(path, 20)
    before = read_usage(pid).cpu_s
    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(send_requests, path, requests // CALLERS)
    return (read_usage(pid).cpu_s - before) / (requests // CALLERS * CALLERS)


async def run(requests: int, events: int) -> None:
    """Start the gateway, measure it and print the results."""
    async with trio.open_nursery() as nursery:
        site = await Site.open(nursery)
        await site.add_target("books", answer_text(BODY), slots=64)
        await site.add_target("drafts", partial(send_events, events), slots=64)
        site.configure(
            make_route("books", "unsafe", timeout_ms=60_000, target_latency_ms=60_000),
            make_route(
                "drafts",
                "streaming",
                "/drafts/",
                timeout_ms=60_000,
                target_latency_ms=60_000,
                gap_aim_ms=60_000,
            ),
        )
        with tempfile.TemporaryDirectory() as folder:
            settings = write_settings(Path(folder), site.store.address)
            command = [sys.executable, "deploy/gateway.py"]
            environment = {**os.environ, SETTINGS_VARIABLE: str(settings)}
            process = subprocess.Popen(
                command, stdout=subprocess.DEVNULL, env=environment
            )
            try:
                await wait_until_ready()
                started_s = read_usage(process.pid).cpu_s
                answer_s = await measure(process.pid, "/books/1", requests)
                stream_s = await measure(process.pid, "/drafts/1", requests // 10)
                event_s = (stream_s - answer_s) / events
                print(f"start: {started_s:.2f} s of processor time")
                print(f"whole answer of {len(BODY)} bytes: {answer_s * 1000:.2f} ms")
                print(f"event of a stream: {event_s * 1e6:.0f} us")
            finally:
                process.terminate()
                process.wait()
        nursery.cancel_scope.cancel()


async def wait_until_ready() -> None:
    """Wait until the gateway answers a request."""
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            await trio.sleep(0.1)
            try:
                await send_requests("/books/1", 1)
            except (OSError, AssertionError):
                continue
            return


def main() -> None:
    """Read the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--events", type=int, default=40)
    arguments = parser.parse_args()
    trio.run(run, arguments.requests, arguments.events)


if __name__ == "__main__":
    main()
