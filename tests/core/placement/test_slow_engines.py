"""
Plays engines of which a third is slow, as long as the load lasts.

Nine engines can serve about 120 of these requests a second; with three of them at
a third of their speed, about 95.
"""

from __future__ import annotations

import pytest

from tests.core.placement.simulated_region import SimulatedRegion

HOSTS, ENGINES, SLOW = 3, 9, 3
SECONDS, FILLED_S = 12.0, 4.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_slow_engines_get_what_they_carry_and_nobody_is_refused(seed: int) -> None:
    region = SimulatedRegion(HOSTS, ENGINES, seed)
    for number in range(SLOW):
        region.engines[f"i-{number}"].slowness = 3.0
    region.run(lambda now: 70.0, SECONDS, FILLED_S)
    results = region.results().values()
    in_aim = sum(counts["in aim"] for counts in results)
    assert in_aim >= 0.95 * sum(counts.total() for counts in results)
    assert not sum(counts["refused"] for counts in results)


def test_engine_that_was_slow_for_a_time_is_used_again() -> None:
    region = SimulatedRegion(HOSTS, 2, 1)
    slow = region.engines["i-0"]
    slow.slowness = 4.0
    region.at(4.0, lambda now: setattr(slow, "slowness", 1.0))
    region.run(lambda now: 18.0, 16.0, 9.0)
    for kind, counts in region.results().items():
        assert counts["in aim"] >= 0.95 * counts.total(), kind
    read = sum(
        region.books[name].targets["i-0"].pace.find(16.0) for name in region.names
    )
    assert read / HOSTS < 1.5
