"""Time from the start of a host's process to ready: ``python -m bench.start``."""

from __future__ import annotations

import argparse
import statistics
import time

import trio

from .setting import HOST, open_setting
from .usage import read_usage


async def main(options: argparse.Namespace) -> None:
    """Run the benchmark and print its figures."""
    times_s, cpu_s = [], []
    async with open_setting(1) as fleet:
        for _ in range(options.starts):
            await fleet.processes[HOST].kill()
            started = time.perf_counter()
            process = fleet.launch_host(HOST)
            await fleet.wait_ready(HOST)
            times_s.append(time.perf_counter() - started)
            cpu_s.append(read_usage(process.pid).cpu_s)
    print(
        f"start to ready over {options.starts} starts: "
        f"median {statistics.median(times_s):.2f} s, most {max(times_s):.2f} s; "
        f"processor time: median {statistics.median(cpu_s):.2f} s"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Time from start to ready.")
    parser.add_argument("--starts", type=int, default=5)
    trio.run(main, parser.parse_args())
