"""
What one host carries on one core: ``python -m bench.capacity``.

Prints, for growing loads, what was offered, what came through, and the
processor time of the host; then the same for short whole answers.
"""

from __future__ import annotations

import argparse

import trio

from .setting import HOST, open_setting, read_load, start_load
from .usage import read_usage, share_of_core

ENGINES = 4
ENGINE_SLOTS = 200
TOKEN_MS = 10.0
WARM_UP_S = 6.0
TOKENS = 400
US_PER_S = 1_000_000


async def main(options: argparse.Namespace) -> None:
    """Run the benchmark and print its figures."""
    async with open_setting(ENGINES, slots=ENGINE_SLOTS, token_ms=TOKEN_MS) as fleet:
        host = fleet.processes[HOST]
        before = read_usage(host.pid)
        await trio.sleep(options.duration_s)
        at_rest = share_of_core(before, read_usage(host.pid))
        print(f"at rest: {at_rest:.2%} of a core")
        for rate in options.rates:
            load = start_load(
                fleet,
                rate=rate,
                tokens=TOKENS,
                warm_up_s=WARM_UP_S,
                duration_s=options.duration_s,
            )
            await trio.sleep(WARM_UP_S)
            before = read_usage(host.pid)
            await trio.sleep(options.duration_s)
            share = share_of_core(before, read_usage(host.pid))
            result = await read_load(load)
            per_event_us = share / max(1, result["events_per_s"]) * US_PER_S
            print(
                f"offered {rate:g} requests/s, {rate * TOKENS:g} tokens/s: {result}; "
                f"host {share:.0%} of a core, {per_event_us:.0f} us for each chunk"
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="What one host carries.")
    parser.add_argument("--rates", type=float, nargs="+", default=[3, 10, 25, 50])
    parser.add_argument("--duration-s", type=float, default=8.0)
    trio.run(main, parser.parse_args())
