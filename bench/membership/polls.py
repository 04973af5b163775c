"""
Measures the processor time of one poll of a target's load.

    python -m bench.membership.polls

Starts one stand-in engine and polls it through the host's own client. Only the
time of this process is counted, not the engine's.
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
POLLS = 600
WARM_UP = 50
TIMEOUT_S = 5.0


async def poll(address: str, count: int) -> float:
    """Return the processor time of one poll in microseconds."""
    client = EngineClient()
    for _ in range(WARM_UP):
        await client.read_load(address, TIMEOUT_S)
    started = time.process_time()
    failed = 0
    for _ in range(count):
        failed += await client.read_load(address, TIMEOUT_S) is None
    spent = time.process_time() - started
    await client.aclose()
    if failed:
        raise RuntimeError(f"{failed} polls failed")
    return 1e6 * spent / count


def main() -> None:
    """Start the engine, measure and print."""
    engine = subprocess.Popen(
        [sys.executable, "-m", "standins.engine", "--port", "0"],
        stdout=subprocess.PIPE,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
    )
    try:
        assert engine.stdout is not None
        port = json.loads(engine.stdout.readline())["port"]
        result = trio.run(partial(poll, f"127.0.0.1:{port}", POLLS))
    finally:
        engine.kill()
        engine.wait()
    print(json.dumps({"polls": POLLS, "cpu_us_per_poll": round(result)}))


if __name__ == "__main__":
    main()
