"""
Measures the CPU time of one poll of a target's load.

    python -m bench.membership.polls

Starts one simulated engine and polls it with the client that hosts use. Counts
only the CPU time of this process, not that of the engine.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from functools import partial
from pathlib import Path

import trio

from lycheepath.adapters.targets.engine import EngineClient

ROOT = Path(__file__).parents[2]
POLL_COUNT = 600
WARM_UP_POLLS = 50
TIMEOUT_S = 5.0


async def measure_poll_us(address: str, count: int) -> float:
    """
    Return the CPU time of one poll in microseconds.

    Raises RuntimeError when a poll fails.
    """
    client = EngineClient()
    for _ in range(WARM_UP_POLLS):
        await client.read_load(address, TIMEOUT_S)
    started = time.process_time()
    failed = 0
    for _ in range(count):
        failed += await client.read_load(address, TIMEOUT_S) is None
    spent_s = time.process_time() - started
    await client.aclose()
    if failed:
        raise RuntimeError(f"{failed} polls failed")
    return 1e6 * spent_s / count


def main() -> None:
    """Start the engine, measure and print the results."""
    engine = subprocess.Popen(
        [sys.executable, "-m", "standins.engine", "--port", "0"],
        stdout=subprocess.PIPE,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
    )
    try:
        assert engine.stdout is not None
        port = json.loads(engine.stdout.readline())["port"]
        result = trio.run(partial(measure_poll_us, f"127.0.0.1:{port}", POLL_COUNT))
    finally:
        engine.kill()
        engine.wait()
    print(json.dumps({"polls": POLL_COUNT, "cpu_us_per_poll": round(result)}))


if __name__ == "__main__":
    main()
