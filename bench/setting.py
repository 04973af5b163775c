"""The deployment that benchmarks measure: a platform, engines and one host."""

from __future__ import annotations

import json
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins.fleet import HOST_MODULE, Fleet, open_fleet
from standins.processes import Process, launch_process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = "host-1"
ZONE = "accra-1"
PREFILL_TOKENS_PER_S = 1_000_000
LOAD_TIMEOUT_S = 120.0


@asynccontextmanager
async def open_deployment(
    engines: int, host_module: str = HOST_MODULE, **options: Any
) -> AsyncIterator[Fleet]:
    """Provide a fleet of ``engines`` engines and one ready host."""
    with tempfile.TemporaryDirectory() as directory:
        async with open_fleet(Path(directory)) as fleet:
            fleet.host_module = host_module
            await fleet.start_platform()
            for number in range(engines):
                await fleet.start_engine(
                    f"runner-{number}",
                    ZONE,
                    prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
                    **options,
                )
            fleet.add_host(HOST, ZONE)
            await fleet.publish_environment()
            await fleet.start_host(HOST)
            yield fleet


def start_load(fleet: Fleet, target: Process, **options: Any) -> Process:
    """Start a process that sends load to ``target``."""
    arguments = ["-m", "bench.load", "--address", target.address]
    arguments += ["--key", fleet.caller().key]
    for name, value in options.items():
        arguments += ["--" + name.replace("_", "-"), str(value)]
    name = f"load-{len(fleet.processes)}"
    process = launch_process(name, arguments, fleet.directory)
    fleet.processes[process.name] = process
    return process


async def read_load(process: Process) -> dict[str, Any]:
    """Wait for a load process to end and return its results."""
    await process.wait(LOAD_TIMEOUT_S)
    result: dict[str, Any] = json.loads(process.read_output().splitlines()[-1])
    return result
