"""
Settings of randomised tests.

By default a run is short and deterministic. Environment variables select a long
run, for example::

    LYCHEEPATH_EXAMPLES=5000 LYCHEEPATH_STEPS=100 LYCHEEPATH_SEED=7 pytest -s ...

``LYCHEEPATH_SHRINK=0`` reports the first failure without shrinking it.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Mapping

SHORT_EXAMPLES = 60
SHORT_STEPS = 40


def run_machine(machine: type[RuleBasedStateMachine], tally: Counter[str]) -> None:
    """Run a state machine and print its seed, steps and tally."""
    examples = int(os.environ.get("LYCHEEPATH_EXAMPLES", SHORT_EXAMPLES))
    steps = int(os.environ.get("LYCHEEPATH_STEPS", SHORT_STEPS))
    shrinks = os.environ.get("LYCHEEPATH_SHRINK", "1") == "1"
    seed_text = os.environ.get("LYCHEEPATH_SEED", "")
    tally.clear()
    machine_settings = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=not seed_text,
        print_blob=True,
        phases=(Phase.generate, Phase.shrink) if shrinks else (Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    if seed_text:
        seed(int(seed_text))(machine)
    try:
        run_state_machine_as_test(machine, settings=machine_settings)
    finally:
        print(_summarise(machine.__name__, seed_text, examples, tally))


def _summarise(
    name: str, seed_text: str, examples: int, tally: Mapping[str, int]
) -> str:
    counts = " ".join(f"{key}={tally[key]}" for key in sorted(tally))
    return f"{name} seed={seed_text or 'derandomized'} examples={examples} {counts}"
