from __future__ import annotations

import pytest

from lycheepath.core.placement.connections import (
    BUSY_PER_SLOT,
    MAX_IDLE_CONNECTIONS,
    compute_idle_limit,
)


@pytest.mark.parametrize("hosts", [1, 3, 30, 300])
@pytest.mark.parametrize(
    ("most", "slots"), [(630, 128), (110, 6), (370, 64), (20, 8), (8, 8)]
)
def test_hosts_together_keep_to_a_targets_connections(
    most: int, slots: int, hosts: int
) -> None:
    idle = compute_idle_limit(most, slots, hosts)
    assert 0 <= idle <= MAX_IDLE_CONNECTIONS
    assert idle == 0 or idle * hosts + BUSY_PER_SLOT * slots <= most


def test_hosts_of_the_first_deployments_keep_enough_connections() -> None:
    assert compute_idle_limit(630, 128, 3) == MAX_IDLE_CONNECTIONS
    assert compute_idle_limit(110, 6, 3) >= 6


def test_service_without_a_bound_has_the_usual_one() -> None:
    assert compute_idle_limit(0, 128, 300) == MAX_IDLE_CONNECTIONS
