"""
Callers in a process of their own, and the processor time that a load costs each process.

A benchmark starts its own module once more with ``--call DIRECTORY``; that process calls
``announce_ready``, sends the load and prints its result as the last line.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson
import trio

from standins.processes import start_process

from .usage import Usage, compute_core_share, read_usage

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Sequence
    from pathlib import Path

    from standins.host_processes import HostProcess

# Time in which hosts that are ready hear of each other before the load.
MEET_S = 3.0
# Time for the last answers after the end of the load.
ANSWERS_S = 10.0
NOT_PASSED = "call", "logs"


@dataclass(frozen=True)
class Measured:
    """What the callers printed, and the share of a core that each process used."""

    started_at: float
    result: dict[str, Any]
    core_shares: dict[str, float]
    load_averages: tuple[float, float]

    def describe(self) -> dict[str, Any]:
        """Return the figures as a benchmark prints them."""
        shares = {name: round(share, 2) for name, share in self.core_shares.items()}
        averages = [round(average, 1) for average in self.load_averages]
        return {**self.result, "cores": shares, "load_averages": averages}


def announce_ready() -> None:
    """Tell the process that started the callers that the load begins."""
    print('{"ready": true, "port": 0}', flush=True)


async def measure_callers(
    module: str, options: Namespace, hosts: Sequence[HostProcess], directory: Path
) -> Measured:
    """
    Run the callers, and read the processor time of all processes over the load.

    Raises ``trio.TooSlowError`` if the callers don't end in time.
    """
    arguments = ["-m", module, "--call", str(directory)]
    for name, value in vars(options).items():
        if name not in NOT_PASSED:
            arguments += [f"--{name.replace('_', '-')}", str(value)]
    callers = await start_process("callers", arguments, directory)
    started_at, load_before = trio.current_time(), os.getloadavg()[0]
    processes = [*(host.process for host in hosts), callers]
    pids = {process.name: process.pid for process in processes}
    pids["targets"] = os.getpid()
    before = {name: read_usage(pid) for name, pid in pids.items()}
    try:
        # The callers' time is read before they end.
        await trio.sleep(options.seconds)
        after: dict[str, Usage] = {n: read_usage(pid) for n, pid in pids.items()}
        await callers.wait(ANSWERS_S)
    finally:
        with trio.CancelScope(shield=True):
            await callers.kill()
    return Measured(
        started_at,
        orjson.loads(callers.read_output().splitlines()[-1]),
        {name: compute_core_share(before[name], after[name]) for name in pids},
        (load_before, os.getloadavg()[0]),
    )
