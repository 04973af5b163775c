from __future__ import annotations

import random
from dataclasses import replace

from lycheepath.core.catalog.model import RouteKind
from lycheepath.core.placement.choice import choose_target
from lycheepath.core.placement.model import Placement, PlacementRequest, QueriedTargets
from lycheepath.core.placement.region_waits import LOCAL_TTL_S
from tests.core.placement.test_choice import EAST, ROUTE, make_entry, make_registry

PLAIN = replace(ROUTE, kind=RouteKind.SAFE)
REQUEST = PlacementRequest(PLAIN, "pool", None, 0.0, 4.0)
WAIT_S = 5.0


def test_assumed_wait_is_not_taken_for_an_observation() -> None:
    registry = make_registry(make_entry(1), make_entry(2))
    registry.region_waits.observe(REQUEST.queue, WAIT_S, 0.0)
    # The coordinators don't answer, so the wait last observed is assumed.
    queried = QueriedTargets(tuple(registry.targets.values()), {})
    draw = random.Random(1)
    placed = [
        choose_target(registry, REQUEST, EAST, n / 10, draw, queried=queried)
        for n in range(int(10 * (LOCAL_TTL_S + 2.0)))
    ]
    assert not isinstance(placed[0], Placement)
    assert isinstance(placed[-1], Placement)
