"""
Measures the memory of one host: ``python -m bench.memory``.

Prints the resident memory of an idle host, and its growth with open streams and
with callers that request long answers without reading them.
"""

from __future__ import annotations

import argparse
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import trio

from .client import Pool, build_body
from .setting import HOST, open_deployment
from .usage import read_memory_mb

if TYPE_CHECKING:
    from standins.fleet import Fleet

ENGINES = 3
SETTLE_S = 3.0
OPEN_STREAMS = 1000
OPEN_TOKEN_MS = 2000.0
OPEN_TOKENS = 200
OPEN_PAUSE_S = 0.01
SLOW_CALLERS = 20
SLOW_TOKEN_MS = 1.0
SLOW_TOKENS = 100_000
CHUNK_BYTES = 190


async def main(options: argparse.Namespace) -> None:
    """Run the benchmark and print the results."""
    await _measure_open_streams(options.streams)
    await _measure_slow_callers(options.slow_callers, options.slow_s)


async def _measure_open_streams(streams: int) -> None:
    async with open_deployment(ENGINES, slots=streams, token_ms=OPEN_TOKEN_MS) as fleet:
        await trio.sleep(SETTLE_S)
        idle_mb = _read_host_mb(fleet)
        print(f"at rest: {idle_mb:.1f} MB")
        async with AsyncExitStack() as stack:
            await _open_streams(fleet, stack, streams, OPEN_TOKENS)
            await trio.sleep(SETTLE_S)
            running = await _count_running(fleet)
            added_mb = _read_host_mb(fleet) - idle_mb
            print(
                f"{running} open streams: {added_mb:.1f} MB more, "
                f"{1000 * added_mb / max(1, running):.1f} MB for each 1,000"
            )


async def _measure_slow_callers(callers: int, duration_s: float) -> None:
    async with open_deployment(ENGINES, slots=callers, token_ms=SLOW_TOKEN_MS) as fleet:
        await trio.sleep(SETTLE_S)
        idle_mb = _read_host_mb(fleet)
        async with AsyncExitStack() as stack:
            await _open_streams(fleet, stack, callers, SLOW_TOKENS)
            for part in range(1, 4):
                await trio.sleep(duration_s / 3)
                print(
                    f"{callers} callers that don't read, "
                    f"after {part * duration_s / 3:.0f} s: "
                    f"{_read_host_mb(fleet) - idle_mb:.1f} MB more"
                )
            answers_mb = callers * SLOW_TOKENS * CHUNK_BYTES / 1e6
            print(f"(their whole answers are {answers_mb:.0f} MB)")


async def _open_streams(
    fleet: Fleet, stack: AsyncExitStack, streams: int, tokens: int
) -> None:
    pool = Pool(fleet.processes[HOST].address, fleet.caller().key)
    for number in range(streams):
        connection = await stack.enter_async_context(pool.connect())
        stack.push_async_callback(trio.aclose_forcefully, connection.stream_socket)
        await connection.send(build_body(f"open {number}", tokens, stream=True))
        await trio.sleep(OPEN_PAUSE_S)


async def _count_running(fleet: Fleet) -> int:
    running = 0
    for name in fleet.targets:
        running += (await fleet.read(name, "/v1/load"))["running"]
    return running


def _read_host_mb(fleet: Fleet) -> float:
    return read_memory_mb(fleet.processes[HOST].pid)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Memory of one host.")
    parser.add_argument("--streams", type=int, default=OPEN_STREAMS)
    parser.add_argument("--slow-callers", type=int, default=SLOW_CALLERS)
    parser.add_argument("--slow-s", type=float, default=15.0)
    trio.run(main, parser.parse_args())
