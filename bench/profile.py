"""Where a host under load spends its time: ``python -m bench.profile``."""

from __future__ import annotations

import argparse
import pstats

import trio

from .setting import HOST, open_setting, read_load, start_load

ENGINES = 3
ENGINE_SLOTS = 200
TOKEN_MS = 10.0
LINES = 40


async def main(options: argparse.Namespace) -> None:
    """Load a host under the profiler and print its costliest functions."""
    async with open_setting(
        ENGINES, "bench.profiled_host", slots=ENGINE_SLOTS, token_ms=TOKEN_MS
    ) as fleet:
        host = fleet.processes[HOST]
        load = start_load(
            fleet,
            host,
            rate=options.rate,
            tokens=options.tokens,
            warm_up_s=0.0,
            duration_s=options.duration_s,
        )
        print(await read_load(load))
        host.terminate()
        await host.wait(limit_s=60.0)
        stats = pstats.Stats(str(fleet.directory / f"{HOST}.json.profile"))
    stats.strip_dirs().sort_stats("tottime").print_stats(LINES)
    stats.sort_stats("cumulative").print_stats(2 * LINES)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Profiles one host under load.")
    parser.add_argument("--rate", type=float, default=5.0)
    parser.add_argument("--tokens", type=int, default=400)
    parser.add_argument("--duration-s", type=float, default=12.0)
    trio.run(main, parser.parse_args())
