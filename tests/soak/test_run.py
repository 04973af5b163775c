"""A short run with a seed; longer ones are played by hand."""

from __future__ import annotations

from typing import TYPE_CHECKING

from soak.__main__ import read_regressions
from soak.plan import Sizes
from soak.run import play

if TYPE_CHECKING:
    from pathlib import Path

SEED = 4
SIZES = Sizes(hosts=3, targets=6, seconds=5.0, faults_per_s=1.5, longest_s=3.0)
LEAST_REQUESTS = 100


async def test_short_run_breaks_no_promise(tmp_path: Path) -> None:
    result = await play(SIZES, SEED, tmp_path)

    assert result.violations == []
    assert result.faults >= SIZES.seconds
    assert len(result.outcomes) > LEAST_REQUESTS


def test_regressions_tell_their_cause() -> None:
    cases = read_regressions()
    assert len({case["seed"] for case in cases}) == len(cases)
    assert all(case["cause"] for case in cases)
