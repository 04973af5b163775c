"""
Measures the processor time of one decision against the number of targets.

``python -m traces.decision_cost`` prints the microseconds of a whole round:
choose, start, first token, finish, with a load report for each target every
ten rounds, prompts of ``BLOCKS`` blocks and warm records on all targets.
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

SIZES = (9, 20, 40, 100, 200)
BLOCKS = 32
ROUNDS = 2_000
BATCH = 100
MICROSECONDS = 1e6


def main() -> None:
    """Print a table."""
    print("| targets | choose us | whole round us |")
    print("|---|---|---|")
    for size in SIZES:
        choose_us, round_us = measure(size)
        print(f"| {size} | {choose_us:.0f} | {round_us:.0f} |")


def measure(targets: int) -> tuple[float, float]:
    """Return the median microseconds of a choice and of a whole round."""
    router = Router("h", "r0", Random(1))
    router.apply(_build_environment(targets))
    choices = []
    rounds = []
    for batch in range(ROUNDS // BATCH):
        spent = 0.0
        started = process_time()
        for number in range(BATCH):
            spent += _run_round(router, batch * BATCH + number)
        rounds.append((process_time() - started) / BATCH * MICROSECONDS)
        choices.append(spent / BATCH * MICROSECONDS)
    return median(choices), median(rounds)


def _run_round(router: Router, number: int) -> float:
    now = number * 0.05
    system = number % 20
    blocks = tuple(system * 1000 + index for index in range(BLOCKS))
    request = RoutedRequest(
        f"q{number}", "m", blocks, 2200, 256, 5, now + 60.0, "r0", None
    )
    if number % 10 == 0:
        for view in router.registry.views():
            router.registry.apply_load_report(view.id, LoadReport(running=3), now)
    started = process_time()
    choice = router.choose(request, now)
    spent = process_time() - started
    if choice:
        router.record_send(request, choice, now)
        router.registry.record_first_token(request.id, now + 0.2)
        router.registry.record_completion(request.id, now + 2.0, 100)
    return spent


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
