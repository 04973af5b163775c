"""
Plays seeds: ``python -m soak --seed 7`` or ``python -m soak --count 50``.

It prints a line for each seed and, for one that broke a promise, what broke
and where its files are. Without ``--seed`` the seeds are drawn anew.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from pathlib import Path

import trio

from .checks import summarise
from .plan import Sizes
from .run import Result, play

MOST_SHOWN = 5


def main() -> int:
    """Play the seeds that the command line asks for; 1 if one broke a promise."""
    options = _read_options()
    sizes = Sizes(options.hosts, options.targets, options.seconds, options.rate)
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(1 << 31)
    root = Path(options.directory or tempfile.mkdtemp(prefix="soak-"))
    broken = 0
    for seed in range(first, first + options.count):
        directory = root / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        result = trio.run(play, sizes, seed, directory)
        broken += bool(result.violations)
        _show(result, directory)
    return min(1, broken)


def _show(result: Result, directory: Path) -> None:
    counts = summarise(result.outcomes)
    print(
        f"seed {result.seed}: {result.faults} faults, {len(result.outcomes)} requests,"
        f" {result.memory_bytes >> 20} MB, {counts}",
        flush=True,
    )
    for violation in result.violations[:MOST_SHOWN]:
        print(f"  broken: {violation.check}: {violation.detail}", flush=True)
    if result.violations:
        print(f"  {len(result.violations)} in all; files in {directory}", flush=True)


def _read_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="of the first run")
    parser.add_argument("--count", type=int, default=1, help="seeds to play")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults")
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--targets", type=int, default=12)
    parser.add_argument("--rate", type=float, default=0.8, help="faults a second")
    parser.add_argument("--directory", help="for settings, logs and records")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
