"""
Measures the effect of each placement mechanism: ``python -m bench.ablation``.

Runs the simulated region of the tests under several loads with one mechanism
disabled at a time, and prints the share of callers served within their latency
objective. Starts no processes and uses no network.
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
# Requests per second that 28 engines can serve.
CAPACITY_PER_S = 375.0


@dataclass(frozen=True, slots=True)
class Load:
    """A region and its load; the first ``slow_engines`` engines are slow."""

    name: str
    hosts: int
    engines: int
    requests_per_s: float
    slow_engines: int = 0


LOADS = (
    Load("3 hosts, 9 engines, 70/s", 3, 9, 70.0),
    Load("a third of them slow", 3, 9, 70.0, slow_engines=3),
    Load("65 hosts, 0.9 of capacity", 65, 28, 0.9 * CAPACITY_PER_S),
    Load("1.5 times", 65, 28, 1.5 * CAPACITY_PER_S),
    Load("3 times", 65, 28, 3.0 * CAPACITY_PER_S),
)
SLOW_ENGINE_FACTOR = 3.0
RUN_S, WARM_UP_S = 9.0, 4.0


def query_no_coordinators(self: Any, targets: Any, *rest: Any) -> QueriedTargets:
    """Replace the query of coordinators: each host uses only its local state."""
    return QueriedTargets(targets, {})


# The replacements that disable each mechanism, by the printed name.
MECHANISMS: dict[str, tuple[tuple[str, Any], ...]] = {
    "nothing": (),
    "keepers of targets": (
        (
            "tests.core.placement.simulated_region.SimulatedRegion.query_coordinators",
            query_no_coordinators,
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
    "admission": ((PLACEMENT + "choice._admit", lambda request, best, ratio: best),),
}


def measure(load: Load, mechanism: str, seeds: int) -> float:
    """Return the share of callers within their objective without one mechanism."""
    within_objective = total = 0
    for seed in range(1, seeds + 1):
        with ExitStack() as stack:
            for name, replacement in MECHANISMS[mechanism]:
                stack.enter_context(patch(name, replacement))
            region = SimulatedRegion(load.hosts, load.engines, seed)
            for number in range(load.slow_engines):
                region.engines[f"i-{number}"].slowness = SLOW_ENGINE_FACTOR
            region.run(_make_constant_rate(load.requests_per_s), RUN_S, WARM_UP_S)
        for counts in region.results().values():
            within_objective += counts["in aim"]
            total += counts.total()
    return within_objective / total


def _make_constant_rate(requests_per_s: float) -> Callable[[float], float]:
    return lambda now: requests_per_s


def main(options: argparse.Namespace) -> None:
    """Print one table row per disabled mechanism."""
    print("| off | " + " | ".join(load.name for load in LOADS) + " |")
    print("|---|" + "---:|" * len(LOADS))
    for mechanism in MECHANISMS:
        shares = [f"{measure(load, mechanism, options.seeds):.3f}" for load in LOADS]
        print(f"| {mechanism} | " + " | ".join(shares) + " |", flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2, help="plays of each load")
    main(parser.parse_args())
