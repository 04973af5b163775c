"""
What each mechanism of placing is worth: ``python -m bench.ablation``.

Plays loads on the gateway's decisions, as the tests do, with one mechanism switched
off at a time. Prints the part of callers in their aim; no process is started and no
network used.
"""

from __future__ import annotations

import argparse
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from lycheepath.core.placement import accuracy
from lycheepath.core.placement.model import QueriedTargets
from tests.core.placement.simulated_region import SimulatedRegion

if TYPE_CHECKING:
    from collections.abc import Callable

PLACEMENT = "lycheepath.core.placement."
# Requests a second that 28 engines serve.
CAPACITY = 375.0


@dataclass(frozen=True, slots=True)
class Load:
    """A region and what comes to it; the first ``slow`` engines are slow."""

    name: str
    hosts: int
    engines: int
    per_s: float
    slow: int = 0


LOADS = (
    Load("3 hosts, 9 engines, 70/s", 3, 9, 70.0),
    Load("a third of them slow", 3, 9, 70.0, slow=3),
    Load("65 hosts, 0.9 of capacity", 65, 28, 0.9 * CAPACITY),
    Load("1.5 times", 65, 28, 1.5 * CAPACITY),
    Load("3 times", 65, 28, 3.0 * CAPACITY),
)
SLOWNESS = 3.0
SECONDS, FILLED_S = 9.0, 4.0


def ask_nobody(self: Any, targets: Any, *rest: Any) -> QueriedTargets:
    """Stand in for keepers: each host goes by what it knows itself."""
    return QueriedTargets(targets, {})


# The name of what is switched off, with what takes its place.
SWITCHES: dict[str, tuple[tuple[str, Any], ...]] = {
    "nothing": (),
    "keepers of targets": (
        (
            "tests.core.placement.simulated_region.SimulatedRegion.query_coordinators",
            ask_nobody,
        ),
    ),
    "owners of shared parts": (
        (PLACEMENT + "candidates.OWNERS_PER_PART", 0),
        (PLACEMENT + "estimates.OWNER_BONUS_S", 0.0),
    ),
    "fetched parts": ((PLACEMENT + "estimates.MIN_FETCHED_TOKENS", 10**9),),
    "engine weight": ((PLACEMENT + "estimates.ENGINE_WEIGHT", 0.0),),
    "late weight (safe share)": ((PLACEMENT + "estimates.LATE_WEIGHT", 0.0),),
    "weight of the rest of an answer": ((PLACEMENT + "estimates.REST_WEIGHT", 0.0),),
    "cost of full engines": ((PLACEMENT + "estimates.FULL_COST_S", 0.0),),
    "wait for a place": (
        (PLACEMENT + "estimates.estimate_slot_wait_s", lambda *rest: 0.0),
    ),
    "all alike where places run out": (
        (PLACEMENT + "speed.SpeedModel.lacks_slots", lambda *rest: False),
    ),
    "errors of estimates": (
        (
            PLACEMENT + "accuracy.EstimateErrors.find_ratio",
            lambda *rest: accuracy.PRIOR_RATIO,
        ),
    ),
    "pace of targets": ((PLACEMENT + "slowdown.Slowdown.find", lambda *rest: 1.0),),
    "second question": ((PLACEMENT + "choice.CONCLUSIVE_WAIT_S", float("inf")),),
    "admission": ((PLACEMENT + "choice._admit", lambda wanted, best, ratio: best),),
}


def play(load: Load, switch: str, seeds: int) -> float:
    """Return the part of callers in their aim with one mechanism switched off."""
    in_aim = asked = 0
    for seed in range(1, seeds + 1):
        with ExitStack() as stack:
            for name, replacement in SWITCHES[switch]:
                stack.enter_context(patch(name, replacement))
            region = SimulatedRegion(load.hosts, load.engines, seed)
            for number in range(load.slow):
                region.engines[f"i-{number}"].slowness = SLOWNESS
            region.run(_hold(load.per_s), SECONDS, FILLED_S)
        for counts in region.results().values():
            in_aim += counts["in aim"]
            asked += counts.total()
    return in_aim / asked


def _hold(per_s: float) -> Callable[[float], float]:
    return lambda now: per_s


def main(options: argparse.Namespace) -> None:
    """Print a row for each mechanism."""
    print("| off | " + " | ".join(load.name for load in LOADS) + " |")
    print("|---|" + "---:|" * len(LOADS))
    for switch in SWITCHES:
        shares = [f"{play(load, switch, options.seeds):.3f}" for load in LOADS]
        print(f"| {switch} | " + " | ".join(shares) + " |", flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2, help="plays of each load")
    main(parser.parse_args())
