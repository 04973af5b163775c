from __future__ import annotations

from standins.processes import pick_port

PORTS = 2_000


def test_pick_port_returns_no_port_twice() -> None:
    ports = [pick_port() for _ in range(PORTS)]

    assert len(set(ports)) == PORTS
