"""
Measures the capacity of one host on one core: ``python -m bench.capacity``.

For increasing rates of streams, prints the offered load, the throughput and the
CPU time of the host, and the same for a minimal proxy built on the libraries
alone (see ``bench.passthrough``). Then saturates the host with short complete
answers and prints the requests per second.
"""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

import trio

from standins.processes import start_process

from .client import Pool, build_body
from .setting import HOST, open_deployment, read_load, start_load
from .usage import compute_core_share, read_usage

if TYPE_CHECKING:
    from standins.fleet import Fleet
    from standins.processes import Process

ENGINES = 4
ENGINE_SLOTS = 200
TOKEN_MS = 10.0
WARM_UP_S = 6.0
STREAM_TOKENS = 400
SHORT_ANSWER_CALLERS = 16
US_PER_S = 1_000_000


async def main(options: argparse.Namespace) -> None:
    """Run the benchmark and print its figures."""
    async with open_deployment(ENGINES, slots=ENGINE_SLOTS, token_ms=TOKEN_MS) as fleet:
        host, passthrough = fleet.processes[HOST], await _start_passthrough(fleet)
        await _measure_idle(host, options.duration_s)
        for rate in options.rates:
            for process in (host, passthrough):
                await _measure_streams(fleet, process, rate, options.duration_s)
        await _measure_requests(fleet, host, options.duration_s)


async def _start_passthrough(fleet: Fleet) -> Process:
    target = fleet.processes["runner-0"].address
    arguments = ["-m", "bench.passthrough", "--target", target]
    process = await start_process("passthrough", arguments, fleet.directory)
    fleet.processes[process.name] = process
    return process


async def _measure_idle(process: Process, duration_s: float) -> None:
    before = read_usage(process.pid)
    await trio.sleep(duration_s)
    share = compute_core_share(before, read_usage(process.pid))
    print(f"{process.name} at rest: {share:.2%} of a core")


async def _measure_streams(
    fleet: Fleet, process: Process, rate: float, duration_s: float
) -> None:
    load = start_load(
        fleet,
        process,
        rate=rate,
        tokens=STREAM_TOKENS,
        warm_up_s=WARM_UP_S,
        duration_s=duration_s,
    )
    await trio.sleep(WARM_UP_S)
    before = read_usage(process.pid)
    await trio.sleep(duration_s)
    share = compute_core_share(before, read_usage(process.pid))
    result = await read_load(load)
    chunk_us = share / max(1, result["events_per_s"]) * US_PER_S
    print(
        f"{process.name}, offered {rate:g} requests/s and "
        f"{rate * STREAM_TOKENS:g} tokens/s: "
        f"{result}; {share:.0%} of a core, {chunk_us:.0f} us for each chunk",
        flush=True,
    )


async def _measure_requests(fleet: Fleet, host: Process, duration_s: float) -> None:
    pool = Pool(host.address, fleet.caller().key)
    completed = 0

    async def send_requests() -> None:
        nonlocal completed
        while True:
            async with pool.connect() as connection:
                await connection.complete(build_body("short", 1, stream=False))
            completed += 1

    before = read_usage(host.pid)
    async with trio.open_nursery() as nursery:
        for _ in range(SHORT_ANSWER_CALLERS):
            nursery.start_soon(send_requests)
        await trio.sleep(duration_s)
        nursery.cancel_scope.cancel()
    share = compute_core_share(before, read_usage(host.pid))
    rate = completed / duration_s
    print(
        f"{host.name}, short whole answers: {rate:.0f} requests/s at {share:.0%} of a "
        f"core, {share / max(1, rate) * 1000:.1f} ms for each"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="What one host carries.")
    parser.add_argument("--rates", type=float, nargs="+", default=[2, 10, 25])
    parser.add_argument("--duration-s", type=float, default=6.0)
    trio.run(main, parser.parse_args())
