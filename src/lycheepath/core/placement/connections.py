"""Divides a target's connections among the hosts that may open them."""

from __future__ import annotations

# Idle connections kept if the service sets no limit; half of an engine's slots, as
# shared by two hosts.
MAX_IDLE_CONNECTIONS = 64
# Connections reserved for running and queued requests, per slot of the target: a
# target queues a few requests beyond its slots.
BUSY_PER_SLOT = 1.5


def compute_idle_limit(max_connections: int, slots: int, hosts: int) -> int:
    """
    Return how many idle connections each of ``hosts`` may keep to a target.

    A target resets connections beyond ``max_connections`` of all hosts together
    (0: no limit), even those with a request in flight. What remains after the
    reserve for requests is divided equally; with many hosts that may be none.
    """
    if max_connections <= 0:
        return MAX_IDLE_CONNECTIONS
    spare = max_connections - int(BUSY_PER_SLOT * slots)
    return min(MAX_IDLE_CONNECTIONS, max(0, spare // max(1, hosts)))
