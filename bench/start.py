"""Measures the time from process start to ready: ``python -m bench.start``."""

from __future__ import annotations

import argparse
import statistics
import time

import trio

from .setting import HOST, open_deployment
from .usage import read_usage


async def main(options: argparse.Namespace) -> None:
    """Run the benchmark and print the results."""
    ready_times_s, cpu_times_s = [], []
    async with open_deployment(1) as fleet:
        for _ in range(options.starts):
            await fleet.processes[HOST].kill()
            started = time.perf_counter()
            process = fleet.launch_host(HOST)
            await fleet.wait_ready(HOST)
            ready_times_s.append(time.perf_counter() - started)
            cpu_times_s.append(read_usage(process.pid).cpu_s)
    print(
        f"start to ready over {options.starts} starts: "
        f"median {statistics.median(ready_times_s):.2f} s, "
        f"most {max(ready_times_s):.2f} s; "
        f"processor time: median {statistics.median(cpu_times_s):.2f} s"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Time from start to ready.")
    parser.add_argument("--starts", type=int, default=5)
    trio.run(main, parser.parse_args())
