from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from bench.membership.network import Network, make_hosts

if TYPE_CHECKING:
    from collections.abc import Callable

ZONES = {"a1": "a", "a2": "a"}


@pytest.fixture
def make_network() -> Callable[..., Network]:
    def make(count: int, zones: dict[str, str] | None = None, seed: int = 1) -> Network:
        network = Network(make_hosts(count, zones or ZONES), Random(seed))
        network.encodes = False
        for number, host_id in enumerate(network.hosts):
            network.start(host_id, incarnation=1000 + number)
        return network

    return make
