"""Reads the CPU time and memory of a process from ``/proc``."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS_FIELD, SYSTEM_TICKS_FIELD = 11, 12
KB_PER_MB = 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """The CPU time that a process had used at a time, both in seconds."""

    at_s: float
    cpu_s: float


def read_usage(pid: int) -> Usage:
    """Return the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return Usage(time.monotonic(), ticks / TICKS_PER_S)


def compute_core_share(before: Usage, after: Usage) -> float:
    """Return the share of one core used between two readings, 1.0 for all of it."""
    return (after.cpu_s - before.cpu_s) / (after.at_s - before.at_s)


def read_memory_mb(pid: int) -> float:
    """Return the resident memory; raises ValueError if the process has none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    raise ValueError(f"process {pid} has no resident memory")
