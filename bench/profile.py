"""Profiles one host under load: ``python -m bench.profile``."""

from __future__ import annotations

import argparse
import pstats

import trio

from .setting import HOST, open_deployment, read_load, start_load

ENGINES = 3
ENGINE_SLOTS = 200
TOKEN_MS = 10.0
PRINTED_FUNCTIONS = 40


async def main(options: argparse.Namespace) -> None:
    """Run a host under load with cProfile and print the costliest functions."""
    async with open_deployment(
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
    stats.strip_dirs().sort_stats("tottime").print_stats(PRINTED_FUNCTIONS)
    stats.sort_stats("cumulative").print_stats(2 * PRINTED_FUNCTIONS)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Profiles one host under load.")
    parser.add_argument("--rate", type=float, default=5.0)
    parser.add_argument("--tokens", type=int, default=400)
    parser.add_argument("--duration-s", type=float, default=12.0)
    trio.run(main, parser.parse_args())
