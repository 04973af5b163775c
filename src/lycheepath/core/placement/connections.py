"""Shares a target's connections among the hosts that may open them."""

from __future__ import annotations

# Kept where the service sets no bound; an engine's slots shared by two hosts.
MAX_IDLE_CONNECTIONS = 64
# Connections for what runs or waits at a target, for each of its slots: a target
# queues a few requests beyond its slots.
BUSY_PER_SLOT = 1.5


def compute_idle_limit(max_connections: int, slots: int, hosts: int) -> int:
    """
    Return the most idle connections that each of ``hosts`` keeps to a target.

    A target resets what goes beyond ``max_connections`` of all hosts together
    (0: no bound), also with a request on it. Idle connections get what work
    leaves of that, in equal shares; with many hosts that may be none.
    """
    if max_connections <= 0:
        return MAX_IDLE_CONNECTIONS
    spare = max_connections - int(BUSY_PER_SLOT * slots)
    return min(MAX_IDLE_CONNECTIONS, max(0, spare // max(1, hosts)))
