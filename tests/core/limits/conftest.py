"""Environments with one region, any number of hosts and one limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from lycheepath.core.environment.model import (
    Environment,
    Host,
    Limit,
    Region,
    Stage,
    Zone,
)

if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.fixture
def make_environment() -> Callable[[int, float], Environment]:
    """Return a function that builds an environment of hosts with a limit."""

    def build(hosts: int, rate: float) -> Environment:
        regions = ("r0", "r1", "r2")
        return Environment(
            name="test",
            revision=1,
            stage=Stage.TRIAL,
            regions=tuple(Region(name) for name in regions),
            zones=tuple(Zone(f"z-{name}", name) for name in regions),
            hosts=tuple(
                Host(f"h{n}", f"z-{regions[n % 3]}", "127.0.0.1:1", "127.0.0.1:2")
                for n in range(hosts)
            ),
            targets=(),
            limits=(Limit("*", rate, burst_tokens=rate, requests_per_s=10_000.0),),
        )

    return build
