"""
Measures the CPU time of a routing decision by number of targets.

``python -m traces.decision_cost`` prints the microseconds of a decision and of
a full request cycle: choose, send, first token, completion. Each target sends a
load report every ten cycles; prompts have ``PROMPT_BLOCKS`` blocks, and all
targets have prefix records.
"""

from __future__ import annotations

from random import Random
from statistics import median
from time import process_time

from lycheepath.core.environment.model import (
    Environment,
    Host,
    Model,
    Region,
    Stage,
    Target,
    TargetKind,
    Zone,
)
from lycheepath.core.routing.reports import LoadReport
from lycheepath.core.routing.request import RoutedRequest
from lycheepath.core.routing.router import Router

TARGET_COUNTS = (9, 20, 40, 100, 200)
PROMPT_BLOCKS = 32
CYCLES = 2_000
BATCH_CYCLES = 100
US_PER_S = 1e6


def main() -> None:
    """Print the CPU times for each number of targets in ``TARGET_COUNTS``."""
    print("| targets | choose us | whole round us |")
    print("|---|---|---|")
    for target_count in TARGET_COUNTS:
        choose_us, cycle_us = measure(target_count)
        print(f"| {target_count} | {choose_us:.0f} | {cycle_us:.0f} |")


def measure(targets: int) -> tuple[float, float]:
    """Return the median CPU time in microseconds of a decision and of a cycle."""
    router = Router("h", "r0", Random(1))
    router.apply(_build_environment(targets))
    choose_times_us = []
    cycle_times_us = []
    for batch in range(CYCLES // BATCH_CYCLES):
        choose_s = 0.0
        started = process_time()
        for number in range(BATCH_CYCLES):
            choose_s += _run_cycle(router, batch * BATCH_CYCLES + number)
        cycle_times_us.append((process_time() - started) / BATCH_CYCLES * US_PER_S)
        choose_times_us.append(choose_s / BATCH_CYCLES * US_PER_S)
    return median(choose_times_us), median(cycle_times_us)


def _run_cycle(router: Router, number: int) -> float:
    now = number * 0.05
    system = number % 20
    blocks = tuple(system * 1000 + index for index in range(PROMPT_BLOCKS))
    request = RoutedRequest(
        f"q{number}", "m", blocks, 2200, 256, 5, now + 60.0, "r0", None
    )
    if number % 10 == 0:
        for view in router.registry.views():
            router.registry.apply_load_report(view.id, LoadReport(running=3), now)
    started = process_time()
    choice = router.choose(request, now)
    choose_s = process_time() - started
    if choice:
        router.record_send(request, choice, now)
        router.registry.record_first_token(request.id, now + 0.2)
        router.registry.record_completion(request.id, now + 2.0, 100)
    return choose_s


def _build_environment(targets: int) -> Environment:
    regions = tuple(f"r{number}" for number in range(3))
    return Environment(
        name="cost",
        revision=1,
        stage=Stage.TRIAL,
        regions=tuple(Region(name) for name in regions),
        zones=tuple(Zone(name, name) for name in regions),
        hosts=(Host("h", "r0", "127.0.0.1:1", "127.0.0.1:2"),),
        targets=tuple(
            Target(
                f"t{number}",
                regions[number % 3],
                "127.0.0.1:3",
                TargetKind.RUNNER,
                models=("m",),
            )
            for number in range(targets)
        ),
        models=(Model("m"),),
    )


if __name__ == "__main__":
    main()
