"""
Prints the policy comparison tables of ``docs/POLICY.md``.

``python -m traces.report [DEPLOYMENT] [SCENARIO] [POLICY,POLICY] [SEED,SEED]``
Each value is the mean over replays with the given seeds, by default ``SEEDS``.
"""

from __future__ import annotations

import sys
from time import perf_counter
from typing import TYPE_CHECKING

from .deployments import DEPLOYMENTS
from .figures import average, compute_figures, format_table
from .generator import RECORDED_FOLDER, SCENARIOS
from .policies import POLICIES
from .replay import Replay
from .trace import read_trace

if TYPE_CHECKING:
    from collections.abc import Sequence

SEEDS = (1, 2, 3)


def main(arguments: list[str]) -> None:
    """Replay the selected recorded traces and print one table for each."""
    selection = [*arguments, "", "", "", ""][:4]
    policies = selection[2].split(",") if selection[2] else list(POLICIES)
    seeds = [int(seed) for seed in selection[3].split(",") if seed] or SEEDS
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            if selection[0] not in ("", deployment) or selection[1] not in (
                "",
                scenario,
            ):
                continue
            print(f"\n### {deployment}, {scenario}\n")
            print(_replay(deployment, scenario, policies, seeds))


def _replay(
    deployment: str, scenario: str, policies: list[str], seeds: Sequence[int]
) -> str:
    trace = read_trace(RECORDED_FOLDER / f"{deployment}-{scenario}.csv.gz")
    rows = []
    for policy in policies:
        started = perf_counter()
        samples = []
        for seed in seeds:
            replay = Replay(trace, policy, seed)
            replay.run()
            samples.append(compute_figures(replay))
        rows.append((policy, average(samples)))
        print(f"{policy}: {perf_counter() - started:.1f} s", file=sys.stderr)
    return format_table(rows)


if __name__ == "__main__":
    main(sys.argv[1:])
