"""
Plays seeds: ``python -m soak --seed 7`` or ``python -m soak --count 50``.

It prints a line for each seed and, for one that broke a promise, what broke
and where its files are. Without ``--seed`` the seeds are drawn anew;
``--regressions`` plays those that ever failed.
"""

from __future__ import annotations

import argparse
import random
import signal
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

import trio

from .callers import summarise
from .plan import Sizes
from .run import Result, run_seed
from .teams import MIN_TEAMS

MAX_SHOWN_VIOLATIONS = 5
REGRESSIONS = Path(__file__).with_name("regressions.toml")


def main() -> int:
    """Run the seeds of the command line; return 1 if one violated a guarantee."""
    # SIGTERM is handled like Ctrl+C, so that a run's processes are ended.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    options = _read_options()
    root = Path(options.directory or tempfile.mkdtemp(prefix="soak-"))
    broken = 0
    for seed, sizes in _list_runs(options):
        directory = root / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        result = trio.run(run_seed, sizes, seed, directory)
        broken += bool(result.violations)
        _show(result, directory)
    return min(1, broken)


def read_regressions() -> list[dict[str, Any]]:
    """Return the regression seeds, with their sizes and causes."""
    with REGRESSIONS.open("rb") as text:
        cases: list[dict[str, Any]] = tomllib.load(text)["case"]
    return cases


def _list_runs(options: argparse.Namespace) -> list[tuple[int, Sizes]]:
    if options.regressions:
        return [(case["seed"], Sizes(**case["sizes"])) for case in read_regressions()]
    sizes = Sizes(
        options.hosts,
        options.targets,
        options.seconds,
        options.rate,
        limited_share=options.limited_share,
        fatal_per_s=options.fatal,
        versions=options.versions,
        older_checkout=options.older_checkout,
        stranded_share=options.stranded,
        brittle_share=options.brittle,
        odd_entries=options.odd_entries,
        silent=options.silent,
        kept=options.kept,
        restores=options.restores,
        teams=options.teams,
    )
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(1 << 31)
    return [(seed, sizes) for seed in range(first, first + options.count)]


def _show(result: Result, directory: Path) -> None:
    counts = summarise(result.outcomes)
    print(
        f"seed {result.seed}: {result.faults} faults, {len(result.outcomes)} requests,"
        f" {result.memory_bytes >> 20} MB, {counts}",
        flush=True,
    )
    for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
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
    parser.add_argument(
        "--limited-share", type=float, default=0.0, help="of targets that state limits"
    )
    parser.add_argument(
        "--fatal", type=float, default=0.0, help="requests a second that end targets"
    )
    parser.add_argument(
        "--versions", type=int, default=1, help="software versions side by side"
    )
    parser.add_argument(
        "--older-checkout",
        type=Path,
        help="checkout of an earlier version that every other host runs",
    )
    parser.add_argument(
        "--stranded",
        type=float,
        default=0.0,
        help="share of hosts cut off from targets",
    )
    parser.add_argument(
        "--brittle", type=float, default=0.0, help="share of targets that are brittle"
    )
    parser.add_argument(
        "--odd-entries", action="store_true", help="leave odd entries in the store"
    )
    parser.add_argument(
        "--silent", action="store_true", help="let sound targets be silent at times"
    )
    parser.add_argument(
        "--kept", action="store_true", help="keep connections open, hold hosts up"
    )
    parser.add_argument(
        "--restores", action="store_true", help="restore the store from older copies"
    )
    parser.add_argument(
        "--teams",
        type=int,
        default=0,
        help="teams with keys, 3 or more; two have limits",
    )
    parser.add_argument(
        "--regressions", action="store_true", help="play the seeds that ever failed"
    )
    parser.add_argument("--directory", help="for settings, logs and records")
    options = parser.parse_args()
    if 0 < options.teams < MIN_TEAMS:
        parser.error(f"--teams takes {MIN_TEAMS} or more")
    return options


if __name__ == "__main__":
    sys.exit(main())
