"""An environment of two regions with two runners each."""

from __future__ import annotations

from random import Random

import pytest

from lycheepath.core.environment.model import (
    Environment,
    Host,
    Limit,
    Link,
    Model,
    Region,
    Stage,
    Target,
    TargetKind,
    WeightStore,
    Zone,
)
from lycheepath.core.routing.router import Router


def build_environment(
    regions: int = 2,
    runners: int = 2,
    limits: tuple[Limit, ...] = (),
    store: bool = False,
) -> Environment:
    """Return an environment with one zone and one host in each region."""
    names = [f"region-{number}" for number in range(regions)]
    return Environment(
        name="test",
        revision=1,
        stage=Stage.TRIAL,
        regions=tuple(Region(name) for name in names),
        zones=tuple(Zone(f"{name}-a", name) for name in names),
        hosts=tuple(
            Host(f"host-{name}", f"{name}-a", "127.0.0.1:1", "127.0.0.1:2")
            for name in names
        ),
        targets=tuple(
            Target(
                id=f"{name}-runner-{number}",
                zone=f"{name}-a",
                address="127.0.0.1:3",
                kind=TargetKind.RUNNER,
                models=("chat",),
                slots=4,
            )
            for name in names
            for number in range(runners)
        ),
        models=(Model("chat", weights_bytes=10**9),),
        links=tuple(
            Link((left, right), 30.0)
            for left in names
            for right in names
            if left < right
        ),
        limits=limits,
        weight_store=WeightStore(names[0]) if store else None,
    )


@pytest.fixture
def router() -> Router:
    router = Router("host-region-0", "region-0", Random(1))
    router.apply(build_environment())
    return router
